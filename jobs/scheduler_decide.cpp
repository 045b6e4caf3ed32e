#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// A checkpointed task on a VM that is being evacuated is stopped and resumed elsewhere if its progress is
/// below this percentage; a task that is nearly done ends sooner where it is.
constexpr std::int64_t nearly_done_percent = 60;
/// Above this ratio of a serving task's tail latency to its target, best-effort tasks on the same VM are
/// slowed, so that the target is never exceeded for long; above the target they are halted.
constexpr double tail_warning_ratio = 0.75;
constexpr double tail_good_ratio = 0.5;
/// Percent per report, so that the effect of an increase shows before the next one.
constexpr int pace_increment_percent = 20;
constexpr int min_pace_percent = 10;
/// A run without any progress for this long counts as stuck. Reports arrive at least every two seconds.
constexpr milliseconds stuck_after = 4500ms;

} // namespace

decisions scheduler::decide(timestamp now, const owner_view& owner) {
    if (owner.ownership_confirmed) {
        if (owner.hears_answers) {
            drop_expired_vms(now);
        }
        complete_takeover(now, owner.hears_answers);
    }
    settle_inherited_use();
    record_unresponsive_vms(now);
    m_isolation_lacks_vm = false;
    mark_suspect_vms(now);
    m_wall_offset = milliseconds(owner.wall_ms) - now;
    update_runs(now, owner.hears_answers);
    place_waiting_tasks(now);
    measure_waiting_work(now);
    return std::exchange(m_pending_decisions, {});
}

void scheduler::drop_expired_vms(timestamp now) {
    for (auto item = m_vms.begin(); item != m_vms.end();) {
        vm_state& vm = item->second;
        const bool expired = vm.has_responded() && now > vm.lease_expires_at();
        if (expired && !vm.has_no_runs()) {
            drop_expired_runs(vm, now);
        }
        const bool removable = !vm.listed && vm.has_no_runs() && !m_unconfirmed_vms.contains(item->first) &&
                               (expired || !vm.has_responded());
        item = removable ? m_vms.erase(item) : std::next(item);
    }
}

/// Drops the runs on a VM whose lease has expired. A run that the incarnation has not confirmed may be at a
/// later one, which the owner doesn't know, and lasts as long as a lease can.
void scheduler::drop_expired_runs(vm_state& vm, timestamp now) {
    vm_end end = describe_end(vm, vm_end_cause::lease_expired, now);
    if (now <= vm.longest_lease_expires_at(m_settings.max_vm_lease)) {
        if (!vm.is_fenced) {
            return; // A call for an earlier incarnation may have extended the lease since the last response.
        }
        for (const ended_run& item : unproven_runs(end.vm, now)) {
            std::erase_if(end.runs, [&](const ended_run& one) {
                return one.task == item.task && one.attempt == item.attempt;
            });
        }
        if (end.runs.empty() && vm.orphans().empty()) {
            return;
        }
    }
    drop_ended_runs(vm, end, now);
}

void scheduler::complete_takeover(timestamp now, bool hears_answers) {
    const bool silent_vms_have_ended = hears_answers && now >= m_takeover_deadline;
    if (m_takeover_completed || (!m_unconfirmed_vms.empty() && !silent_vms_have_ended)) {
        return;
    }
    m_takeover_completed = true;
    infer_crash_evidence(now);
    m_unconfirmed_vms.clear();
    m_ended_unconfirmed_vms.clear();
    for (auto& [id, job] : m_jobs) {
        job.clear_unknown_runs();
    }
}

/// Once every run of the previous owner is known, what it was allowed to start no longer counts as running.
/// Runs of jobs that are unknown here belong to accounts that are unknown, too.
void scheduler::settle_inherited_use() {
    const bool has_orphans =
        std::ranges::any_of(m_vms, [](const auto& item) { return !item.second.orphans().empty(); });
    if (m_takeover_completed && !has_orphans) {
        m_accounts.clear_inherited();
    }
}

/// A run counts as available only while its VM responds: the runs of a VM that goes dark are lost before
/// their lease expires, and moving another task meanwhile would exceed the step's disruption budget. A run
/// that a previous owner may have stopped just before it lost the pool doesn't count either: its VM lists it
/// as running until it has ended, and a new owner that continues to evacuate VMs would stop as many runs
/// again.
bool scheduler::is_available(const run& item, timestamp now) const {
    if (item.adopted && now - item.started_at <= m_settings.max_stop_time) {
        return false;
    }
    const auto vm = m_vms.find(item.vm);
    return item.phase == run_phase::running && item.percent >= 100 && vm != m_vms.end() &&
           vm->second.reachable &&
           now - vm->second.last_response_at() <= m_settings.placement.max_response_age;
}

std::uint32_t scheduler::unavailable_tasks(const job_state& job, step_position position,
                                           timestamp now) const {
    std::uint32_t count = 0;
    for (std::uint32_t index = 0; index < job.spec().steps[position.step].count; ++index) {
        const task_state& task = job.task(job.id_of(position, index));
        const bool available =
            std::ranges::any_of(task.runs, [&](const run& item) { return is_available(item, now); });
        count += available ? 0 : 1;
    }
    return count;
}

void scheduler::update_runs(timestamp now, bool hears_answers) {
    for (auto& [name, vm] : m_vms) {
        if (vm.cordoned || vm.info().draining) {
            evacuate(vm, now);
        }
        stop_orphans(vm, now);
        for (const task_id& id : vm.tasks()) {
            job_state& job = m_jobs.find(id.job)->second;
            const step_spec& step = job.spec().steps[id.step];
            for (run& item : job.task(id).runs) {
                if (item.vm != name) {
                    continue;
                }
                if (hears_answers && vm.reachable && item.phase == run_phase::starting && !step.long_lived) {
                    settle_start(id, item, vm, now);
                }
                const bool stopping =
                    item.phase == run_phase::stopping ||
                    (item.phase == run_phase::unconfirmed && item.stop_sent_at != timestamp(0));
                // Stops aren't repeated to a VM that doesn't respond: its lease renewals detect when it does,
                // and repeated stops for all runs that may be there would fill a narrow link.
                if (stopping && vm.reachable && item.stop_acked_at == timestamp(0) &&
                    now - item.stop_sent_at >= m_settings.stop_retry_interval) {
                    stop_run(id, item, now);
                }
                const bool stuck = item.phase == run_phase::running && !step.long_lived && !step.gang &&
                                   vm.reachable && now - item.progress_at >= stuck_after &&
                                   vm.last_response_at() > item.progress_at + stuck_after / 2;
                if (stuck) {
                    add_note("run-stuck", name, &id, item.attempt);
                    vm.record_failure(now);
                    stop_run(id, item, now);
                }
            }
        }
    }
}

void scheduler::stop_orphans(vm_state& vm, timestamp now) {
    for (orphan_run& orphan : vm.orphans()) {
        const bool repeat = vm.reachable && now - orphan.stop_sent_at >= m_settings.stop_retry_interval;
        if (orphan.stop_sent_at == timestamp(0) || repeat) {
            orphan.stop_sent_at = now;
            m_pending_decisions.stops.push_back({vm.info().incarnation, orphan.task, orphan.attempt});
        }
    }
}

void scheduler::evacuate(vm_state& vm, timestamp now) {
    const std::string& name = vm.info().incarnation;
    for (const task_id& id : vm.tasks()) {
        job_state& job = m_jobs.find(id.job)->second;
        const step_spec& step = job.spec().steps[id.step];
        for (run& item : job.task(id).runs) {
            if (item.vm != name || item.phase != run_phase::running) {
                continue;
            }
            if (!step.long_lived && (!step.checkpointed || item.percent >= nearly_done_percent)) {
                continue; // The run ends soon.
            }
            const bool budgeted = step.long_lived && step.disruption_budget > 0;
            if (budgeted && unavailable_tasks(job, {id.occurrence, id.step}, now) >= step.disruption_budget) {
                continue; // Evacuated once other tasks of its step are available again.
            }
            add_note("evacuate", name, &id, item.attempt);
            stop_run(id, item, now);
        }
    }
}

void scheduler::adjust_pace(vm_state& vm) {
    double worst = 0;
    const std::string& name = vm.info().incarnation;
    for (const task_id& id : vm.tasks()) {
        const job_state& job = m_jobs.find(id.job)->second;
        const step_spec& step = job.spec().steps[id.step];
        for (const run& item : job.task(id).runs) {
            if (step.target_tail_latency_ms > 0 && item.vm == name) {
                worst = std::max(worst, static_cast<double>(item.usage) /
                                            static_cast<double>(step.target_tail_latency_ms));
            }
        }
    }
    for (const task_id& id : vm.tasks()) {
        job_state& job = m_jobs.find(id.job)->second;
        if (!job.spec().steps[id.step].best_effort) {
            continue;
        }
        for (run& item : job.task(id).runs) {
            if (item.vm != name || item.phase != run_phase::running) {
                continue;
            }
            int wanted = item.pace_percent;
            if (worst > 1) {
                wanted = 0;
            } else if (worst > tail_warning_ratio) {
                wanted = std::max(min_pace_percent, wanted / 2);
            } else if (worst < tail_good_ratio) {
                wanted = std::min(100, wanted + pace_increment_percent);
            }
            if (wanted != item.pace_percent) {
                item.pace_percent = wanted;
                m_pending_decisions.paces.push_back({name, id, item.attempt, wanted});
            }
        }
    }
}

// --- Placement ---

/// One occurrence of a job that has tasks to place.
struct scheduler::candidate {
    job_rank rank;
    job_state* job;
    std::uint32_t occurrence;
};

void scheduler::place_waiting_tasks(timestamp now) {
    m_accounts.clear_blocked();
    if (m_starts_held) {
        return;
    }
    std::vector<candidate> waiting;
    for (auto& [id, job] : m_jobs) {
        if (is_final(job.phase()) || job.total_idle_tasks() == 0) {
            continue;
        }
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
            const timestamp begins_at = job.begins_at(occurrence, m_wall_offset);
            if (begins_at <= now) {
                waiting.push_back({rank_of(job, *queue_of(job), begins_at, now), &job, occurrence});
            }
        }
    }
    std::ranges::sort(waiting, {}, &candidate::rank);
    for (const candidate& item : waiting) {
        item.job->for_each_step_of(item.occurrence, [&](step_position position) {
            if (item.job->idle_tasks(position) > 0 && item.job->dependencies_done(position)) {
                place_step(*item.job, position, now);
            }
        });
    }
    if (m_accounts.has_blocked()) {
        m_accounts.bound_blocked(free_capacity());
    }
    if (m_start_window.can_send(now)) {
        m_start_window.reset_throttling();
    }
    m_sustained_millicores = m_start_window.sustained_millicores(now);
}

/// Free capacity of all VMs that accept tasks.
resources scheduler::free_capacity() const {
    resources free;
    for (const auto& [name, vm] : m_vms) {
        if (vm.listed && vm.reachable && !vm.cordoned && !vm.info().draining) {
            free += max_of({}, vm.free_capacity());
        }
    }
    return free;
}

void scheduler::place_step(job_state& job, step_position position, timestamp now) {
    const step_spec& step = job.spec().steps[position.step];
    if (is_blocked_by_limit(job, position)) {
        return;
    }
    if (step_advice* advice = advice_for(job, position)) {
        request_advice(job, position, *advice, now);
    }
    if (step.gang) {
        place_gang(job, position, now);
        return;
    }
    const placement_preference preferred = preference_for(job, position, step.data_rack, now);
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_id id = job.id_of(position, index);
        const task_state& task = job.task(id);
        if (task.done || !task.runs.empty() || (task.may_have_unknown_run && !step.speculative)) {
            continue;
        }
        if (!m_start_window.can_send(now) || is_blocked_by_limit(job, position)) {
            return;
        }
        const bool placed = place_task(job, id, std::max(task.attempts, m_first_attempt) + 1, preferred, now);
        if (!placed && task.crashes.empty()) {
            return; // All tasks of a step are alike: if one finds no capacity, none does.
        }
    }
}

/// Whether the account's ceiling keeps the next task of the step, or the whole gang, from starting. If it
/// does, records what all waiting tasks of the step need.
bool scheduler::is_blocked_by_limit(const job_state& job, step_position position) {
    const step_spec& step = job.spec().steps[position.step];
    const std::uint32_t waiting = job.idle_tasks(position);
    const auto need_of = [&](std::uint32_t tasks) {
        return resources{step.need.cpu_millicores * tasks, step.need.memory_mb * tasks,
                         step.need.accelerators * tasks};
    };
    if (m_accounts.admits(job.account(), need_of(step.gang ? step.count : 1))) {
        return false;
    }
    m_accounts.record_blocked(job.account(), need_of(waiting));
    return true;
}

/// Long-lived tasks have no preferred zone: they serve their users together, and a zone that is lost must not
/// take all of them.
placement_preference scheduler::preference_for(const job_state& job, step_position position, std::string rack,
                                               timestamp now) {
    placement_preference preferred{std::move(rack), {}};
    if (!job.spec().steps[position.step].long_lived) {
        preferred.zones = rank_zones(zone_capacities(m_vms, job, job.id_of(position, 0), m_settings.placement,
                                                     advice_for(job, position), now),
                                     job.idle_tasks(position));
    }
    return preferred;
}

bool scheduler::place_task(job_state& job, const task_id& id, std::uint32_t attempt,
                           const placement_preference& preferred, timestamp now) {
    if (!job.crashes_stored(id)) {
        return false;
    }
    const step_advice* advice = advice_for(job, {id.occurrence, id.step});
    vm_state* vm = choose_vm_for_task(job, id, advice, preferred, now);
    if (vm == nullptr) {
        return false;
    }
    if (suspicion_of(job.task(id).crashes) >= suspicion::suspected) {
        vm->suspect_jobs.insert(id.job);
        m_suspect_starts[id.job] = now;
    }
    run item;
    item.attempt = attempt;
    item.vm = vm->info().incarnation;
    item.from_scratch = job.task(id).checkpoint.empty();
    item.started_at = now;
    item.progress_at = now;
    item.start_deadline = vm->lease_deadline(now, m_settings.start_timeout);
    vm->record_granted_deadline(item.start_deadline);
    vm->record_grant(now);
    const step_spec& step = job.spec().steps[id.step];
    const std::string ticket = advice == nullptr ? std::string() : *advice->find_ticket(item.vm, now);
    m_pending_decisions.starts.push_back(
        {item.vm, id, attempt, item.start_deadline, job.task(id).checkpoint, ticket});
    m_start_window.record_sent(id, attempt, job.spec().payload.size(),
                               step.long_lived ? 0 : estimate_work(step, 1, job.spec().queue, m_work_gauge),
                               now);
    add_run(job, id, std::move(item), *vm);
    return true;
}

step_advice* scheduler::advice_for(const job_state& job, step_position position) {
    if (!queue_of(job)->advice) {
        return nullptr;
    }
    return &m_advice[{job.spec().id, position.occurrence, position.step}];
}

/// Requests advice about VMs without valid advice, with one request in flight for each step.
void scheduler::request_advice(const job_state& job, step_position position, step_advice& advice,
                               timestamp now) {
    if (advice.is_pending(now)) {
        return;
    }
    const advice_settings& policy = *queue_of(job)->advice;
    advice_request request{job.spec().id, position.occurrence, position.step, {}, {}};
    request.vms = vms_to_query(m_vms, job, job.id_of(position, 0), m_settings.placement, advice,
                               vms_per_query(job.idle_tasks(position)), now);
    if (request.vms.empty()) {
        return;
    }
    request.expected_duration =
        policy.base_time + policy.time_per_vm * static_cast<std::int64_t>(request.vms.size());
    advice.record_request(request, now);
    m_pending_decisions.advice_requests.push_back(std::move(request));
}

/// A gang starts whole or not at all: members that wait for the rest occupy capacity that other tasks could
/// use, and end when they wait too long.
void scheduler::place_gang(job_state& job, step_position position, timestamp now) {
    const step_spec& step = job.spec().steps[position.step];
    if (job.idle_tasks(position) != step.count || !m_start_window.can_send(now)) {
        return;
    }
    std::uint32_t attempt = m_first_attempt;
    std::string checkpoint;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_state& task = job.task(job.id_of(position, index));
        if (task.may_have_unknown_run) {
            return;
        }
        attempt = std::max(attempt, task.attempts);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    const std::string rack = step.same_rack
                                 ? rack_for_gang(m_vms, job, job.id_of(position, 0), m_settings.placement,
                                                 advice_for(job, position), now)
                                 : step.data_rack;
    const placement_preference preferred = preference_for(job, position, rack, now);
    const std::size_t before = m_pending_decisions.starts.size();
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_id id = job.id_of(position, index);
        job.task(id).checkpoint = checkpoint;
        if (place_task(job, id, attempt + 1, preferred, now)) {
            continue;
        }
        while (m_pending_decisions.starts.size() > before) {
            const start_order order = m_pending_decisions.starts.back();
            m_pending_decisions.starts.pop_back();
            m_start_window.release(order.task, order.attempt);
            drop_run(job, order.task, order.attempt, order.vm, now);
        }
        return;
    }
}

} // namespace siskinpaddle::jobs
