#include "jobs/scheduler.hpp"

#include <algorithm>
#include <iterator>

namespace siskinpaddle::jobs {

namespace {

/// Whether the VM had answered the start or a stop of the run when the renewal was sent. This needs no clock
/// of the VM: an answer that doesn't say which incarnation gave it has none that could be compared.
bool is_settled_before(const run& item, timestamp requested_at) {
    const timestamp settled_at = std::max(item.accepted_at, item.stop_acked_at);
    return settled_at != timestamp(0) && settled_at < requested_at;
}

} // namespace

run& scheduler::add_run(job_state& job, const task_id& id, run item, vm_state& vm) {
    const step_spec& step = job.spec().steps[id.step];
    vm.add_task(id, reserved_resources(step), step.long_lived);
    m_accounts.add_run(job.account(), step.need, item.adopted);
    return job.add_run(id, std::move(item));
}

void scheduler::drop_run(job_state& job, const task_id& id, std::uint32_t attempt, const std::string& vm,
                         timestamp now) {
    const bool adopted = job.remove_run(id, attempt, vm, now).adopted;
    m_accounts.remove_run(job.account(), job.spec().steps[id.step].need, adopted);
    if (const auto found = m_vms.find(vm); found != m_vms.end()) {
        const step_spec& step = job.spec().steps[id.step];
        found->second.remove_task(id, reserved_resources(step), step.long_lived);
    }
}

void scheduler::stop_run(const task_id& id, run& item, timestamp now) {
    if (item.phase != run_phase::unconfirmed) {
        item.phase = run_phase::stopping;
    }
    item.stop_sent_at = now;
    m_pending_decisions.stops.push_back({item.vm, id, item.attempt});
}

/// Stops a start that is overdue. Its own answer may still arrive. Until the stop is answered and a newer
/// report doesn't list the run, the task counts as possibly running there.
void scheduler::settle_start(const task_id& id, run& item, vm_state& vm, timestamp now) {
    const milliseconds limit = m_start_settling.wait();
    if (!m_start_settling.settle(item.started_at, now)) {
        std::optional<timestamp>& next = m_pending_decisions.next_overdue_start;
        const timestamp overdue_at = item.started_at + limit;
        next = overdue_at > now ? std::min(next.value_or(overdue_at), overdue_at) : next;
        return;
    }
    item.phase = run_phase::unconfirmed;
    vm.record_unanswered_start(id, item.attempt, item.started_at, now);
    m_pending_decisions.settled_starts.push_back(
        {item.vm, id, item.attempt, now - item.started_at, limit, m_start_settling.answer_time()});
    stop_run(id, item, now);
}

void scheduler::stop_job_runs(job_state& job, timestamp now) {
    if (job.total_runs() == 0) {
        return;
    }
    job.for_each_step([&](step_position position) {
        for (std::uint32_t index = 0; index < job.spec().steps[position.step].count; ++index) {
            const task_id id = job.id_of(position, index);
            for (run& item : job.task(id).runs) {
                stop_run(id, item, now);
            }
        }
    });
}

void scheduler::process_done(job_state& job, const task_id& id, timestamp now) {
    const step_spec& step = job.spec().steps[id.step];
    clear_suspicion(job, id, "done");
    if (step.long_lived) {
        return; // A long-lived task runs until it is cancelled: however it ends, it is started again.
    }
    const auto finish_task = [&](const task_id& item) {
        clear_suspicion(job, item, "done");
        job.mark_done(item);
        for (run& other : job.task(item).runs) {
            if (!step.gang) {
                stop_run(item, other, now);
            }
        }
    };
    if (step.gang) {
        for (std::uint32_t index = 0; index < step.count; ++index) {
            finish_task(job.id_of({id.occurrence, id.step}, index));
        }
    } else {
        finish_task(id);
    }
    const bool ended = job.all_done() && !is_final(job.phase());
    if (ended) {
        finish_job(job, job_phase::completed, now);
    } else {
        mark_changed(job, false);
    }
}

void scheduler::process_failure(job_state& job, const task_id& id, std::uint32_t attempt, vm_state& vm,
                                timestamp now) {
    const step_spec& step = job.spec().steps[id.step];
    if (step.long_lived) {
        return;
    }
    const task_id counted = step.gang ? job.id_of({id.occurrence, id.step}, 0) : id;
    task_state& state = job.task(counted);
    if (std::ranges::find(state.failed_attempts, attempt) != state.failed_attempts.end()) {
        // A previous owner counted and stored this attempt, or other members of the gang failed with it.
        return;
    }
    state.failed_attempts.push_back(attempt);
    job.task(id).failed_on.push_back(vm.info().incarnation);
    mark_changed(job, false);
    const queue_settings& queue = *queue_of(job);
    // A queue whose settings are not known has no limit on attempts.
    if (state.failed_attempts.size() >= queue.max_attempts && !queue.name.empty()) {
        add_note("job-failed", vm.info().incarnation, &counted, attempt);
        finish_job(job, job_phase::failed, now);
    }
}

void scheduler::process_end(vm_state& vm, const end_report& end, timestamp now) {
    const auto found = m_jobs.find(end.task.job);
    if (found == m_jobs.end() || !found->second.contains(end.task)) {
        return;
    }
    job_state& job = found->second;
    task_state& task = job.task(end.task);
    job.set_begun();
    if (!end.checkpoint.empty() && !task.done) {
        task.checkpoint = end.checkpoint;
    }
    const std::string& incarnation = vm.info().incarnation;
    const auto known = std::ranges::find_if(
        task.runs, [&](const run& item) { return item.attempt == end.attempt && item.vm == incarnation; });
    if (known != task.runs.end()) {
        if (end.outcome == run_end::done && known->from_scratch) {
            const std::int64_t estimate_ms = job.spec().steps[end.task.step].estimate_ms;
            m_work_gauge.record_task(job.spec().queue, estimate_ms, now - known->started_at);
            m_run_times.record(job.spec().queue, estimate_ms, now - known->started_at);
        }
        drop_run(job, end.task, end.attempt, incarnation, now);
    }
    if (end.outcome == run_end::done) {
        vm.record_success();
    } else if (end.outcome == run_end::failed) {
        vm.record_failure(now);
    }
    if (is_final(job.phase()) || task.done) {
        return;
    }
    if (end.outcome == run_end::done) {
        process_done(job, end.task, now);
    } else if (end.outcome == run_end::failed) {
        process_failure(job, end.task, end.attempt, vm, now);
    }
}

/// Whether the run whose end the VM lists still counts as active there.
bool scheduler::has_run(const vm_state& vm, const end_report& end) const {
    if (!vm.has_run(end.task)) {
        return false;
    }
    const std::vector<run>& runs = m_jobs.find(end.task.job)->second.task(end.task).runs;
    return std::ranges::any_of(runs, [&](const run& item) {
        return item.attempt == end.attempt && item.vm == vm.info().incarnation;
    });
}

bool scheduler::has_task(const task_id& id) const {
    const auto found = m_jobs.find(id.job);
    return found != m_jobs.end() && found->second.contains(id);
}

/// Precondition: has_task(item.task).
void scheduler::process_running(vm_state& vm, const running_report& item, const vm_report& report,
                                timestamp now) {
    const std::string& incarnation = vm.info().incarnation;
    job_state& job = m_jobs.find(item.task.job)->second;
    task_state& task = job.task(item.task);
    auto known = std::ranges::find_if(
        task.runs, [&](const run& one) { return one.attempt == item.attempt && one.vm == incarnation; });
    if (known == task.runs.end()) {
        run adopted;
        adopted.attempt = item.attempt;
        adopted.vm = incarnation;
        adopted.phase = run_phase::running;
        adopted.adopted = true;
        adopted.started_at = now;
        adopted.progress_at = now;
        const bool unwanted = task.done || is_final(job.phase()) ||
                              (!task.runs.empty() && !job.spec().steps[item.task.step].speculative);
        run& added = add_run(job, item.task, std::move(adopted), vm);
        add_note(unwanted ? "stop-surplus-run" : "run-adopted", incarnation, &item.task, item.attempt);
        if (unwanted) {
            stop_run(item.task, added, now);
        }
        known = std::prev(task.runs.end());
    }
    job.set_begun();
    if (known->phase == run_phase::starting ||
        (known->phase == run_phase::unconfirmed && known->stop_sent_at == timestamp(0))) {
        known->phase = run_phase::running;
    } else if (known->phase == run_phase::unconfirmed) {
        known->phase = run_phase::stopping; // The run did start, and its stop is in flight.
    }
    known->reported = true;
    known->confirmed_clock = report.clock_ms;
    if (known->percent != item.percent || known->progress_at == timestamp(0)) {
        known->percent = item.percent;
        known->progress_at = now;
    }
    known->usage = item.usage;
    if (now - known->started_at >= proven_after) {
        clear_suspicion(job, item.task, "proven");
    }
    if (!item.checkpoint.empty()) {
        task.checkpoint = item.checkpoint;
    }
}

/// Records runs of jobs that this owner doesn't know: the job was cancelled or has ended, and its record is
/// removed. Such runs are kept until the VM no longer reports them. An owner can be removed while the runs of
/// a cancelled job are being stopped. With one stop for each report, a lost stop would leave such a run until
/// the VM's next report, and for its whole lease if the VM is no longer listed and so not polled again, while
/// other tasks are started in the capacity that the run still occupies.
void scheduler::process_orphans(vm_state& vm, const vm_report& report) {
    std::vector<running_report> unknown;
    std::ranges::copy_if(report.running, std::back_inserter(unknown),
                         [this](const running_report& item) { return !has_task(item.task); });
    for (const orphan_run& orphan : vm.set_orphans(unknown)) {
        add_note("stop-unknown-run", vm.info().incarnation, &orphan.task, orphan.attempt);
    }
}

/// Drops this owner's runs that the VM lists neither as running nor as ended. A report describes one moment
/// on the VM's clock; it resolves a run only if it is newer than the last confirmation of that run.
void scheduler::drop_missing_runs(vm_state& vm, const vm_report& report, timestamp now) {
    const std::string incarnation = vm.info().incarnation;
    std::set<std::pair<task_id, std::uint32_t>> listed;
    for (const running_report& item : report.running) {
        listed.emplace(item.task, item.attempt);
    }
    const std::set<task_id> tasks(vm.tasks().begin(), vm.tasks().end());
    for (const task_id& id : tasks) {
        job_state& job = m_jobs.find(id.job)->second;
        const std::vector<run> runs = job.task(id).runs;
        for (const run& item : runs) {
            if (item.vm != incarnation || listed.contains({id, item.attempt})) {
                continue;
            }
            const bool confirmed_before =
                (item.confirmed_clock > 0 && item.confirmed_clock < report.clock_ms) ||
                is_settled_before(item, report.requested_at);
            const bool start_expired = item.start_deadline > 0 && item.start_deadline < report.clock_ms;
            if (confirmed_before || (item.phase != run_phase::starting && start_expired)) {
                add_note("run-missing", incarnation, &id, item.attempt);
                drop_run(job, id, item.attempt, incarnation, now);
            }
        }
    }
}

vm_end scheduler::describe_end(const vm_state& vm, vm_end_cause cause, timestamp now) const {
    vm_end end;
    end.vm = vm.info().incarnation;
    end.machine = vm.info().machine;
    end.cause = cause;
    end.had_responded = vm.has_responded();
    end.draining = vm.info().draining;
    end.isolated = !vm.isolated_for_job.empty();
    end.clock_ms = vm.clock_ms();
    end.granted_deadline = vm.granted_deadline();
    end.unresponsive_since = vm.unresponsive_since() == timestamp(0) ? now : vm.unresponsive_since();
    const std::set<task_id> tasks(vm.tasks().begin(), vm.tasks().end());
    for (const task_id& id : tasks) {
        for (const run& item : m_jobs.find(id.job)->second.task(id).runs) {
            if (item.vm == end.vm) {
                const milliseconds age =
                    std::max<milliseconds>(0ms, end.unresponsive_since - item.started_at);
                const bool confirmed = item.phase == run_phase::running || item.confirmed_clock > 0;
                end.runs.push_back({id, item.attempt, age, confirmed});
            }
        }
    }
    return end;
}

/// Drops the runs that `end` lists and that are still counted there.
void scheduler::drop_ended_runs(vm_state& vm, const vm_end& end, timestamp now) {
    if (!end.runs.empty()) {
        m_pending_decisions.ended_vms.push_back(end);
    }
    const char* reason = end.cause == vm_end_cause::lease_expired ? "lease-lapsed" : "vm-gone";
    const std::string incarnation = vm.info().incarnation;
    for (const ended_run& ended : end.runs) {
        job_state& job = m_jobs.find(ended.task.job)->second;
        const std::vector<run>& runs = job.task(ended.task).runs;
        const bool is_there = std::ranges::any_of(
            runs, [&](const run& item) { return item.vm == incarnation && item.attempt == ended.attempt; });
        if (is_there) {
            add_note(reason, incarnation, &ended.task, ended.attempt);
            drop_run(job, ended.task, ended.attempt, incarnation, now);
        }
    }
    vm.set_orphans({});
    evaluate_vm_end(
        end, end.cause == vm_end_cause::lease_expired ? end_certainty::lease_expired : end_certainty::ended,
        now);
}

} // namespace siskinpaddle::jobs
