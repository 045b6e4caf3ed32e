#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// Queues that the configuration no longer names keep their jobs; these get the mildest terms.
const queue_settings unknown_queue{};

} // namespace

scheduler::scheduler(scheduler_settings settings, std::uint32_t epoch, timestamp now)
    : m_settings(settings), m_first_attempt(epoch * settings.attempts_per_epoch),
      m_unaccounted_until(now + settings.unaccounted_window) {}

const queue_settings* scheduler::queue_of(const job_state& job) const {
    const auto found = std::ranges::find(m_queues, job.spec().queue, &queue_settings::name);
    return found == m_queues.end() ? &unknown_queue : &*found;
}

void scheduler::note(std::string what, const std::string& vm, const task_id* task, std::uint32_t attempt) {
    scheduler_note item{std::move(what), vm, {}, attempt};
    if (task != nullptr) {
        item.task = *task;
    }
    m_out.notes.push_back(std::move(item));
}

void scheduler::changed(job_state& job, bool urgent) {
    ++job.changed;
    m_changed.insert(job.spec().id);
    m_urgent = m_urgent || urgent;
}

// --- Jobs ---

admission_verdict scheduler::judge(const job_spec& spec) const {
    const auto found = std::ranges::find(m_queues, spec.queue, &queue_settings::name);
    if (found == m_queues.end()) {
        return {};
    }
    const job_state probe(spec, timestamp(0));
    return admit(spec, *found, probe.longest_chain_ms(), load());
}

pool_load scheduler::load() const {
    pool_load load;
    std::int64_t largest = 0;
    load.waiting_work = m_waiting_work;
    load.runnable_work = m_runnable_work;
    for (const auto& [name, vm] : m_vms) {
        if (vm.listed && vm.reachable && !vm.cordoned && !vm.info().draining) {
            load.usable_millicores += vm.info().capacity.cpu_millicores;
            load.used_millicores += vm.used().cpu_millicores;
            ++load.usable_vms;
            largest = std::max(largest, vm.info().capacity.cpu_millicores);
        }
    }
    load.arriving_millicores = largest * static_cast<std::int64_t>(m_arriving_vms);
    load.lendable_millicores = largest * static_cast<std::int64_t>(m_lendable_vms);
    return load;
}

pool_demand scheduler::demand(timestamp now) {
    pool_demand result;
    m_demand.update(load().wanted_millicores(), now);
    result.need_millicores = m_demand.present();
    result.keep_millicores = m_demand.kept();
    for (const auto& [name, vm] : m_vms) {
        vm_load item;
        item.vm = name;
        item.usable =
            vm.listed && vm.reachable && vm.ever_heard() && !vm.info().draining && !vm.set_aside_at(now);
        item.idle = is_settled(name);
        item.long_running = vm.hosts_long_running();
        item.used_millicores = vm.used().cpu_millicores;
        result.vms.push_back(std::move(item));
    }
    return result;
}

void scheduler::job_arrived(const job_spec& spec, timestamp now) {
    if (!spec.long_running() && !spec.timed) {
        m_demand.arrived(spec.id, whole_work(spec), now);
    }
}

void scheduler::expect_vms(std::size_t arriving, std::size_t lendable) {
    m_arriving_vms = arriving;
    m_lendable_vms = lendable;
}

void scheduler::add_job(const job_record& record, timestamp accepted_at) {
    const auto [place, added] = m_jobs.emplace(record.spec.id, job_state(record.spec, accepted_at));
    if (added) {
        m_waiting_work += waiting_work(place->second);
        m_runnable_work += runnable_work(place->second);
    }
}

void scheduler::restore_job(const job_record& record, const std::optional<job_progress>& progress,
                            timestamp accepted_at) {
    job_state job(record.spec, accepted_at);
    job_progress stored = progress.value_or(job_progress{});
    job.restore(stored);
    job.durable_final = is_final(job.phase());
    m_jobs.emplace(record.spec.id, std::move(job));
}

cancel_outcome scheduler::cancel(const std::string& job, timestamp now) {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return cancel_outcome::unknown_job;
    }
    if (is_final(found->second.phase())) {
        return cancel_outcome::already_final;
    }
    finish(found->second, job_phase::cancelled, now);
    return cancel_outcome::cancelled;
}

void scheduler::finish(job_state& job, job_phase phase, timestamp now) {
    job.set_phase(phase);
    job.final_at = now;
    changed(job, true);
    stop_all(job, now);
}

std::optional<job_phase> scheduler::phase_of(const std::string& job) const {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    const job_state& state = found->second;
    if (is_final(state.phase()) && state.durable_final) {
        return state.phase();
    }
    return state.has_begun() ? job_phase::running : job_phase::queued;
}

std::size_t scheduler::pending(const std::string& queue) const {
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [&](const auto& item) {
        const job_state& job = item.second;
        return job.spec().queue == queue && !job.has_begun() && !is_final(job.phase());
    }));
}

const job_state* scheduler::find_job(const std::string& job) const {
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::vector<std::pair<std::string, job_phase>> scheduler::forget_final(timestamp now, milliseconds keep) {
    std::vector<std::pair<std::string, job_phase>> forgotten;
    std::erase_if(m_jobs, [&](const auto& item) {
        const job_state& job = item.second;
        if (!job.durable_final || job.runs_total() > 0 || now - job.final_at < keep) {
            return false;
        }
        forgotten.emplace_back(item.first, job.phase());
        std::erase_if(m_advice, [&](const auto& known) { return std::get<0>(known.first) == item.first; });
        return true;
    });
    return forgotten;
}

// --- Runs ---

void scheduler::drop_run(job_state& job, const task_id& id, std::uint32_t attempt, const std::string& vm,
                         timestamp now) {
    job.remove_run(id, attempt, vm, now);
    if (const auto found = m_vms.find(vm); found != m_vms.end()) {
        const step_spec& step = job.spec().steps[id.step];
        found->second.remove_task(id, counted_need(step), step.long_running);
    }
}

void scheduler::stop_run(const task_id& id, run& item, timestamp now) {
    if (item.phase != run_phase::unsettled) {
        item.phase = run_phase::stopping;
    }
    item.stop_sent_at = now;
    m_out.stops.push_back({item.vm, id, item.attempt});
}

void scheduler::stop_all(job_state& job, timestamp now) {
    if (job.runs_total() == 0) {
        return;
    }
    job.each_step([&](step_place place) {
        for (std::uint32_t index = 0; index < job.spec().steps[place.step].count; ++index) {
            const task_id id = job.id_of(place, index);
            for (run& item : job.task(id).runs) {
                stop_run(id, item, now);
            }
        }
    });
}

void scheduler::take_done(job_state& job, const task_id& id, timestamp now) {
    const step_spec& step = job.spec().steps[id.step];
    if (step.long_running) {
        return; // It is to run until it is cancelled: however it ends, it starts again.
    }
    const auto finish_task = [&](const task_id& item) {
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
        finish(job, job_phase::completed, now);
    } else {
        changed(job, false);
    }
}

void scheduler::take_failure(job_state& job, const task_id& id, std::uint32_t attempt, vm_state& vm,
                             timestamp now) {
    const step_spec& step = job.spec().steps[id.step];
    if (step.long_running) {
        return;
    }
    const task_id counted = step.gang ? job.id_of({id.occurrence, id.step}, 0) : id;
    task_state& state = job.task(counted);
    if (std::ranges::find(state.failed_attempts, attempt) != state.failed_attempts.end()) {
        return; // Counted and stored by an earlier owner, or the gang's other members failed with it.
    }
    state.failed_attempts.push_back(attempt);
    job.task(id).failed_on.push_back(vm.info().incarnation);
    changed(job, false);
    const queue_settings& queue = *queue_of(job);
    if (state.failed_attempts.size() >= queue.max_attempts && &queue != &unknown_queue) {
        note("job-failed", vm.info().incarnation, &counted, attempt);
        finish(job, job_phase::failed, now);
    }
}

void scheduler::take_end(vm_state& vm, const end_report& end, timestamp now) {
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
    const bool known = std::ranges::any_of(
        task.runs, [&](const run& item) { return item.attempt == end.attempt && item.vm == incarnation; });
    if (known) {
        drop_run(job, end.task, end.attempt, incarnation, now);
    }
    if (end.how == run_end::done) {
        vm.book_success();
    } else if (end.how == run_end::failed) {
        vm.book_failure(now);
    }
    if (is_final(job.phase()) || task.done) {
        return;
    }
    if (end.how == run_end::done) {
        take_done(job, end.task, now);
    } else if (end.how == run_end::failed) {
        take_failure(job, end.task, end.attempt, vm, now);
    }
}

void scheduler::take_running(vm_state& vm, const running_report& item, const vm_report& report,
                             timestamp now) {
    const std::string& incarnation = vm.info().incarnation;
    const auto found = m_jobs.find(item.task.job);
    if (found == m_jobs.end() || !found->second.contains(item.task)) {
        note("stop-unknown-run", incarnation, &item.task, item.attempt);
        m_out.stops.push_back({incarnation, item.task, item.attempt});
        return;
    }
    job_state& job = found->second;
    task_state& task = job.task(item.task);
    auto known = std::ranges::find_if(
        task.runs, [&](const run& one) { return one.attempt == item.attempt && one.vm == incarnation; });
    if (known == task.runs.end()) {
        run adopted;
        adopted.attempt = item.attempt;
        adopted.vm = incarnation;
        adopted.phase = run_phase::running;
        adopted.started_at = now;
        adopted.progress_at = now;
        const bool unwanted = task.done || is_final(job.phase()) ||
                              (!task.runs.empty() && !job.spec().steps[item.task.step].speculative);
        run& added = job.add_run(item.task, std::move(adopted));
        const step_spec& step = job.spec().steps[item.task.step];
        vm.add_task(item.task, counted_need(step), step.long_running);
        note(unwanted ? "stop-surplus-run" : "run-adopted", incarnation, &item.task, item.attempt);
        if (unwanted) {
            stop_run(item.task, added, now);
        }
        known = std::prev(task.runs.end());
    }
    job.set_begun();
    if (known->phase == run_phase::starting ||
        (known->phase == run_phase::unsettled && known->stop_sent_at == timestamp(0))) {
        known->phase = run_phase::running;
    } else if (known->phase == run_phase::unsettled) {
        known->phase = run_phase::stopping; // It did start, and its stop is on the way.
    }
    known->confirmed_clock = report.clock_ms;
    if (known->percent != item.percent || known->progress_at == timestamp(0)) {
        known->percent = item.percent;
        known->progress_at = now;
    }
    known->usage = item.usage;
    if (!item.checkpoint.empty()) {
        task.checkpoint = item.checkpoint;
    }
}

/// Runs of ours that the VM lists neither as running nor as ended. A report tells of its own moment on the
/// VM's clock; it settles a run only if it is newer than the last word on that run.
void scheduler::settle_missing(vm_state& vm, const vm_report& report, timestamp now) {
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
            const bool confirmed_before = item.confirmed_clock > 0 && item.confirmed_clock < report.clock_ms;
            const bool can_not_come = item.start_deadline > 0 && item.start_deadline < report.clock_ms;
            if (confirmed_before || (item.phase != run_phase::starting && can_not_come)) {
                note("run-missing", incarnation, &id, item.attempt);
                drop_run(job, id, item.attempt, incarnation, now);
            }
        }
    }
}

void scheduler::drop_runs_of(vm_state& vm, const char* why, timestamp now) {
    const std::set<task_id> tasks(vm.tasks().begin(), vm.tasks().end());
    const std::string incarnation = vm.info().incarnation;
    for (const task_id& id : tasks) {
        job_state& job = m_jobs.find(id.job)->second;
        const std::vector<run> runs = job.task(id).runs;
        for (const run& item : runs) {
            if (item.vm == incarnation) {
                note(why, incarnation, &id, item.attempt);
                drop_run(job, id, item.attempt, incarnation, now);
            }
        }
    }
}

// --- Storing ---

store_round scheduler::begin_store() {
    store_round round;
    round.jobs.assign(m_changed.begin(), m_changed.end());
    m_changed.clear();
    m_urgent = false;
    m_ends_to_store = false;
    for (const auto& [name, vm] : m_vms) {
        if (vm.seen > vm.acknowledged) {
            round.ends[name] = vm.seen;
        }
    }
    return round;
}

void scheduler::job_stored(const std::string& job, std::uint64_t change, timestamp now) {
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end()) {
        return;
    }
    job_state& state = found->second;
    state.stored = std::max(state.stored, change);
    if (is_final(state.phase()) && state.stored == state.changed && !state.durable_final) {
        state.durable_final = true;
        state.final_at = now;
    }
}

void scheduler::round_stored(const store_round& round) {
    for (const auto& [name, seen] : round.ends) {
        if (const auto found = m_vms.find(name); found != m_vms.end()) {
            found->second.acknowledged = std::max(found->second.acknowledged, seen);
        }
    }
}

void scheduler::round_failed(const store_round& round) {
    for (const std::string& job : round.jobs) {
        if (m_jobs.contains(job)) {
            m_changed.insert(job);
        }
    }
    m_urgent = true;
    m_ends_to_store = m_ends_to_store || !round.ends.empty();
}

} // namespace siskinpaddle::jobs
