#pragma once

#include "policy/configuration.hpp"
#include "policy/fleet.hpp"
#include "policy/jobs.hpp"
#include "policy/observations.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle {

/// Estimates the actual usage of the jobs of a kind from the workers' delayed reports, because declared sizes
/// often differ widely from it. Pure; not thread-safe.
class usage_estimates {
  public:
    /// Adds the usage of the pool's jobs that have finished successfully since the last call.
    void update_from_table(const std::string& pool, const job_table& table);

    /// Adds the usage of one task to the estimate of its kind.
    void record_usage(const std::string& kind, const job_size& used);

    /// Returns the size for placement: the estimated usage of the job's kind plus a margin, or the declared
    /// size while there are too few reports.
    [[nodiscard]] job_size planned_size(const job_record& job) const;

  private:
    struct estimate {
        double cpu_millicores = 0;
        double memory_mb = 0;
        int reports = 0;
    };
    std::map<std::string, estimate> m_kinds;
    /// Done jobs of each pool whose usage has been counted.
    std::map<std::string, std::set<std::string>> m_counted_jobs;
};

/// Health of a VM's worker, derived from job results.
struct worker_health {
    int consecutive_failures = 0; ///< Tasks of different jobs that have failed there consecutively.
    timestamp quarantined_until{0};
};

/// One placement decision.
struct placement_decision {
    std::string job;
    std::string vm; ///< Empty when no VM was found.
    std::string text;

    bool operator==(const placement_decision&) const = default;
};

/// Result of one placement step for one pool.
struct placement_plan {
    bool changed = false;
    job_table next;
    std::vector<placement_decision> decisions;
};

/// Options of job placement. The first-fit baseline exists for comparison.
struct placement_options {
    bool first_fit = false;              ///< Use the first VM with enough free capacity.
    bool stop_all_on_leaving_vm = false; ///< Stop every job on a leaving VM, not only patient ones.
    bool wait_for_last_vm = false;       ///< A patient job waits for its last VM to return instead of moving.
    /// Use a VM that a running wave has yet to maintain only when no other has enough capacity.
    bool avoid_pending_wave = true;
};

/// Derives the options from an operator's weights.
[[nodiscard]] placement_options placement_options_for(const weight_settings& weights);

/// Input of a placement step.
struct placement_input {
    const configuration& config;
    const fleet_record& fleet;
    std::string pool;
    const job_table& jobs;
    const usage_estimates& usage;
    const std::map<std::string, worker_health>& workers;
    /// Processor time and accelerators that each team's running jobs in other pools use.
    std::map<std::string, job_size> used_by_teams;
    /// VMs whose tasks are confirmed to have ended. The value is the VM epoch: all tasks that were assigned
    /// at a lower epoch have ended.
    std::map<std::string, std::uint32_t> ended_tasks;
    timestamp now{0};
    placement_options options = {};
};

/// Whether the size fits the VM when no task runs on it.
[[nodiscard]] bool fits_empty_vm(const vm_record& vm, const job_size& size);

/// Places queued jobs on the pool's own serving VMs, and stops jobs on VMs that are leaving. Pure.
///
/// Urgent jobs are placed first, then daily, then patient ones. A patient job is stopped for an urgent one
/// that fits on no VM. A job that is too large for every VM of the pool is parked with the reason, and placed
/// when the pool's VMs change so that it fits. On a leaving VM, a patient job is stopped at a checkpoint and
/// queued again; the others finish there.
[[nodiscard]] placement_plan place_jobs(const placement_input& input);

} // namespace siskinpaddle
