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

/// Learns what jobs of a kind really use, from the workers' lagging reports: declared sizes are often far
/// from the truth. Pure; not thread-safe.
class usage_estimates {
  public:
    /// Learns from the jobs of a pool that have ended since the last look.
    void update_from_table(const std::string& pool, const job_table& table);

    /// Takes in what one task has used.
    void record_usage(const std::string& kind, const job_size& used);

    /// Size to plan with: what the kind was seen to use, a margin added, or the declared size while unknown.
    [[nodiscard]] job_size planned_size(const job_record& job) const;

  private:
    struct estimate {
        double cpu_millicores = 0;
        double memory_mb = 0;
        int reports = 0;
    };
    std::map<std::string, estimate> m_kinds;
    std::map<std::string, std::set<std::string>>
        m_counted_jobs; ///< Ended jobs of each pool that have been counted.
};

/// What the workers have shown about a VM, beyond the fleet record.
struct worker_health {
    int consecutive_failures = 0; ///< Tasks of different jobs that failed there one after another.
    timestamp quarantined_until{0};
};

/// One placement decision.
struct placement_decision {
    std::string job;
    std::string vm; ///< Empty when none was found.
    std::string text;

    bool operator==(const placement_decision&) const = default;
};

/// Outcome of one placement step over one pool.
struct placement_plan {
    bool changed = false;
    job_table next;
    std::vector<placement_decision> decisions;
};

/// How jobs are placed; the first-fit baseline is kept for comparison.
struct placement_options {
    bool first_fit = false;              ///< Take the first VM with room, whatever follows from it.
    bool stop_all_on_leaving_vm = false; ///< Stop every job on a leaving VM, not only patient ones.
    bool wait_for_last_vm = false; ///< A patient job waits for its own VM to come back rather than move.
    bool avoid_pending_wave =
        true; ///< Start jobs on VMs whose turn in a wave is still to come only when no other has room.
};

/// Derives the options from an operator's weights.
[[nodiscard]] placement_options placement_options_for(const weight_settings& weights);

/// Everything a placement step looks at.
struct placement_input {
    const configuration& config;
    const fleet_record& fleet;
    std::string pool;
    const job_table& jobs;
    const usage_estimates& usage;
    const std::map<std::string, worker_health>& workers;
    /// Processor time and accelerators that each team's running jobs in other pools use.
    std::map<std::string, job_size> used_by_teams;
    /// VMs whose tasks have certainly ended, with the VM epoch for which that is known.
    std::map<std::string, std::uint32_t> ended_tasks;
    timestamp now{0};
    placement_options options = {};
};

/// Whether the VM could ever hold the size when empty.
[[nodiscard]] bool fits_empty_vm(const vm_record& vm, const job_size& size);

/// Places queued jobs on the pool's own serving VMs, and takes jobs off VMs that are leaving. Pure.
///
/// Urgent jobs come first, then daily, then patient ones; a patient job makes way for an urgent one that fits
/// nowhere else. A job that no VM of the pool could ever hold is parked with the reason and looked at again
/// only when the pool's VMs change. Jobs on a leaving VM: a patient one is stopped at a checkpoint and queued
/// again, the others finish there.
[[nodiscard]] placement_plan place_jobs(const placement_input& input);

} // namespace siskinpaddle
