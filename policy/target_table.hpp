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

/// How targets are chosen. `round_robin` is the baseline that the rest is measured against.
enum class routing_policy : std::uint8_t { round_robin, two_choices };

template <>
inline constexpr std::array enum_names<routing_policy>{
    std::pair{routing_policy::round_robin, std::string_view("round-robin")},
    std::pair{routing_policy::two_choices, std::string_view("two-choices")}};

/// Where an attempt goes.
struct target_choice {
    std::string vm;
    std::uint32_t epoch = 0;
    std::string address;
    std::uint16_t port = 0;
};

/// One entry's view of the targets: who serves which pool, how busy each is by this entry's own requests, and
/// which are set aside. Pure: time and randomness come in as arguments. Not thread-safe.
class target_table {
  public:
    target_table(std::string own_zone, routing_policy policy)
        : m_own_zone(std::move(own_zone)), m_policy(policy) {}

    /// Takes over a newer configuration or fleet record.
    void apply(const configuration& config, const fleet_record& fleet, timestamp now);

    /// Chooses a serving target of `pool` with a free slot, or nothing. `tried` are VMs to avoid.
    [[nodiscard]] std::optional<target_choice>
    choose(const std::string& pool, const std::set<std::string>& tried, timestamp now, random_source& random);

    /// Whether `choice` may still be sent to; asked again right before sending, when time has passed.
    [[nodiscard]] bool is_still_valid(const target_choice& choice, const std::string& pool) const;

    void on_sent(const std::string& vm);
    /// Reports how the attempt ended. Precondition: on_sent(vm) came before, once for each call.
    void on_finished(const std::string& vm, attempt_result result, timestamp now);
    void on_health_check(const std::string& vm, bool passed, timestamp now);

    /// VMs out of service at the applied revision on which requests of this entry are still in progress.
    [[nodiscard]] std::set<std::string> busy_vms() const;
    /// Serving VMs at which this entry's requests or checks keep failing.
    [[nodiscard]] std::set<std::string> suspect_vms() const;

    [[nodiscard]] bool has_target(const std::string& pool) const;
    /// Requests that the pool's targets can run for this entry at once.
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
        int limit = 0; ///< Requests that this entry allows itself there; adapts to refusals.
        int in_flight = 0;
        int consecutive_failures = 0; ///< In a row.
        int quarantine_count = 0;
        int successes_at_limit = 0;
        timestamp quarantined_until{0};
        timestamp ramp_start{0};
    };

    /// What the state of a pool as a whole says about single targets.
    struct pool_view {
        bool ignore_quarantine = false; ///< So many are set aside that the rest would drown.
        bool ignore_ramp =
            false; ///< So many have just returned that the rest can't carry the load meanwhile.
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
    std::map<std::string, std::size_t> m_next_index; ///< Of the round-robin baseline.
};

} // namespace siskinpaddle
