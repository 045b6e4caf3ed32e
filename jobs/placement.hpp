#pragma once

#include "jobs/advice.hpp"
#include "jobs/job_state.hpp"
#include "jobs/vm_state.hpp"

#include <functional>
#include <map>

namespace siskinpaddle::jobs {

using vm_table = std::map<std::string, vm_state, std::less<>>;

/// What a run of the step takes from its VM's capacity. Tasks that live on leftover processor time count
/// with their memory only.
[[nodiscard]] resources reserved_resources(const step_spec& step);

/// Limits of placement.
struct placement_settings {
    /// A VM that was not heard of for longer gets no new runs: it may be dead. Above the longest wait of a
    /// lease renewal (2 s) and its round trip.
    milliseconds max_response_age = 2600ms;
};

/// Chooses the VM for one task: one that may take it, VMs on which the task failed last. VMs that host
/// long-running tasks are filled first, then the fullest that has room: what runs is kept together, so that
/// whole VMs stay idle and can follow the demand to other pools; a VM's loss also hits fewer jobs that way.
/// Returns null when none has room.
/// `advice`: where the queue's policy allows only some VMs, what is known of them; else null.
/// `near_rack`: where the task would run faster; empty: anywhere.
[[nodiscard]] vm_state* choose_vm(vm_table& vms, const job_state& job, const task_id& task,
                                  const placement_settings& settings, const step_advice* advice,
                                  const std::string& preferred_rack, timestamp now);

/// The same for a suspected task: a VM without suspected tasks of other jobs if there is one, then the one
/// whose end would harm least. `may_widen`: also one that no suspected task runs on yet.
[[nodiscard]] vm_state* choose_vm_for_suspect(vm_table& vms, const job_state& job, const task_id& task,
                                              const placement_settings& settings, const step_advice* advice,
                                              const std::string& preferred_rack, bool allow_new_vm,
                                              timestamp now);

/// Whether the VM could take the task were it empty but for its long-running tasks.
[[nodiscard]] bool can_host_after_short_runs(const vm_state& vm, const job_state& job, const task_id& task,
                                             const placement_settings& settings, const step_advice* advice,
                                             timestamp now);

/// The rack for a gang that would be slowed down by a distance between its members: one with room for the
/// whole step, if possible that of its data, else the one with least to spare, so that larger gangs still
/// find theirs. Empty when no single rack has room; the gang is then spread, since late is worth more than
/// never. `task`: any of the step.
[[nodiscard]] std::string rack_for_gang(const vm_table& vms, const job_state& job, const task_id& task,
                                        const placement_settings& settings, const step_advice* advice,
                                        timestamp now);

/// VMs that could take a task of the step but for the policy, those with most room first; at most `most`.
[[nodiscard]] std::vector<std::string> vms_to_query(const vm_table& vms, const job_state& job,
                                                    const task_id& task, const placement_settings& settings,
                                                    const step_advice& advice, std::size_t max_count,
                                                    timestamp now);

} // namespace siskinpaddle::jobs
