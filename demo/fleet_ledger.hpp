#pragma once

#include "demo/caller_fleet.hpp"
#include "policy/policy.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskinpaddle::demo {

/// What the store's own records said over the session, sampled, and what the targets' logs say at its end.
class fleet_ledger {
  public:
    fleet_ledger(event_loop& loop, endpoint platform);

    void start();

    /// A VM that the session has killed on purpose: a breach that it alone causes is no planned one.
    void mark_killed(const std::string& vm) { m_killed_vms.insert(vm); }

    [[nodiscard]] const fleet_record& fleet() const noexcept { return m_fleet; }
    [[nodiscard]] const configuration& config() const noexcept { return m_config; }
    [[nodiscard]] const job_table& jobs(const std::string& pool) { return m_jobs[pool]; }
    [[nodiscard]] std::int64_t count_serving(const std::string& pool) const;

    [[nodiscard]] std::int64_t vm_moves() const noexcept { return m_vm_moves; }
    [[nodiscard]] std::int64_t count_job_moves() const;
    [[nodiscard]] std::int64_t breach_count() const noexcept { return m_breach_count; }
    [[nodiscard]] std::int64_t buffer_vm_seconds() const noexcept { return m_buffer_ms / 1000; }

  private:
    void sample();
    void read_value(const std::string& key);
    void process_answer(const std::string& key, const http_answer& answer);
    void update_fleet(fleet_record next);
    void update_metrics();

    endpoint m_platform;
    http_client m_client;
    fleet_record m_fleet;
    configuration m_config;
    std::map<std::string, job_table> m_jobs;
    std::set<std::string> m_killed_vms;
    std::set<std::string> m_breached_pools;
    std::set<std::string> m_fulfilled_pools;
    std::map<std::string, std::string> m_last_pool;
    std::int64_t m_vm_moves = 0;
    std::int64_t m_breach_count = 0;
    std::int64_t m_buffer_ms = 0;
    timestamp m_last_sample{0};
    std::unique_ptr<timer> m_timer;
};

/// Sums over callers' notes and targets' logs.
struct request_totals {
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t not_run = 0;
    std::int64_t unknown = 0;
    std::int64_t lost = 0; ///< Answered, yet no target ran it, or never answered at all, or a wrong answer.
    std::int64_t repeated = 0;      ///< Not repeatable, yet run more than once.
    std::int64_t interrupted = 0;   ///< Ended by a planned stop of its target.
    std::int64_t wrong_pool = 0;    ///< Run on another pool's VM.
    std::int64_t false_not_run = 0; ///< Told not-run, yet run.
};

/// Joins what callers were told with what the targets wrote down.
[[nodiscard]] request_totals sum_requests(const std::map<std::string, request_record>& requests,
                                          const std::vector<std::string>& target_logs);

} // namespace siskinpaddle::demo
