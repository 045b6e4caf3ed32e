#include "jobs/placement.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

std::size_t runs_of_step(const vm_state& vm, const task_id& task) {
    const auto first = vm.tasks().lower_bound({task.job, task.occurrence, task.step, 0});
    const auto last = vm.tasks().lower_bound({task.job, task.occurrence, task.step + 1, 0});
    return static_cast<std::size_t>(std::distance(first, last));
}

/// Whether the VM takes tasks of the step, were there room.
bool is_open(const vm_state& vm, const step_spec& step, const task_id& task,
             const placement_settings& settings, timestamp now) {
    if (!vm.listed || !vm.reachable || vm.cordoned || vm.info().draining || vm.full_until_clock) {
        return false;
    }
    if (!vm.orphans().empty()) {
        // They still hold room, and how much is not known: tasks started beside them would load a VM that
        // doesn't check its capacity over it.
        return false;
    }
    if (!vm.ever_heard() || now - vm.heard_at() > settings.silence || vm.set_aside_at(now)) {
        return false;
    }
    if (!step.required_label.empty() && step.required_label != vm.info().kind &&
        step.required_label != vm.info().rack) {
        return false;
    }
    if (!vm.isolates.empty() && vm.isolates != task.job) {
        return false;
    }
    return step.max_per_vm == 0 || runs_of_step(vm, task) < step.max_per_vm;
}

bool may_take(const vm_state& vm, const step_spec& step, const resources& need, const task_id& task,
              const placement_settings& settings, timestamp now) {
    return is_open(vm, step, task, settings, now) && need.fits_in(vm.room());
}

/// Whether the queue's policy, if it has one, lets the VM take tasks just now.
bool is_allowed(const step_advice* advice, const std::string& incarnation, timestamp now) {
    return advice == nullptr || advice->ticket(incarnation, now) != nullptr;
}

/// Tasks of the step that the VM has room for.
std::uint32_t fitting_tasks(const vm_state& vm, const step_spec& step, const task_id& task) {
    const resources need = counted_need(step);
    std::uint32_t most = step.count;
    if (step.max_per_vm != 0) {
        most = std::min(most, step.max_per_vm - static_cast<std::uint32_t>(runs_of_step(vm, task)));
    }
    std::uint32_t fitting = 0;
    resources together = need;
    while (fitting < most && together.fits_in(vm.room())) {
        together += need;
        ++fitting;
    }
    return fitting;
}

/// Share of the VM's processor or memory that is taken, whichever is larger.
double fullness(const vm_state& vm, const resources& need) {
    const resources& all = vm.info().capacity;
    const double cpu = static_cast<double>(vm.used().cpu_millicores + need.cpu_millicores) /
                       static_cast<double>(std::max<std::int64_t>(1, all.cpu_millicores));
    const double memory = static_cast<double>(vm.used().memory_mb + need.memory_mb) /
                          static_cast<double>(std::max<std::int64_t>(1, all.memory_mb));
    return std::max(cpu, memory);
}

} // namespace

resources counted_need(const step_spec& step) {
    resources need = step.need;
    if (step.uses_leftover) {
        need.cpu_millicores = 0;
    }
    return need;
}

vm_state* choose_vm(vm_table& vms, const job_state& job, const task_id& task,
                    const placement_settings& settings, const step_advice* advice,
                    const std::string& near_rack, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = counted_need(step);
    const std::vector<std::string>& failed_on = job.task(task).failed_on;
    vm_state* best = nullptr;
    std::tuple<bool, bool, bool, int, bool, double> best_cost;
    for (auto& [incarnation, vm] : vms) {
        if (!may_take(vm, step, need, task, settings, now) || !is_allowed(advice, incarnation, now)) {
            continue;
        }
        const bool failed_here = std::ranges::find(failed_on, incarnation) != failed_on.end();
        const bool far = !near_rack.empty() && near_rack != vm.info().rack;
        const std::tuple cost{
            failed_here,        far, vm.has_other_suspects(task.job), vm.strikes(), !vm.hosts_endless(),
            -fullness(vm, need)};
        if (best == nullptr || cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    return best;
}

vm_state* choose_vm_for_suspect(vm_table& vms, const job_state& job, const task_id& task,
                                const placement_settings& settings, const step_advice* advice,
                                const std::string& near_rack, bool may_widen, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = counted_need(step);
    vm_state* best = nullptr;
    std::tuple<bool, bool, bool, std::size_t> best_cost;
    for (auto& [incarnation, vm] : vms) {
        if (!may_take(vm, step, need, task, settings, now) || !is_allowed(advice, incarnation, now) ||
            (vm.suspect_jobs.empty() && !may_widen)) {
            continue;
        }
        const bool far = !near_rack.empty() && near_rack != vm.info().rack;
        const std::tuple cost{vm.has_other_suspects(task.job), vm.hosts_endless(), far, vm.tasks().size()};
        if (best == nullptr || cost < best_cost) {
            best = &vm;
            best_cost = cost;
        }
    }
    return best;
}

bool could_take(const vm_state& vm, const job_state& job, const task_id& task,
                const placement_settings& settings, const step_advice* advice, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    resources most = vm.info().capacity;
    most -= vm.endless_used();
    return counted_need(step).fits_in(most) && is_open(vm, step, task, settings, now) &&
           is_allowed(advice, vm.info().incarnation, now);
}

std::string rack_for_gang(const vm_table& vms, const job_state& job, const task_id& task,
                          const placement_settings& settings, const step_advice* advice, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = counted_need(step);
    std::map<std::string, std::uint32_t> fitting;
    for (const auto& [incarnation, vm] : vms) {
        if (may_take(vm, step, need, task, settings, now) && is_allowed(advice, incarnation, now)) {
            fitting[vm.info().rack] += fitting_tasks(vm, step, task);
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

std::vector<std::string> vms_worth_asking(const vm_table& vms, const job_state& job, const task_id& task,
                                          const placement_settings& settings, const step_advice& advice,
                                          std::size_t most, timestamp now) {
    const step_spec& step = job.spec().steps[task.step];
    const resources need = counted_need(step);
    std::vector<std::pair<double, std::string>> open;
    for (const auto& [incarnation, vm] : vms) {
        if (may_take(vm, step, need, task, settings, now) && advice.is_open(incarnation, now)) {
            open.emplace_back(fullness(vm, need), incarnation);
        }
    }
    std::ranges::sort(open);
    std::vector<std::string> names;
    for (const auto& [filled, incarnation] : open) {
        if (names.size() < most) {
            names.push_back(incarnation);
        }
    }
    return names;
}

} // namespace siskinpaddle::jobs
