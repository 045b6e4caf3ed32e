#pragma once

#include "control/state_task.hpp"

#include <memory>
#include <set>

namespace siskinpaddle {

/// Starts, renews and stops the tasks on the VMs that this entry is in charge of, and enters what the workers
/// say into the job tables. Entries of the VM's own zone do this, so a zone that is cut off keeps its jobs
/// running.
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
    std::set<std::string> m_vms_being_called;                          ///< VMs with a call under way.
    std::map<std::string, std::vector<task_update>> m_pending_updates; ///< Per pool, not yet in the store.
    std::set<std::string> m_pools_being_written;
    std::unique_ptr<timer> m_timer;
};

} // namespace siskinpaddle
