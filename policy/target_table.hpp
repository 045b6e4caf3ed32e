#pragma once

#include "policy/answers.hpp"
#include "policy/configuration.hpp"
#include "policy/fleet.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Algorithm for choosing targets. `round_robin` is the baseline for comparisons.
enum class routing_policy : std::uint8_t { round_robin, two_choices };

template <>
inline constexpr std::array enum_names<routing_policy>{
    std::pair{routing_policy::round_robin, std::string_view("round-robin")},
    std::pair{routing_policy::two_choices, std::string_view("two-choices")}};

/// Destination of an attempt.
struct target_choice {
    std::string vm;
    std::uint32_t epoch = 0;
    std::string address;
    std::uint16_t port = 0;
};

/// One entry's view of the targets: which VMs serve which pool, how many of this entry's requests each of
/// them runs, and which are quarantined. Pure: time and randomness are passed as arguments. Not thread-safe.
class target_table {
  public:
    target_table(std::string own_zone, routing_policy policy)
        : m_own_zone(std::move(own_zone)), m_policy(policy) {}

    /// Applies a newer configuration or fleet record.
    void apply(const configuration& config, const fleet_record& fleet, timestamp now);

    /// Chooses a serving target of `pool` with a free slot, preferably in the own zone. Returns nothing when
    /// there is none. `tried` are VMs to avoid. `round_robin` ignores both slots and `tried`.
    [[nodiscard]] std::optional<target_choice>
    choose(const std::string& pool, const std::set<std::string>& tried, timestamp now, random_source& random);

    /// Whether a request may still be sent to `choice`. Must be checked immediately before sending when time
    /// has passed since the choice.
    [[nodiscard]] bool is_still_valid(const target_choice& choice, const std::string& pool) const;

    void on_sent(const std::string& vm);
    /// Records the result of an attempt. Precondition: one call of on_sent(vm) before each call.
    void on_finished(const std::string& vm, attempt_result result, timestamp now);
    void on_health_check(const std::string& vm, bool passed, timestamp now);

    /// Returns the VMs that are out of service at the applied revision and still run requests of this entry.
    [[nodiscard]] std::set<std::string> busy_vms() const;
    /// Returns the serving VMs on which this entry's requests or health checks fail repeatedly.
    [[nodiscard]] std::set<std::string> suspect_vms() const;

    [[nodiscard]] bool has_target(const std::string& pool) const;
    /// Returns the number of requests that the pool's targets may run for this entry concurrently.
    [[nodiscard]] std::int64_t capacity(const std::string& pool, timestamp now) const;
    [[nodiscard]] std::int64_t in_flight(const std::string& pool) const;

  private:
    struct target {
        std::string vm;
        std::uint32_t epoch = 0;
        std::string pool;
        std::string availability_zone;
        std::string address;
        std::uint16_t port = 0;
        bool serving = false;
        int slots = 0;
        int limit = 0; ///< Maximum number of this entry's concurrent requests; adapts to refusals.
        int in_flight = 0;
        int consecutive_failures = 0;
        int quarantine_count = 0;
        int successes_at_limit = 0;
        timestamp quarantined_until{0};
        timestamp ramp_start{0};
    };

    /// Adjustments to the use of single targets that follow from the state of the whole pool.
    struct pool_view {
        /// More than half are quarantined, so the others would be overloaded.
        bool ignore_quarantine = false;
        /// More than half have just returned, so the others can't carry the load during the ramp.
        bool ignore_ramp = false;
    };

    [[nodiscard]] pool_view compute_pool_view(const std::vector<std::string>& ids, timestamp now) const;
    [[nodiscard]] int current_limit(const target& item, timestamp now, const pool_view& pool) const;
    [[nodiscard]] bool is_usable(const target& item, timestamp now, const pool_view& pool) const;
    [[nodiscard]] std::vector<const target*>
    find_candidates(const std::string& pool, const std::set<std::string>& tried, timestamp now) const;
    void record_failure(target& item, timestamp now);

    std::string m_own_zone;
    routing_policy m_policy;
    std::map<std::string, target> m_targets;
    std::map<std::string, std::vector<std::string>> m_vms_by_pool;
    std::map<std::string, std::size_t> m_next_index; ///< By pool; for the round-robin baseline.
};

} // namespace siskinpaddle
