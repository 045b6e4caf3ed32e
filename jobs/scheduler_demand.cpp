#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Upper bound of shrink_factor(). VMs that have shrunk further are practically lost, and their loss is
/// detected elsewhere.
constexpr double max_shrink_factor = 4;

/// Counts the tasks of the step that could start now if there were capacity for them.
std::uint64_t count_waiting_tasks(const job_state& job, step_position position) {
    const bool is_ready = job.idle_tasks(position) > 0 && job.dependencies_done(position);
    return is_ready ? job.startable_tasks(position) : 0;
}

} // namespace

pool_load scheduler::load() const {
    pool_load load;
    std::int64_t largest = 0;
    load.waiting_work = m_waiting_work;
    load.runnable_work = m_runnable_work;
    load.upcoming_work = m_upcoming_work;
    load.late_work = m_late_work;
    load.surplus_work = m_surplus_work;
    load.runnable_surplus_work = m_runnable_surplus_work;
    for (const auto& [name, vm] : m_vms) {
        if (vm.listed && vm.reachable && !vm.cordoned && !vm.info().draining) {
            load.usable_millicores += vm.info().capacity.cpu_millicores;
            load.used_millicores += m_work_gauge.equivalent_millicores(vm.used());
            load.long_lived_millicores += m_work_gauge.equivalent_millicores(vm.long_lived_used());
            ++load.usable_vms;
            largest = std::max(largest, vm.info().capacity.cpu_millicores);
        }
    }
    load.sustained_millicores = m_sustained_millicores;
    load.arriving_millicores = largest * static_cast<std::int64_t>(m_arriving_vms);
    load.obtainable_millicores = largest * static_cast<std::int64_t>(m_obtainable_vms);
    return load;
}

pool_demand scheduler::demand(timestamp now) {
    pool_demand result;
    const pool_load present = load();
    m_demand_meter.update(present.wanted_millicores(), present.long_lived_millicores, now);
    const std::int64_t need = present.limit_to_sustained(m_demand_meter.current_need());
    const std::int64_t with_late =
        present.limit_to_sustained(need + present.late_millicores() + present.surplus_millicores());
    const auto scale_to_full_capacity = [factor = shrink_factor()](std::int64_t millicores) {
        return static_cast<std::int64_t>(static_cast<double>(millicores) * factor);
    };
    result.need_millicores = scale_to_full_capacity(need);
    result.retained_millicores =
        scale_to_full_capacity(present.limit_to_sustained(m_demand_meter.smoothed_need()));
    result.late_millicores = scale_to_full_capacity(std::max<std::int64_t>(0, with_late - need));
    result.min_vms = vms_for_long_lived(present.usable_vms);
    if (m_isolation_lacks_vm) {
        result.min_vms = std::max<std::uint64_t>(result.min_vms, present.usable_vms + 1);
    }
    result.labels = m_label_meters.update(wanted_by_label(now), now);
    for (const auto& [name, vm] : m_vms) {
        vm_load item;
        item.vm = name;
        item.is_usable =
            vm.listed && vm.reachable && vm.has_responded() && !vm.info().draining && !vm.is_quarantined(now);
        item.is_idle = is_releasable(name);
        item.hosts_long_lived = vm.hosts_long_lived();
        item.used_millicores = m_work_gauge.equivalent_millicores(vm.used());
        result.vms.push_back(std::move(item));
    }
    return result;
}

/// Ratio of the largest capacity that the pool's VMs have had to their present capacity. Machines are counted
/// by their largest capacity: without this factor, a pool whose VMs have shrunk would request as many as
/// before, and its queue would not drain.
double scheduler::shrink_factor() const {
    std::int64_t now = 0;
    std::int64_t largest = 0;
    for (const auto& [name, vm] : m_vms) {
        if (vm.listed && !vm.info().draining) {
            now += vm.info().capacity.cpu_millicores;
            largest += vm.max_millicores();
        }
    }
    if (now <= 0) {
        return 1;
    }
    return std::min(max_shrink_factor, static_cast<double>(largest) / static_cast<double>(now));
}

/// Number of VMs that would let all waiting long-lived tasks run: the usable VMs, and as many more as the
/// step with the largest shortage needs. Counts VMs, not capacity: a step of 25 tasks of which two may share
/// a VM needs 13. By capacity, the pool would request one VM at a time, each after the previous one has
/// arrived; the last task of a job that is accepted 7 s before its traffic would start 41 s into it.
/// Meanwhile no maintenance could move a task of the job, since the tasks that have never started use up its
/// disruption budget.
std::uint64_t scheduler::vms_for_long_lived(std::size_t usable_vms) const {
    const auto each = static_cast<std::uint64_t>(
        std::max<std::int64_t>(1, m_work_gauge.largest_vm_capacity().cpu_millicores));
    std::uint64_t missing = 0;
    std::uint64_t waiting_millicores = 0;
    for (const auto& item : m_jobs) {
        const job_state& job = item.second;
        if (is_final(job.phase()) || job.total_idle_tasks() == 0 || !job.spec().is_long_lived()) {
            continue;
        }
        job.for_each_step([&](step_position position) {
            const step_spec& step = job.spec().steps[position.step];
            const std::uint64_t tasks = count_waiting_tasks(job, position);
            const std::uint64_t most = step.max_per_vm == 0 ? tasks : step.max_per_vm;
            missing = std::max(missing, tasks == 0 ? 0 : (tasks + most - 1) / most);
            waiting_millicores += tasks * static_cast<std::uint64_t>(
                                              m_work_gauge.equivalent_millicores(reserved_resources(step)));
        });
    }
    missing = std::max(missing, (waiting_millicores + each - 1) / each);
    return missing == 0 ? 0 : usable_vms + missing;
}

/// Millicores that running tasks of each label use, and that waiting ones would use if those that can run
/// were done within the drain time.
std::map<std::string, std::int64_t> scheduler::wanted_by_label(timestamp now) const {
    std::map<std::string, std::int64_t> wanted;
    for (const auto& item : m_jobs) {
        const job_state& job = item.second;
        if (!job.requires_label() || is_final(job.phase())) {
            continue;
        }
        job.for_each_step([&](step_position position) {
            const step_spec& step = job.spec().steps[position.step];
            const bool soon = job.begins_at(position.occurrence, m_wall_offset) <= now + machine_lead_time;
            if (step.required_label.empty() || !soon || !job.dependencies_done(position) ||
                job.unfinished_tasks(position) == 0) {
                return;
            }
            const std::uint32_t idle = job.idle_tasks(position);
            const std::int64_t each = m_work_gauge.equivalent_millicores(reserved_resources(step));
            const std::int64_t waiting =
                step.long_lived ? idle * each
                                : estimate_work(step, idle, job.spec().queue, m_work_gauge) / drain_time_ms;
            wanted[step.required_label] += (job.unfinished_tasks(position) - idle) * each + waiting;
        });
    }
    return wanted;
}

/// Measures the work that is still waiting after placement. Work that is already late doesn't delay other
/// jobs and is counted separately. Occurrences that aren't due yet don't count as waiting either: if they
/// did, a job of six occurrences in half a minute would keep every other job out of its pool while the pool
/// is idle. Machines are requested ahead of due times. Work that waits for its account's limit needs no
/// machines and delays no job of another account. Surplus work, too, delays no job within a share, and is
/// counted separately.
void scheduler::measure_waiting_work(timestamp now) {
    m_waiting_work = 0;
    m_runnable_work = 0;
    m_upcoming_work = 0;
    m_late_work = 0;
    m_surplus_work = 0;
    m_runnable_surplus_work = 0;
    m_account_work.clear();
    m_account_share_work.clear();
    m_commitments.clear();
    for (const auto& [id, job] : m_jobs) {
        if (is_final(job.phase()) || job.all_done()) {
            continue;
        }
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
            const timestamp begins_at = job.begins_at(occurrence, m_wall_offset);
            if (begins_at > now + machine_lead_time) {
                break;
            }
            if (m_accounts.is_limited(job.account())) {
                m_account_work[job.account()] += estimate_waiting_work(job, occurrence, m_work_gauge).all;
            } else if (begins_at > now) {
                m_upcoming_work += estimate_waiting_work(job, occurrence, m_work_gauge).runnable;
            } else if (const job_rank rank = rank_of(job, *queue_of(job), begins_at, now); rank.group <= 1) {
                add_waiting_work(job, occurrence);
                if (!job.is_surplus) {
                    add_commitments(job, occurrence, rank.objective_at, now);
                }
            } else {
                m_late_work += estimate_waiting_work(job, occurrence, m_work_gauge).all;
            }
        }
    }
}

void scheduler::add_waiting_work(const job_state& job, std::uint32_t occurrence) {
    const waiting_work waiting = estimate_waiting_work(job, occurrence, m_work_gauge);
    m_account_work[job.account()] += waiting.all;
    if (job.is_surplus) {
        m_surplus_work += waiting.all;
        m_runnable_surplus_work += waiting.runnable;
        return;
    }
    m_waiting_work += waiting.all;
    m_runnable_work += waiting.runnable;
    m_account_share_work[job.account()] += waiting.all;
}

/// Adds the work of one occurrence that can still meet its objective: each step is due early enough for the
/// steps that depend on it.
void scheduler::add_commitments(const job_state& job, std::uint32_t occurrence, timestamp objective_at,
                                timestamp now) {
    const std::string& queue = job.spec().queue;
    const double factor = m_work_gauge.time_factor(queue);
    job.for_each_step_of(occurrence, [&](step_position position) {
        const step_spec& step = job.spec().steps[position.step];
        if (step.long_lived || job.unfinished_tasks(position) == 0) {
            return;
        }
        const auto time_after =
            static_cast<std::int64_t>(factor * static_cast<double>(job.time_after_step_ms(position.step)));
        const timestamp due = objective_at - milliseconds(time_after);
        m_commitments.add(due, estimate_work(step, job.idle_tasks(position), queue, m_work_gauge));
        const std::int64_t millicores = m_work_gauge.equivalent_millicores(step.need);
        for (std::uint32_t index = 0; index < step.count; ++index) {
            const task_state& task = job.task(job.id_of(position, index));
            if (!task.done && !task.runs.empty()) {
                const milliseconds left = m_run_times.expected_remaining(queue, step.estimate_ms,
                                                                         now - task.runs.front().started_at);
                m_commitments.add(due, millicores * left.count());
            }
        }
    });
}

} // namespace siskinpaddle::jobs
