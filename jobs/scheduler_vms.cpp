#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// A VM answers with at most this many ends; with more waiting, its list says nothing about what is missing.
constexpr std::size_t ends_in_full_report = 500;
/// How long a VM that calls itself unhealthy is left alone.
constexpr milliseconds unhealthy_pause = 1s;

} // namespace

void scheduler::add_or_update_vm(const vm_info& info) {
    m_work_gauge.record_vm_capacity(info.capacity);
    const auto found = m_vms.find(info.incarnation);
    if (found == m_vms.end()) {
        m_vms.emplace(info.incarnation, vm_state(info));
        return;
    }
    found->second.set_info(info);
    found->second.listed = true;
}

void scheduler::mark_vm_delisted(const std::string& vm) {
    const auto found = m_vms.find(vm);
    if (found != m_vms.end()) {
        found->second.listed = false;
    }
}

void scheduler::expect_vm(const vm_info& info) {
    if (!m_vms.contains(info.incarnation)) {
        vm_state vm(info);
        vm.listed = false;
        m_vms.emplace(info.incarnation, std::move(vm));
    }
    m_unconfirmed_vms.insert(info.incarnation);
    if (const auto unresponsive = m_unresponsive_vms.find(info.incarnation);
        unresponsive != m_unresponsive_vms.end()) {
        unresponsive->second = info.machine;
    }
}

void scheduler::handle_vm_ended(const std::string& vm, vm_end_cause cause, timestamp now) {
    const auto found = m_vms.find(vm);
    const bool was_unconfirmed = m_unconfirmed_vms.erase(vm) > 0;
    if (found == m_vms.end()) {
        return;
    }
    if (was_unconfirmed && cause != vm_end_cause::ordered && !found->second.info().draining) {
        m_ended_unconfirmed_vms.push_back(vm);
    }
    drop_all_runs(found->second, cause, now);
    m_vms.erase(found);
}

void scheduler::handle_vm_unreachable(const std::string& vm, timestamp now) {
    if (const auto found = m_vms.find(vm); found != m_vms.end()) {
        found->second.reachable = false;
        found->second.record_missed_response(now);
    }
}

void scheduler::handle_report(const std::string& name, const vm_report& report, timestamp now) {
    const auto found = m_vms.find(name);
    if (found == m_vms.end()) {
        return;
    }
    vm_state& vm = found->second;
    if (!vm.has_responded()) {
        // An earlier owner may have granted a whole lease just before: without this, runs that are adopted
        // here look lapsed until our first renewal is answered, and are started a second time.
        vm.record_granted_deadline(report.clock_ms + m_settings.lease.count());
    }
    vm.record_response(report.clock_ms, now);
    vm.reachable = true;
    process_unresponsive_vm_response(name, now);
    for (const end_report& end : report.ended) {
        if (end.sequence > vm.last_received_end) {
            vm.last_received_end = end.sequence;
            m_has_ends_to_store = true;
            process_end(vm, end, now);
        }
    }
    for (const running_report& item : report.running) {
        if (has_task(item.task)) {
            process_running(vm, item, report, now);
        }
    }
    process_orphans(vm, report);
    if (report.ended.size() < ends_in_full_report) {
        drop_missing_runs(vm, report, now);
    }
    m_unconfirmed_vms.erase(name);
    end_superseded_incarnations(vm.info(), now);
    confirm_superseded_vms(vm.info(), now);
    adjust_pace(vm);
}

/// A machine holds one life of a VM at a time. A VM of the earlier owner's record was alive before this owner
/// began, so a later life of its machine that answers this owner shows that it has ended. Answers VMs that
/// crash while nobody can take over, such as in an outage of the store: the new owner can't reach them, they
/// still stand in its pool, and all tasks that it had not found yet waited for the longest lease to run out.
/// That a later life is registered isn't enough: the last heartbeat of an ended one can bring its entry back.
void scheduler::end_superseded_incarnations(const vm_info& alive, timestamp now) {
    std::vector<std::string> ended;
    for (const std::string& name : m_unconfirmed_vms) {
        const auto found = m_vms.find(name);
        if (found != m_vms.end() && found->second.info().machine == alive.machine &&
            name != alive.incarnation) {
            ended.push_back(name);
        }
    }
    for (const std::string& name : ended) {
        add_note("earlier-life-ended", name, nullptr, 0);
        handle_vm_ended(name, vm_end_cause::superseded, now);
    }
}

void scheduler::handle_start_answer(const start_order& order, order_outcome outcome, std::int64_t clock_ms,
                                    timestamp now) {
    const auto job = m_jobs.find(order.task.job);
    const auto vm = m_vms.find(order.vm);
    m_start_window.release(order.task, order.attempt);
    if (vm != m_vms.end() && clock_ms > 0) {
        vm->second.record_response(clock_ms, now);
    }
    if (job == m_jobs.end()) {
        return;
    }
    task_state& task = job->second.task(order.task);
    const auto item = std::ranges::find_if(
        task.runs, [&](const run& one) { return one.attempt == order.attempt && one.vm == order.vm; });
    if (item == task.runs.end()) {
        return; // Its end was reported before this answer, or its VM is gone.
    }
    switch (outcome) {
    case order_outcome::accepted:
        if (item->phase == run_phase::starting) {
            item->phase = run_phase::running;
        }
        item->confirmed_clock = std::max(item->confirmed_clock, clock_ms);
        item->progress_at = now;
        job->second.set_begun();
        return;
    case order_outcome::unknown:
        if (vm != m_vms.end()) {
            vm->second.record_missed_response(now);
        }
        if (item->phase == run_phase::starting) {
            item->phase = run_phase::unconfirmed;
            // A stop settles it soonest. But a long-running task that is there is at work, and stopping it
            // would take it away from its users: there a report after the start's deadline settles it.
            if (!job->second.spec().steps[order.task.step].long_running) {
                stop_run(order.task, *item, now);
            }
        }
        return;
    case order_outcome::refused_capacity:
        if (vm != m_vms.end()) {
            vm->second.capacity_refused_at_clock = clock_ms;
        }
        break;
    case order_outcome::refused_unhealthy:
        if (vm != m_vms.end()) {
            vm->second.quarantine(now + unhealthy_pause);
        }
        break;
    default:
        break;
    }
    if (item->phase != run_phase::running) {
        drop_run(job->second, order.task, order.attempt, order.vm, now);
    }
}

void scheduler::handle_stop_answer(const stop_order& order, order_outcome outcome, std::int64_t clock_ms,
                                   timestamp now) {
    const auto job = m_jobs.find(order.task.job);
    if (job == m_jobs.end() || !job->second.contains(order.task) || outcome != order_outcome::accepted) {
        return;
    }
    for (run& item : job->second.task(order.task).runs) {
        if (item.attempt == order.attempt && item.vm == order.vm) {
            // From here on a run that isn't there can't come any more: a newer report settles it.
            item.stop_acked_at = now;
            item.confirmed_clock = std::max(item.confirmed_clock, clock_ms);
        }
    }
}

void scheduler::handle_advice_answer(const advice_request& request, const advice_answer& answer,
                                     timestamp now) {
    const auto found = m_advice.find({request.job, request.occurrence, request.step});
    if (found != m_advice.end()) {
        found->second.record_answer(request, answer, now);
    }
}

void scheduler::cordon(const std::string& vm, bool on) {
    if (const auto found = m_vms.find(vm); found != m_vms.end()) {
        found->second.cordoned = on;
    }
}

bool scheduler::is_releasable(const std::string& vm) const {
    const auto found = m_vms.find(vm);
    return !m_unconfirmed_vms.contains(vm) && (found == m_vms.end() || found->second.is_idle());
}

std::int64_t scheduler::grant_lease_renewal(const std::string& vm, timestamp now) {
    const auto found = m_vms.find(vm);
    if (found == m_vms.end() || !found->second.reachable) {
        // A renewal that is not answered may still arrive. Were it to carry a new deadline, the lease of a VM
        // that is silent would never have run out for certain, and its runs would never start again
        // elsewhere.
        return 0;
    }
    if (found->second.tasks().empty() && !found->second.orphans().empty()) {
        return 0; // All that runs there is unwanted. Where no stop arrives, its lease ends it.
    }
    const std::int64_t deadline = found->second.lease_deadline(now, m_settings.lease);
    if (deadline > 0) {
        found->second.record_granted_deadline(deadline);
    }
    return deadline;
}

/// A VM with as many short tasks hears of an end within the time of a close look anyway, so that close looks
/// cost few calls more. A look whose answer is lost is found out about as much sooner: until then no end on
/// the VM is heard of and no room there is used again.
bool scheduler::needs_frequent_polling(const std::string& name) const {
    const auto found = m_vms.find(name);
    if (found == m_vms.end()) {
        return false;
    }
    if (!found->second.orphans().empty()) {
        return true;
    }
    bool serving = false;
    bool leftover = false;
    std::size_t short_runs = 0;
    for (const task_id& id : found->second.tasks()) {
        const job_state& job = m_jobs.find(id.job)->second;
        const step_spec& step = job.spec().steps[id.step];
        serving = serving || step.target_tail_latency_ms > 0;
        leftover = leftover || step.best_effort;
        short_runs += step.long_running ? 0 : 1;
        for (const run& item : job.task(id).runs) {
            if (item.vm == name &&
                (item.phase == run_phase::unconfirmed || item.phase == run_phase::stopping ||
                 (step.long_running && item.percent < 100))) {
                return true;
            }
        }
    }
    return (serving && leftover) || short_runs >= m_settings.frequent_poll_runs;
}

} // namespace siskinpaddle::jobs
