#include "jobs/placement.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

std::size_t count_runs_of_step(const vm_state& vm, const task_id& task) {
    const auto first = vm.tasks().lower_bound({task.job, task.occurrence, task.step, 0});
    const auto last = vm.tasks().lower_bound({task.job, task.occurrence, task.step + 1, 0});
    return static_cast<std::size_t>(std::distance(first, last));
}

std::size_t count_runs_of_job(const vm_state& vm, const std::string& job) {
    const auto first = vm.tasks().lower_bound({job, 0, 0, 0});
    const auto last = std::find_if(first, vm.tasks().end(), [&](const task_id& id) { return id.job != job; });
    return static_cast<std::size_t>(std::distance(first, last));
}

/// Whether the VM accepts tasks of the step, regardless of its free capacity.
bool accepts_step(const vm_state& vm, const step_spec& step, const task_id& task,
                  const placement_settings& settings, timestamp now) {
    if (!vm.listed || !vm.reachable || vm.cordoned || vm.info().draining || vm.capacity_refused_at_clock) {
        return false;
    }
    if (!vm.orphans().empty()) {
        // Orphan runs use an unknown part of the capacity: further tasks could overload a VM that doesn't
        // check its capacity.
        return false;
    }
    if (!vm.has_responded() || !vm.is_fenced || now - vm.last_response_at() > settings.max_response_age ||
        vm.is_quarantined(now)) {
        return false;
    }
    if (!step.required_label.empty() && step.required_label != vm.info().kind &&
        step.required_label != vm.info().rack) {
        return false;
    }
    if (!vm.isolated_for_job.empty() && vm.isolated_for_job != task.job) {
        return false;
    }
    return step.max_per_vm == 0 || count_runs_of_step(vm, task) < step.max_per_vm;
}

bool can_host(const vm_state& vm, const step_spec& step, const resources& need, const task_id& task,
              const placement_settings& settings, timestamp now) {
    return accepts_step(vm, step, task, settings, now) && need.fits_in(vm.free_capacity());
}

/// Whether the queue's policy, if it has one, currently allows tasks on the VM.
bool is_allowed(const step_advice* advice, const std::string& incarnation, timestamp now) {
    return advice == nullptr || advice->find_ticket(incarnation, now) != nullptr;
}

/// Number of tasks of the step that fit into the VM's free capacity.
std::uint32_t count_fitting_tasks(const vm_state& vm, const step_spec& step, const task_id& task) {
    const resources need = reserved_resources(step);
    std::uint32_t max_tasks = step.count;
    if (step.max_per_vm != 0) {
        max_tasks =
            std::min(max_tasks, step.max_per_vm - static_cast<std::uint32_t>(count_runs_of_step(vm, task)));
    }
    std::uint32_t fitting = 0;
    resources together = need;
    while (fitting < max_tasks && together.fits_in(vm.free_capacity())) {
        together += need;
        ++fitting;
    }
    return fitting;
}

/// Share of the VM's processor or memory in use with `need` added, whichever is larger.
double utilization(const vm_state& vm, const resources& need) {
    const resources& all = vm.info().capacity;
    const double cpu = static_cast<double>(vm.used().cpu_millicores + need.cpu_millicores) /
                       static_cast<double>(std::max<std::int64_t>(1, all.cpu_millicores));
    const double memory = static_cast<double>(vm.used().memory_mb + need.memory_mb) /
                          static_cast<double>(std::max<std::int64_t>(1, all.memory_mb));
    return std::max(cpu, memory);
}

} // namespace

resources reserved_resources(const step_spec& step) {
    resources need = step.need;
    if (step.best_effort) {
        need.cpu_millicores = 0;
    }
    return need;
}

std::vector<zone_capacity> zone_capacities(const vm_table& vms, const job_state& job, const task_id& task,
                                           const placement_settings& settings, const step_advice* advice,
                                           timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = reserved_resources(step);
    std::map<std::string, zone_capacity> zones;
    for (const auto& [incarnation, vm] : vms) {
        zone_capacity& zone = zones[vm.info().availability_zone];
        zone.short_run_millicores += vm.used().cpu_millicores - vm.long_lived_used().cpu_millicores;
        zone.vms_in_use += vm.has_no_runs() ? 0 : 1;
        zone.running_tasks += static_cast<std::uint32_t>(count_runs_of_job(vm, task.job));
        if (!can_host(vm, step, need, task, settings, now) || !is_allowed(advice, incarnation, now)) {
            continue;
        }
        const std::uint32_t fitting = count_fitting_tasks(vm, step, task);
        zone.fitting_tasks += fitting;
        zone.fitting_beside += vm.has_no_runs() ? 0 : fitting;
        zone.holds_data = zone.holds_data || (!step.data_rack.empty() && step.data_rack == vm.info().rack);
    }
    std::vector<zone_capacity> result;
    for (auto& [name, zone] : zones) {
        zone.zone = name;
        result.push_back(std::move(zone));
    }
    return result;
}

vm_state* choose_vm(vm_table& vms, const job_state& job, const task_id& task,
                    const placement_settings& settings, const step_advice* advice,
                    const placement_preference& preferred, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = reserved_resources(step);
    const std::vector<std::string>& failed_on = job.task(task).failed_on;
    vm_state* best = nullptr;
    std::tuple<bool, bool, bool, int, std::size_t, bool, double> best_cost;
    for (auto& [incarnation, vm] : vms) {
        if (!can_host(vm, step, need, task, settings, now) || !is_allowed(advice, incarnation, now)) {
            continue;
        }
        const bool failed_here = std::ranges::find(failed_on, incarnation) != failed_on.end();
        const bool far = !preferred.rack.empty() && preferred.rack != vm.info().rack;
        const std::tuple cost{failed_here,
                              far,
                              vm.has_other_suspects(task.job),
                              vm.consecutive_failures(),
                              preferred.zones.position_of(vm.info().availability_zone),
                              !vm.hosts_long_lived(),
                              -utilization(vm, need)};
        if (best == nullptr || cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    return best;
}

vm_state* choose_vm_for_suspect(vm_table& vms, const job_state& job, const task_id& task,
                                const placement_settings& settings, const step_advice* advice,
                                const std::string& preferred_rack, bool allow_new_vm, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = reserved_resources(step);
    vm_state* best = nullptr;
    std::tuple<bool, bool, bool, std::size_t> best_cost;
    for (auto& [incarnation, vm] : vms) {
        if (!can_host(vm, step, need, task, settings, now) || !is_allowed(advice, incarnation, now) ||
            (vm.suspect_jobs.empty() && !allow_new_vm)) {
            continue;
        }
        const bool far = !preferred_rack.empty() && preferred_rack != vm.info().rack;
        const std::tuple cost{vm.has_other_suspects(task.job), vm.hosts_long_lived(), far, vm.tasks().size()};
        if (best == nullptr || cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    return best;
}

bool can_host_after_short_runs(const vm_state& vm, const job_state& job, const task_id& task,
                               const placement_settings& settings, const step_advice* advice, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    resources available = vm.info().capacity;
    available -= vm.long_lived_used();
    return reserved_resources(step).fits_in(available) && accepts_step(vm, step, task, settings, now) &&
           is_allowed(advice, vm.info().incarnation, now);
}

std::string rack_for_gang(const vm_table& vms, const job_state& job, const task_id& task,
                          const placement_settings& settings, const step_advice* advice, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = reserved_resources(step);
    std::map<std::string, std::uint32_t> fitting;
    for (const auto& [incarnation, vm] : vms) {
        if (can_host(vm, step, need, task, settings, now) && is_allowed(advice, incarnation, now)) {
            fitting[vm.info().rack] += count_fitting_tasks(vm, step, task);
        }
    }
    std::string best;
    std::tuple<bool, std::uint32_t> best_cost;
    for (const auto& [rack, tasks] : fitting) {
        const std::tuple cost{rack != step.data_rack, tasks};
        if (tasks >= step.count && (best.empty() || cost < best_cost)) {
            best = rack;
            best_cost = cost;
        }
    }
    return best;
}

std::vector<std::string> vms_to_query(const vm_table& vms, const job_state& job, const task_id& task,
                                      const placement_settings& settings, const step_advice& advice,
                                      std::size_t max_count, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = reserved_resources(step);
    std::vector<std::pair<double, std::string>> candidates;
    for (const auto& [incarnation, vm] : vms) {
        if (can_host(vm, step, need, task, settings, now) && advice.needs_query(incarnation, now)) {
            candidates.emplace_back(utilization(vm, need), incarnation);
        }
    }
    std::ranges::sort(candidates);
    std::vector<std::string> names;
    for (const auto& [filled, incarnation] : candidates) {
        if (names.size() < max_count) {
            names.push_back(incarnation);
        }
    }
    return names;
}

} // namespace siskinpaddle::jobs
