#pragma once

#include "policy/answers.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinpaddle {

/// A request that needs admission.
struct admission_request {
    std::uint64_t id = 0;
    std::string pool;
    std::string member;
    timestamp deadline{0};
};

/// State of the pool at the time of the admission decision.
struct pool_load {
    std::int64_t capacity = 0; ///< Requests that its targets may run for this entry concurrently.
    std::int64_t in_flight = 0;
    std::int64_t max_queue = 0;
    bool has_target = false;
};

enum class admission_action : std::uint8_t { send, wait, refuse };

struct admission_verdict {
    admission_action action = admission_action::refuse;
    answer_code code = answer_code::overloaded; ///< Only with `refuse`.
    int retry_after_s = 0;                      ///< Only with `refuse`; 0: use the rule's default.
};

/// Limits the requests that one entry holds: each member gets an equal share of them, and each pool has a
/// bounded queue with a deadline check. Pure; not thread-safe.
class admission_controller {
  public:
    /// `max_requests` limits the requests that the entry holds at once, waiting and in progress together.
    /// With `enabled` false no limit applies, which is the baseline for comparisons.
    admission_controller(std::int64_t max_requests, bool enabled)
        : m_max_requests(max_requests), m_enabled(enabled) {}

    /// Sets the number of members that share the entry. Precondition: count >= 1.
    void set_member_count(std::int64_t count) { m_member_count = count; }

    /// Decides whether a new request is sent, queued or refused. Refuses a request immediately when it can't
    /// finish before its deadline at the current service rate of the queue.
    [[nodiscard]] admission_verdict admit(const admission_request& request, const pool_load& load,
                                          timestamp now);

    /// Whether any request waits for `pool`.
    [[nodiscard]] bool has_waiting(const std::string& pool) const;

    /// Removes and returns the next waiting request of `pool` whose deadline hasn't passed, if any.
    [[nodiscard]] std::optional<std::uint64_t> pop_waiting(const std::string& pool, timestamp now);

    /// Removes and returns all waiting requests whose deadline has passed.
    [[nodiscard]] std::vector<std::uint64_t> remove_expired(timestamp now);

    /// Removes and returns all requests that wait for `pool`, for a pool that has lost its last target.
    [[nodiscard]] std::vector<std::uint64_t> remove_waiting(const std::string& pool);

    /// Releases an admitted request that has received its final answer. `service_time` is 0 when no target
    /// answered.
    void record_finished(const std::string& pool, const std::string& member, milliseconds service_time);

    [[nodiscard]] std::int64_t held_requests() const noexcept { return m_held_requests; }
    [[nodiscard]] std::vector<std::string> pools_with_waiting() const;

  private:
    struct waiting_request {
        std::uint64_t id;
        timestamp deadline;
    };
    struct pool_state {
        std::deque<waiting_request> queue;
        double service_ms = 20; ///< Moving average of the target's service time.
    };

    [[nodiscard]] milliseconds expected_wait(const pool_state& state, const pool_load& load) const;

    std::int64_t m_max_requests;
    bool m_enabled;
    std::int64_t m_member_count = 1;
    std::int64_t m_held_requests = 0;
    std::map<std::string, std::int64_t> m_held_by_member;
    std::map<std::string, pool_state> m_pools;
};

} // namespace siskinpaddle
