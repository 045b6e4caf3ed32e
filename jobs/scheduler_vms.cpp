#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Maximum number of ends in a VM's report. A full report may leave out further ends, so it doesn't show
/// which runs are missing.
constexpr std::size_t ends_in_full_report = 500;
/// Time for which a VM that reports itself unhealthy gets no starts.
constexpr milliseconds unhealthy_pause = 1s;
/// Maximum age of a VM's report at which an acknowledgement is sent. A VM can't have started again, been
/// given a run and ended it in less.
constexpr milliseconds max_age_to_acknowledge = 250ms;

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
    drop_ended_runs(found->second, describe_end(found->second, cause, now), now);
    m_vms.erase(found);
}

std::string scheduler::add_restarted_vm(const std::string& previous, std::int64_t started_ms) {
    vm_info info = m_vms.find(previous)->second.info();
    info.incarnation = make_incarnation(vm_id_of(previous), started_ms);
    if (!m_vms.contains(info.incarnation)) {
        vm_state vm(info);
        vm.listed = false;
        m_vms.emplace(info.incarnation, std::move(vm));
    }
    return info.incarnation;
}

std::vector<std::string> scheduler::previous_incarnations(const std::string& vm) const {
    std::vector<std::string> found;
    const auto add = [&](const std::string& name, const vm_state& state) {
        if (name != vm && (state.has_responded() || m_unconfirmed_vms.contains(name))) {
            found.push_back(name);
        }
    };
    const std::string id(vm_id_of(vm));
    if (const auto without_start = m_vms.find(id); without_start != m_vms.end()) {
        add(id, without_start->second);
    }
    const std::string prefix = incarnation_prefix(id);
    for (auto item = m_vms.lower_bound(prefix); item != m_vms.end() && item->first.starts_with(prefix);
         ++item) {
        add(item->first, item->second);
    }
    return found;
}

std::vector<ended_run> scheduler::unproven_runs(const std::string& vm, timestamp now) const {
    std::vector<ended_run> found;
    const std::multiset<task_id>& tasks = m_vms.find(vm)->second.tasks();
    for (const task_id& id : std::set<task_id>(tasks.begin(), tasks.end())) {
        for (const run& item : m_jobs.find(id.job)->second.task(id).runs) {
            if (item.vm == vm && !item.is_proven()) {
                const bool accepted = item.accepted_at != timestamp(0);
                found.push_back({id, item.attempt, now - item.started_at, accepted});
            }
        }
    }
    return found;
}

/// Ends the previous incarnations of a VM that has just reported. Orders name the VM by its id, so a
/// start that no report has confirmed may have been, or may yet be, carried out by the present incarnation:
/// its run moves there. Returns the tasks whose runs have moved.
std::vector<task_id> scheduler::end_previous_incarnations(vm_state& current, timestamp now) {
    std::vector<task_id> moved;
    for (const std::string& name : previous_incarnations(current.info().incarnation)) {
        vm_state& previous = m_vms.find(name)->second;
        // An incarnation whose start isn't known may be the present one: a program that did not read start
        // times has recorded it, or the VM did not report them yet.
        const bool has_ended = start_time_of(name) > 0;
        const vm_end end = describe_end(previous, vm_end_cause::restarted, now);
        const std::vector<task_id> runs = move_runs(previous, current, !has_ended);
        moved.insert(moved.end(), runs.begin(), runs.end());
        stop_late_starts(previous, current, now);
        current.record_grant(previous.last_grant_at());
        if (m_unconfirmed_vms.erase(name) > 0 && has_ended && !previous.info().draining) {
            m_ended_unconfirmed_vms.push_back(name);
        }
        if (has_ended) {
            drop_ended_runs(previous, end, now);
        } else {
            process_unresponsive_vm_response(name, now);
        }
        m_vms.erase(name);
    }
    return moved;
}

/// Moves the runs that no report has listed, or all, from one incarnation of a VM to another.
std::vector<task_id> scheduler::move_runs(vm_state& from, vm_state& to, bool all) {
    std::vector<task_id> moved;
    const std::multiset<task_id> tasks = from.tasks();
    for (auto id = tasks.begin(); id != tasks.end(); id = tasks.upper_bound(*id)) {
        job_state& job = m_jobs.find(id->job)->second;
        const step_spec& step = job.spec().steps[id->step];
        for (run& item : job.task(*id).runs) {
            if (item.vm != from.info().incarnation || (item.reported && !all)) {
                continue;
            }
            from.remove_task(*id, reserved_resources(step), step.long_lived);
            to.add_task(*id, reserved_resources(step), step.long_lived);
            item.vm = to.info().incarnation;
            item.phase = run_phase::unconfirmed;
            item.reported = false;
            item.from_scratch = false; // The time since its start order is not the time that it takes.
            item.start_deadline = 0;
            item.confirmed_clock = 0;
            item.accepted_at = timestamp(0);
            item.stop_sent_at = timestamp(0);
            item.stop_acked_at = timestamp(0);
            moved.push_back(*id);
        }
    }
    return moved;
}

/// Stops start orders that the previous incarnation never answered, also where their runs are settled: a stop
/// keeps an order from being carried out late, and the present incarnation knows nothing of earlier stops.
void scheduler::stop_late_starts(vm_state& from, vm_state& to, timestamp now) {
    for (const unanswered_start& item : from.late_starts(now)) {
        if (!to.has_run(item.task)) {
            m_pending_decisions.stops.push_back({to.info().incarnation, item.task, item.attempt});
            to.record_unanswered_start(item.task, item.attempt, item.sent_at, now);
        }
    }
}

/// Stops the moved runs that the VM doesn't list. Its answer proves that their starts can't be carried out
/// any more: the deadlines of these orders are readings of another clock.
void scheduler::stop_unlisted_runs(const std::vector<task_id>& moved, const std::string& vm, timestamp now) {
    for (const task_id& id : moved) {
        for (run& item : m_jobs.find(id.job)->second.task(id).runs) {
            if (item.vm == vm && item.phase == run_phase::unconfirmed && item.stop_sent_at == timestamp(0)) {
                stop_run(id, item, now);
            }
        }
    }
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
    m_start_settling.record_response(now);
    if (report.clock_ms < vm.last_report_clock) {
        return; // A report that was requested meanwhile has overtaken it: its runs may have ended since.
    }
    vm.last_report_clock = report.clock_ms;
    if (!vm.is_fenced) {
        // The lease that the VM holds now isn't known. A previous owner may have granted one just before, and
        // a call for an earlier incarnation carries a deadline on another clock, which the VM shortens to its
        // longest lease.
        vm.record_granted_deadline(report.clock_ms + m_settings.max_vm_lease.count());
        vm.is_fenced = report.is_fenced;
    }
    vm.record_response(report.clock_ms, now);
    vm.last_report_at = now;
    vm.reachable = true;
    process_unresponsive_vm_response(name, now);
    const std::vector<task_id> moved = end_previous_incarnations(vm, now);
    for (const end_report& end : report.ended) {
        if (end.sequence > vm.last_received_end) {
            vm.last_received_end = end.sequence;
            m_has_ends_to_store = true;
            process_end(vm, end, now);
        } else if (has_run(vm, end)) {
            add_note("end-number-known", name, &end.task, end.attempt);
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
    stop_unlisted_runs(moved, name, now);
    m_unconfirmed_vms.erase(name);
    end_superseded_incarnations(vm.info(), now);
    confirm_superseded_vms(vm.info(), now);
    adjust_pace(vm);
}

/// A machine runs one incarnation of a VM at a time. A VM in the previous owner's record was alive before
/// this owner started, so a later incarnation on the same machine that reports to this owner proves that the
/// VM has ended. VMs can crash while no node can take over, such as in an outage of the store: the new owner
/// can't reach them, they are still in its pool, and all tasks that it has not found yet would wait for the
/// longest lease to expire. The registration of a later incarnation is no proof: the last heartbeat of an
/// ended one can restore its entry.
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
    const bool answered = outcome != order_outcome::unknown && outcome != order_outcome::not_sent;
    if (answered && vm != m_vms.end()) {
        if (const auto sent_at = vm->second.take_unanswered_start(order.task, order.attempt)) {
            m_start_settling.record_start_answer(*sent_at, now);
        }
    }
    if (job == m_jobs.end()) {
        return;
    }
    task_state& task = job->second.task(order.task);
    const auto item = std::ranges::find_if(
        task.runs, [&](const run& one) { return one.attempt == order.attempt && one.vm == order.vm; });
    if (item == task.runs.end()) {
        return; // The run's end was reported before this answer, or its VM is gone.
    }
    if (answered && item->phase != run_phase::unconfirmed) {
        m_start_settling.record_start_answer(item->started_at, now);
    }
    switch (outcome) {
    case order_outcome::accepted:
        if (item->phase == run_phase::starting) {
            item->phase = run_phase::running;
        } else if (item->phase == run_phase::unconfirmed && item->stop_sent_at != timestamp(0)) {
            item->phase = run_phase::stopping; // The run did start, and its stop is in flight.
        }
        item->confirmed_clock = std::max(item->confirmed_clock, clock_ms);
        item->accepted_at = now;
        item->progress_at = now;
        job->second.set_begun();
        return;
    case order_outcome::unknown:
        if (vm != m_vms.end()) {
            vm->second.record_missed_response(now);
            vm->second.record_unanswered_start(order.task, order.attempt, item->started_at, now);
        }
        if (item->phase == run_phase::starting) {
            item->phase = run_phase::unconfirmed;
            // A stop resolves the run soonest. A long-lived task that did start is serving its users,
            // though, and a stop would make it unavailable: its run is resolved by a report after the start's
            // deadline.
            if (!job->second.spec().steps[order.task.step].long_lived) {
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

bool scheduler::handle_stop_answer(const stop_order& order, order_outcome outcome, std::int64_t clock_ms,
                                   timestamp now) {
    const auto job = m_jobs.find(order.task.job);
    if (job == m_jobs.end() || !job->second.contains(order.task) || outcome != order_outcome::accepted) {
        return false;
    }
    m_start_settling.record_response(now);
    bool needs_report = false;
    for (run& item : job->second.task(order.task).runs) {
        if (item.attempt == order.attempt && item.vm == order.vm) {
            // From now on a run that isn't there can't start any more: a newer report resolves it.
            item.stop_acked_at = now;
            item.confirmed_clock = std::max(item.confirmed_clock, clock_ms);
            needs_report = needs_report || item.phase == run_phase::unconfirmed;
        }
    }
    return needs_report;
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

std::int64_t scheduler::ends_to_acknowledge(const std::string& vm, timestamp now) const {
    const auto found = m_vms.find(vm);
    if (found == m_vms.end() || !found->second.reachable ||
        now - found->second.last_report_at > max_age_to_acknowledge) {
        return 0;
    }
    return found->second.last_stored_end;
}

std::int64_t scheduler::grant_lease_renewal(const std::string& vm, timestamp now) {
    const auto found = m_vms.find(vm);
    if (found == m_vms.end() || !found->second.reachable) {
        // A renewal that is not answered may still arrive. If it carried a new deadline, the lease of an
        // unresponsive VM would never certainly expire, and its runs would never start again elsewhere.
        return 0;
    }
    if (found->second.tasks().empty() && !found->second.orphans().empty()) {
        return 0; // All runs there are unwanted. Where no stop arrives, the expiry of the lease ends them.
    }
    const std::int64_t deadline = found->second.lease_deadline(now, m_settings.lease);
    if (deadline > 0) {
        found->second.record_granted_deadline(deadline);
        found->second.record_grant(now);
    }
    return deadline;
}

/// A VM with this many short tasks reports an end within the interval of frequent polls anyway, so that
/// frequent polls cost few additional calls. They also detect sooner that the answer to a poll is lost: until
/// then no end on the VM is known and no free capacity there is used again.
bool scheduler::needs_frequent_polling(const std::string& name) const {
    const auto found = m_vms.find(name);
    if (found == m_vms.end()) {
        return false;
    }
    if (!found->second.orphans().empty()) {
        return true;
    }
    bool serving = false;
    bool best_effort = false;
    std::size_t short_runs = 0;
    for (const task_id& id : found->second.tasks()) {
        const job_state& job = m_jobs.find(id.job)->second;
        const step_spec& step = job.spec().steps[id.step];
        serving = serving || step.target_tail_latency_ms > 0;
        best_effort = best_effort || step.best_effort;
        short_runs += step.long_lived ? 0 : 1;
        for (const run& item : job.task(id).runs) {
            if (item.vm == name &&
                (item.phase == run_phase::unconfirmed || item.phase == run_phase::stopping ||
                 (step.long_lived && item.percent < 100))) {
                return true;
            }
        }
    }
    return (serving && best_effort) || short_runs >= m_settings.frequent_poll_runs;
}

} // namespace siskinpaddle::jobs
