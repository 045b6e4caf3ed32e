#pragma once

#include "control/state_task.hpp"

#include <memory>
#include <set>

namespace siskinpaddle {

/// Starts, renews and stops the tasks on the VMs that this entry is responsible for, and stores the reports
/// of their workers in the job tables. An entry in the VM's own zone is responsible for it, so a zone that is
/// partitioned from the others keeps its jobs running. Not thread-safe.
class runner_task {
  public:
    runner_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                state_task& state, worker_client& workers, metrics& counters);

    void start();

  private:
    void tick();
    void sync_vm(const vm_record& vm, const std::string& pool, const std::vector<task_call>& calls);
    void store_updates(const std::string& pool);
    [[nodiscard]] static task_call make_task_call(const job_record& job, const vm_record& vm);

    const entry_settings& m_settings;
    platform_client& m_platform;
    state_task& m_state;
    worker_client& m_workers;
    metrics& m_metrics;
    std::set<std::string> m_vms_being_called;                          ///< VMs with a call in flight.
    std::map<std::string, std::vector<task_update>> m_pending_updates; ///< Per pool, not yet stored.
    std::set<std::string> m_pools_being_written;
    std::unique_ptr<timer> m_timer;
};

} // namespace siskinpaddle
