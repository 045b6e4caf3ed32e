#pragma once

#include "demo/caller_fleet.hpp"
#include "policy/policy.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskinpaddle::demo {

/// Samples the records in the platform's store during the session, and counts moves, budget breaches and
/// buffer VMs from them.
class fleet_ledger {
  public:
    fleet_ledger(event_loop& loop, endpoint platform);

    void start();

    /// Marks a VM that the session killed on purpose: the VM no longer counts as serving, whatever its record
    /// in the store.
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

/// Totals over the callers' records and the targets' logs.
struct request_totals {
    std::int64_t requests = 0;
    std::int64_t answered = 0;
    std::int64_t not_run = 0;
    std::int64_t unknown = 0;
    std::int64_t lost = 0;          ///< Answered but run by no target, never answered, or answered wrongly.
    std::int64_t repeated = 0;      ///< Not repeatable, but run more than once.
    std::int64_t interrupted = 0;   ///< Ended by a planned stop of its target.
    std::int64_t wrong_pool = 0;    ///< Run on another pool's VM.
    std::int64_t false_not_run = 0; ///< Reported to the caller as not-run, but run.
};

/// Compares the outcomes that callers recorded with the runs that the targets logged.
[[nodiscard]] request_totals sum_requests(const std::map<std::string, request_record>& requests,
                                          const std::vector<std::string>& target_logs);

} // namespace siskinpaddle::demo
