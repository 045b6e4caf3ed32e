#include "jobs/scheduler.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// A checkpointed task on a VM that is to be emptied is stopped and resumed elsewhere if it has at least this
/// share of its work left; a task that is nearly done ends sooner where it is.
constexpr std::int64_t nearly_done_percent = 60;
/// A serving task whose tail is above this share of its target has its leftover neighbours slowed, so that
/// the target is never passed for long; above the target they are halted.
constexpr double tail_warning = 0.75;
constexpr double tail_good = 0.5;
constexpr int pace_rise = 20; ///< Percent a report, so that a neighbour's effect shows before the next rise.
constexpr int least_pace = 10;
/// Without any progress for this long a run counts as stuck. Reports come every two seconds at least.
constexpr milliseconds stuck_after = 4500ms;

} // namespace

decisions scheduler::decide(timestamp now, std::int64_t wall_ms, bool certain) {
    if (certain) {
        give_up_lapsed(now);
        account(now);
    }
    note_silent_vms(now);
    m_isolation_lacks_vm = false;
    mark_suspects();
    m_wall_offset = milliseconds(wall_ms) - now;
    tend_runs(now);
    place_waiting(now);
    measure_waiting(now);
    return std::exchange(m_out, {});
}

void scheduler::give_up_lapsed(timestamp now) {
    for (auto item = m_vms.begin(); item != m_vms.end();) {
        vm_state& vm = item->second;
        const bool lapsed = vm.has_responded() && now > vm.lease_expires_at();
        if (lapsed && !vm.has_no_runs()) {
            drop_runs_of(vm, vm_end_cause::lease_expired, now);
        }
        const bool forgettable = !vm.listed && vm.has_no_runs() && !m_unheard.contains(item->first) &&
                                 (lapsed || !vm.has_responded());
        item = forgettable ? m_vms.erase(item) : std::next(item);
    }
}

void scheduler::account(timestamp now) {
    if (m_accounted || (!m_unheard.empty() && now < m_unaccounted_until)) {
        return;
    }
    m_accounted = true;
    infer_ends(now);
    m_unheard.clear();
    m_ended_unheard.clear();
    for (auto& [id, job] : m_jobs) {
        job.account_for_all();
    }
}

/// A run counts as at work only while its VM answers: a VM that went dark takes its runs with it before their
/// lease has run out, and moving another task meanwhile would pass the step's disruption budget. Nor does a
/// run count that an earlier owner may have stopped just before it lost the pool: its VM lists it as running
/// until it has ended, and a new owner that goes on emptying VMs would stop as many again.
bool scheduler::at_work(const run& item, timestamp now) const {
    if (item.adopted && now - item.started_at <= m_settings.stop_time) {
        return false;
    }
    const auto vm = m_vms.find(item.vm);
    return item.phase == run_phase::running && item.percent >= 100 && vm != m_vms.end() &&
           vm->second.reachable &&
           now - vm->second.last_response_at() <= m_settings.placement.max_response_age;
}

std::uint32_t scheduler::away(const job_state& job, step_place place, timestamp now) const {
    std::uint32_t count = 0;
    for (std::uint32_t index = 0; index < job.spec().steps[place.step].count; ++index) {
        const task_state& task = job.task(job.id_of(place, index));
        const bool working =
            std::ranges::any_of(task.runs, [&](const run& item) { return at_work(item, now); });
        count += working ? 0 : 1;
    }
    return count;
}

void scheduler::tend_runs(timestamp now) {
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
                const bool stopping =
                    item.phase == run_phase::stopping ||
                    (item.phase == run_phase::unsettled && item.stop_sent_at != timestamp(0));
                // Not to a VM that doesn't answer: its lease renewals find out when it does, and stops
                // repeated for all that may run there would fill a narrow link.
                if (stopping && vm.reachable && item.stop_acked_at == timestamp(0) &&
                    now - item.stop_sent_at >= m_settings.stop_repeat) {
                    stop_run(id, item, now);
                }
                const bool stuck = item.phase == run_phase::running && !step.endless && !step.gang &&
                                   vm.reachable && now - item.progress_at >= stuck_after &&
                                   vm.last_response_at() > item.progress_at + stuck_after / 2;
                if (stuck) {
                    note("run-stuck", name, &id, item.attempt);
                    vm.record_failure(now);
                    stop_run(id, item, now);
                }
            }
        }
    }
}

void scheduler::stop_orphans(vm_state& vm, timestamp now) {
    for (orphan_run& orphan : vm.orphans()) {
        const bool repeat = vm.reachable && now - orphan.stop_sent_at >= m_settings.stop_repeat;
        if (orphan.stop_sent_at == timestamp(0) || repeat) {
            orphan.stop_sent_at = now;
            m_out.stops.push_back({vm.info().incarnation, orphan.task, orphan.attempt});
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
            if (!step.endless && (!step.checkpointed || item.percent >= nearly_done_percent)) {
                continue; // It ends by itself soon.
            }
            const bool budgeted = step.endless && step.disruption_budget > 0;
            if (budgeted && away(job, {id.occurrence, id.step}, now) >= step.disruption_budget) {
                continue; // Its turn comes when the others of its step are at work again.
            }
            note("evacuate", name, &id, item.attempt);
            stop_run(id, item, now);
        }
    }
}

void scheduler::pace(vm_state& vm) {
    double worst = 0;
    const std::string& name = vm.info().incarnation;
    for (const task_id& id : vm.tasks()) {
        const job_state& job = m_jobs.find(id.job)->second;
        const step_spec& step = job.spec().steps[id.step];
        for (const run& item : job.task(id).runs) {
            if (step.target_tail_ms > 0 && item.vm == name) {
                worst = std::max(worst,
                                 static_cast<double>(item.usage) / static_cast<double>(step.target_tail_ms));
            }
        }
    }
    for (const task_id& id : vm.tasks()) {
        job_state& job = m_jobs.find(id.job)->second;
        if (!job.spec().steps[id.step].uses_leftover) {
            continue;
        }
        for (run& item : job.task(id).runs) {
            if (item.vm != name || item.phase != run_phase::running) {
                continue;
            }
            int wanted = item.pace_percent;
            if (worst > 1) {
                wanted = 0;
            } else if (worst > tail_warning) {
                wanted = std::max(least_pace, wanted / 2);
            } else if (worst < tail_good) {
                wanted = std::min(100, wanted + pace_rise);
            }
            if (wanted != item.pace_percent) {
                item.pace_percent = wanted;
                m_out.paces.push_back({name, id, item.attempt, wanted});
            }
        }
    }
}

// --- Placing ---

/// One occurrence that has tasks to place.
struct scheduler::candidate {
    job_rank rank;
    job_state* job;
    std::uint32_t occurrence;
};

void scheduler::place_waiting(timestamp now) {
    if (m_starts_held) {
        return;
    }
    std::vector<candidate> waiting;
    for (auto& [id, job] : m_jobs) {
        if (is_final(job.phase()) || job.idle_total() == 0) {
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
        item.job->each_step_of(item.occurrence, [&](step_place place) {
            if (item.job->idle(place) > 0 && item.job->unlocked(place)) {
                place_step(*item.job, place, now);
            }
        });
    }
    if (m_starts_on_way.can_send(now)) {
        m_starts_on_way.reset_throttling();
    }
    m_sustained_millicores = m_starts_on_way.sustained_millicores(now);
}

/// What is still waiting after placing. Work that is late already doesn't stand before anybody and is counted
/// apart; nor does an occurrence that is not due: with all of them counted, a job of six occurrences in half
/// a minute kept out every other job of its pool, which idled meanwhile. Machines are asked for ahead of due
/// times.
void scheduler::measure_waiting(timestamp now) {
    m_waiting_work = 0;
    m_runnable_work = 0;
    m_coming_work = 0;
    m_late_work = 0;
    for (const auto& [id, job] : m_jobs) {
        if (is_final(job.phase()) || job.idle_total() == 0) {
            continue;
        }
        for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
            const timestamp begins_at = job.begins_at(occurrence, m_wall_offset);
            if (begins_at > now + machine_lead) {
                break;
            }
            if (begins_at > now) {
                m_coming_work += estimate_waiting_work(job, occurrence, m_gauge).runnable;
            } else if (rank_of(job, *queue_of(job), begins_at, now).group <= 1) {
                count_waiting(job, occurrence);
            } else {
                m_late_work += estimate_waiting_work(job, occurrence, m_gauge).all;
            }
        }
    }
}

void scheduler::count_waiting(const job_state& job, std::uint32_t occurrence) {
    const waiting_work waiting = estimate_waiting_work(job, occurrence, m_gauge);
    m_waiting_work += waiting.all;
    m_runnable_work += waiting.runnable;
}

void scheduler::place_step(job_state& job, step_place place, timestamp now) {
    const step_spec& step = job.spec().steps[place.step];
    if (step_advice* advice = advice_for(job, place)) {
        ask_advice(job, place, *advice, now);
    }
    if (step.gang) {
        place_gang(job, place, now);
        return;
    }
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_id id = job.id_of(place, index);
        const task_state& task = job.task(id);
        if (task.done || !task.runs.empty() || (task.unaccounted && !step.speculative)) {
            continue;
        }
        if (!m_starts_on_way.can_send(now)) {
            return;
        }
        const bool placed =
            place_task(job, id, std::max(task.attempts, m_first_attempt) + 1, step.data_rack, now);
        if (!placed && task.crashes.empty()) {
            return; // All tasks of a step are alike: where one finds no room, none does.
        }
    }
}

bool scheduler::place_task(job_state& job, const task_id& id, std::uint32_t attempt,
                           const std::string& near_rack, timestamp now) {
    if (!job.crashes_stored(id)) {
        return false;
    }
    const step_advice* advice = advice_for(job, {id.occurrence, id.step});
    vm_state* vm = choose_vm_for(job, id, advice, near_rack, now);
    if (vm == nullptr) {
        return false;
    }
    if (suspicion_of(job.task(id).crashes) >= suspicion::suspected) {
        vm->suspect_jobs.insert(id.job);
        m_suspect_started = id.job;
        m_suspect_started_at = now;
    }
    run item;
    item.attempt = attempt;
    item.vm = vm->info().incarnation;
    item.from_scratch = job.task(id).checkpoint.empty();
    item.started_at = now;
    item.progress_at = now;
    item.start_deadline = vm->lease_deadline(now, m_settings.start_patience);
    vm->record_granted_deadline(item.start_deadline);
    const step_spec& step = job.spec().steps[id.step];
    vm->add_task(id, reserved_resources(step), step.endless);
    const std::string ticket = advice == nullptr ? std::string() : *advice->find_ticket(item.vm, now);
    m_out.starts.push_back({item.vm, id, attempt, item.start_deadline, job.task(id).checkpoint, ticket});
    m_starts_on_way.record_sent(id, attempt, job.spec().payload.size(),
                                step.endless ? 0 : estimate_work(step, 1, job.spec().queue, m_gauge), now);
    job.add_run(id, std::move(item));
    return true;
}

step_advice* scheduler::advice_for(const job_state& job, step_place place) {
    if (!queue_of(job)->advice) {
        return nullptr;
    }
    return &m_advice[{job.spec().id, place.occurrence, place.step}];
}

/// Asks about VMs that nothing is known of, one question for a step at a time.
void scheduler::ask_advice(const job_state& job, step_place place, step_advice& advice, timestamp now) {
    if (advice.is_pending(now)) {
        return;
    }
    const advice_settings& policy = *queue_of(job)->advice;
    advice_request request{job.spec().id, place.occurrence, place.step, {}, {}};
    request.vms = vms_to_query(m_vms, job, job.id_of(place, 0), m_settings.placement, advice,
                               vms_per_query(job.idle(place)), now);
    if (request.vms.empty()) {
        return;
    }
    request.expected_duration =
        policy.base_time + policy.time_per_vm * static_cast<std::int64_t>(request.vms.size());
    advice.record_request(request, now);
    m_out.questions.push_back(std::move(request));
}

/// A gang starts whole or not at all: members that wait for the rest hold room that others could use, and
/// end when they wait too long.
void scheduler::place_gang(job_state& job, step_place place, timestamp now) {
    const step_spec& step = job.spec().steps[place.step];
    if (job.idle(place) != step.count || !m_starts_on_way.can_send(now)) {
        return;
    }
    std::uint32_t attempt = m_first_attempt;
    std::string checkpoint;
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_state& task = job.task(job.id_of(place, index));
        if (task.unaccounted) {
            return;
        }
        attempt = std::max(attempt, task.attempts);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    const std::string rack = step.same_rack ? rack_for_gang(m_vms, job, job.id_of(place, 0),
                                                            m_settings.placement, advice_for(job, place), now)
                                            : step.data_rack;
    const std::size_t before = m_out.starts.size();
    for (std::uint32_t index = 0; index < step.count; ++index) {
        const task_id id = job.id_of(place, index);
        job.task(id).checkpoint = checkpoint;
        if (place_task(job, id, attempt + 1, rack, now)) {
            continue;
        }
        while (m_out.starts.size() > before) {
            const start_order order = m_out.starts.back();
            m_out.starts.pop_back();
            m_starts_on_way.release(order.task, order.attempt);
            drop_run(job, order.task, order.attempt, order.vm, now);
        }
        return;
    }
}

} // namespace siskinpaddle::jobs
