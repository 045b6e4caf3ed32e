#include "node/pool_task.hpp"

#include <algorithm>

namespace siskinpaddle::node {

void pool_task::handle(const peer_request& request, const reply& done) {
    if (!m_ready || m_ownership_lost || m_shutting_down) {
        done(make_answer(peer_outcome::not_owner));
        return;
    }
    switch (static_cast<peer_request_kind>(request.kind)) {
    case peer_request_kind::submit:
        submit(request, done);
        return;
    case peer_request_kind::admission_query:
        query_admission(request, done);
        return;
    case peer_request_kind::status:
        status(request, done);
        return;
    case peer_request_kind::cancel:
        cancel(request, done);
        return;
    case peer_request_kind::count:
        count(request, done);
        return;
    case peer_request_kind::demand_query:
        answer_demand_query(request, done);
        return;
    case peer_request_kind::handover:
        break; // Concerns the node that is to own the pool.
    }
    done(make_answer(peer_outcome::unavailable));
}

void pool_task::status(const peer_request& request, const reply& done) const {
    if (belongs_to_other_account(request.job, request.account)) {
        done(make_answer(peer_outcome::unknown_job));
        return;
    }
    std::optional<jobs::job_phase> phase = m_scheduler.phase_of(request.job);
    if (const auto ended = m_ended.find(request.job); !phase && ended != m_ended.end()) {
        phase = ended->second.phase;
    }
    if (!phase && m_inbox_jobs.contains(request.job)) {
        phase = jobs::job_phase::queued;
    }
    if (!phase) {
        done(make_answer(m_submitting.contains(request.job) ? peer_outcome::unavailable
                                                            : peer_outcome::unknown_job));
        return;
    }
    peer_answer answer = make_answer(peer_outcome::ok);
    answer.phase = static_cast<std::uint8_t>(*phase);
    done(answer);
}

void pool_task::count(const peer_request& request, const reply& done) const {
    jobs::queue_count_inputs known;
    known.in_scheduler = m_scheduler.pending_jobs(request.queue);
    known.unconfirmed = static_cast<std::size_t>(std::ranges::count(
        m_unconfirmed_submits, request.queue, [](const auto& item) { return item.second; }));
    known.in_inbox = count_waiting_in_inbox(request.queue);
    known.inbox_age = inbox_age();
    const milliseconds confirmed_for =
        m_context.membership.confirmed_until(m_ownership.duty) - event_loop::now();
    known.is_confirmed_owner = confirmed_for > 0ms;
    known.may_be_dropped = !m_context.configuration.is_confirmed(event_loop::now()) ||
                           m_context.configuration.current().find_queue(request.queue) == nullptr;
    const std::optional<std::size_t> complete_count = jobs::complete_queue_count(known);
    log_event(event_id::count_computed, {{"pool", m_pool},
                                         {"queue", request.queue},
                                         {"told", static_cast<int>(complete_count.has_value())},
                                         {"taken", known.in_scheduler},
                                         {"unsettled", known.unconfirmed},
                                         {"inbox", known.in_inbox},
                                         {"inbox_age_ms", known.inbox_age.count()},
                                         {"certain_ms", confirmed_for.count()},
                                         {"may_be_dropped", static_cast<int>(known.may_be_dropped)},
                                         {"token", m_ownership.token}});
    peer_answer answer = make_answer(complete_count ? peer_outcome::ok : peer_outcome::unavailable);
    answer.count = complete_count.value_or(0);
    answer.inbox_age_ms = std::max<std::int64_t>(0, known.inbox_age.count());
    done(answer);
}

void pool_task::cancel(const peer_request& request, const reply& done) {
    const std::string& id = request.job;
    if (belongs_to_other_account(id, request.account)) {
        done(make_answer(peer_outcome::unknown_job));
        return;
    }
    cancel_job(id, done);
}

void pool_task::cancel_job(const std::string& id, const reply& done) {
    if (m_ended.contains(id)) {
        done(make_answer(peer_outcome::ok));
        return;
    }
    switch (m_scheduler.cancel(id, event_loop::now())) {
    case jobs::cancel_outcome::unknown_job:
        done(make_answer(m_submitting.contains(id) ? peer_outcome::unavailable : peer_outcome::unknown_job));
        return;
    case jobs::cancel_outcome::already_final:
    case jobs::cancel_outcome::cancelled:
        log_event(event_id::job_cancelled, {{"pool", m_pool}, {"job", id}});
        m_cancels.push_back({id, done});
        answer_stored_cancels();
        schedule_decision();
        return;
    }
}

/// Answers the cancellations of jobs whose final phase is stored.
void pool_task::answer_stored_cancels() {
    std::erase_if(m_cancels, [this](const waiting_cancel& item) {
        const jobs::job_state* job = m_scheduler.find_job(item.job);
        if (job != nullptr && !job->is_final_phase_stored) {
            return false;
        }
        item.done(make_answer(peer_outcome::ok));
        return true;
    });
}

/// Lets VMs that no longer need to be empty take work again; those that have left the record do so once the
/// record names them.
void pool_task::uncordon_vms(const std::set<std::string>& ids) {
    for (const std::string& id : ids) {
        if (m_evacuated_vms.contains(id)) {
            continue;
        }
        const std::string* vm = m_directory.find_listed(id);
        if (vm != nullptr && m_vm_record.contains(*vm)) {
            m_scheduler.cordon(*vm, false);
        } else {
            m_vm_record_timer->start(0ms);
        }
    }
}

/// Adds the VMs that were to be kept empty before they were listed. They are not recorded and get no task, so
/// the scheduler does not know them, and their machines can be ordered away at once.
void pool_task::add_unused_vms(std::vector<jobs::vm_load>& loads) const {
    for (const auto& [vm, info] : m_directory.vms()) {
        if (info.pool != m_pool || !is_evacuated(vm) || m_scheduler.vms().contains(vm) ||
            m_vm_record.may_contain(vm)) {
            continue;
        }
        jobs::vm_load unused;
        unused.vm = vm;
        unused.is_idle = true;
        unused.released = true;
        loads.push_back(unused);
    }
}

/// A VM is not released while another VM of its machine runs something: the fleet's owner may not have listed
/// that one yet, and its order would end what runs there. An ended VM that is still registered keeps no
/// machine.
void pool_task::keep_succeeded_vms(std::vector<jobs::vm_load>& loads) const {
    if (std::ranges::none_of(loads, &jobs::vm_load::released)) {
        return;
    }
    std::set<std::string> machines_in_use;
    for (const auto& [vm, state] : m_scheduler.vms()) {
        if (state.reachable && !state.has_no_runs()) {
            machines_in_use.insert(state.info().machine);
        }
    }
    for (jobs::vm_load& load : loads) {
        const auto listed = m_directory.vms().find(load.vm);
        const auto known = m_scheduler.vms().find(load.vm);
        if (listed != m_directory.vms().end()) {
            load.released = load.released && !machines_in_use.contains(listed->second.machine);
        } else if (known != m_scheduler.vms().end()) {
            load.released = load.released && !machines_in_use.contains(known->second.info().machine);
        }
    }
}

void pool_task::answer_demand_query(const peer_request& request, const reply& done) {
    const std::set<std::string> wanted(request.vms_to_empty.begin(), request.vms_to_empty.end());
    const bool changed = wanted != m_evacuated_vms;
    const std::set<std::string> previously_cleared = std::exchange(m_evacuated_vms, wanted);
    for (const auto& [vm, state] : m_scheduler.vms()) {
        if (is_evacuated(vm)) {
            m_scheduler.cordon(vm, true);
        }
    }
    uncordon_vms(previously_cleared);
    m_evacuated_at = event_loop::now();
    m_scheduler.set_expected_vms(request.arriving_vms, request.unneeded_machines);
    m_directory.expect_changes(request.arriving_vms > 0);
    peer_answer answer = make_answer(peer_outcome::ok);
    answer.demand = m_scheduler.demand(event_loop::now());
    if (request.token == 0) {
        answer.demand.committed_millicores = 0;
    }
    for (jobs::vm_load& vm : answer.demand.vms) {
        vm.released = is_evacuated(vm.vm) && !m_vm_record.may_contain(vm.vm);
    }
    add_unused_vms(answer.demand.vms);
    keep_succeeded_vms(answer.demand.vms);
    answer.demand.vms = jobs::merge_by_id(answer.demand.vms);
    if (changed) {
        schedule_decision();
    }
    done(answer);
}

} // namespace siskinpaddle::node
