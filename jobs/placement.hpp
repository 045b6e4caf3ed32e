#pragma once

#include "jobs/advice.hpp"
#include "jobs/job_state.hpp"
#include "jobs/vm_state.hpp"
#include "jobs/zone_ranking.hpp"

#include <functional>
#include <map>

namespace siskinpaddle::jobs {

using vm_table = std::map<std::string, vm_state, std::less<>>;

/// Capacity that a run of the step reserves on its VM. Best-effort tasks reserve no processor time.
[[nodiscard]] resources reserved_resources(const step_spec& step);

struct placement_settings {
    /// A VM whose last response is older gets no new runs, since it may have failed. Longer than the longest
    /// wait of a lease renewal (2 s) plus its round trip.
    milliseconds max_response_age = 2600ms;
};

/// Where the tasks of a step are placed if there is a choice.
struct placement_preference {
    std::string rack; ///< The rack where they would run faster; empty for any.
    zone_ranking zones;
};

/// Returns what each zone has for the waiting tasks of the task's step. `advice`: as for `choose_vm`. `task`:
/// any task of the step.
[[nodiscard]] std::vector<zone_capacity> zone_capacities(const vm_table& vms, const job_state& job,
                                                         const task_id& task,
                                                         const placement_settings& settings,
                                                         const step_advice* advice, timestamp now);

/// Chooses the VM for one task among those that can host it; VMs on which the task has failed are the last
/// resort. In the preferred zone, VMs that host long-lived tasks are filled first, then the VM with the
/// highest utilization that has enough free capacity. Packing runs this way leaves whole VMs idle, so that
/// they can be moved to other pools, and the loss of a VM affects fewer jobs. Returns null if no VM can host
/// the task. `advice`: the policy service's answers if the queue's policy allows only some VMs, else null.
[[nodiscard]] vm_state* choose_vm(vm_table& vms, const job_state& job, const task_id& task,
                                  const placement_settings& settings, const step_advice* advice,
                                  const placement_preference& preferred, timestamp now);

/// Chooses the VM for a suspected task: prefers VMs without suspected tasks of other jobs, then the VM whose
/// loss would cause the least damage. `allow_new_vm`: whether VMs without suspected tasks are eligible. Other
/// parameters and result as for `choose_vm`.
[[nodiscard]] vm_state* choose_vm_for_suspect(vm_table& vms, const job_state& job, const task_id& task,
                                              const placement_settings& settings, const step_advice* advice,
                                              const std::string& preferred_rack, bool allow_new_vm,
                                              timestamp now);

/// Whether the VM could host the task once all its runs except long-lived ones have ended.
[[nodiscard]] bool can_host_after_short_runs(const vm_state& vm, const job_state& job, const task_id& task,
                                             const placement_settings& settings, const step_advice* advice,
                                             timestamp now);

/// Chooses the rack for a gang that runs slower if its members are spread: a rack with free capacity for the
/// whole step, preferably the one that holds its data, else the one with the least free capacity, so that
/// larger gangs still find a rack. Returns an empty string if no single rack has enough free capacity; the
/// gang is then spread over racks, since running slowly is better than not running. `task`: any task of the
/// step.
[[nodiscard]] std::string rack_for_gang(const vm_table& vms, const job_state& job, const task_id& task,
                                        const placement_settings& settings, const step_advice* advice,
                                        timestamp now);

/// Up to `max_count` VMs that can host a task of the step and need a policy query, those with the lowest
/// utilization first.
[[nodiscard]] std::vector<std::string> vms_to_query(const vm_table& vms, const job_state& job,
                                                    const task_id& task, const placement_settings& settings,
                                                    const step_advice& advice, std::size_t max_count,
                                                    timestamp now);

} // namespace siskinpaddle::jobs
