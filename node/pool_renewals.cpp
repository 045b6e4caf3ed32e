#include "node/pool_task.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Longest time that a renewal waits for a run to end. The platform allows two seconds; the margin below that
/// ensures that a lease of six seconds always has four left when its owner dies.
constexpr milliseconds renewal_wait = 1500ms;
/// For VMs that are polled frequently: their runs may disturb each other, have not begun executing, or
/// several end soon.
constexpr milliseconds frequent_renewal_wait = 400ms;
constexpr milliseconds renewal_retry = 150ms;
constexpr milliseconds max_renewal_retry = 600ms;
/// A report settles a stopped run only if it is requested later than the stop's answer arrived; the clock
/// counts milliseconds. Stops that are answered together need one report.
constexpr milliseconds report_delay = 2ms;
/// Delay until a renewal is tried again while the owner must not act.
constexpr milliseconds paused_retry = 250ms;

} // namespace

pool_task::call_tokens pool_task::tokens_for(const std::string& vm) {
    std::optional<std::int64_t> recorded_at;
    if (m_vm_record.contains(vm)) {
        recorded_at = m_vm_record.added_at(vm);
    }
    return {m_ownership.token, m_vm_tokens.token_for(vm, m_ownership.token, recorded_at),
            recorded_at.has_value()};
}

void pool_task::on_fence_refusal(const std::string& vm, const call_tokens& tokens) {
    if (m_vm_tokens.handle_refusal(vm, tokens.vm)) {
        on_ownership_lost("fence", tokens.owner);
        return;
    }
    m_context.counters.increment("overtaken_vm_calls");
    // Another incarnation may have refused the call: this one gets no deadlines until it answers.
    m_scheduler.handle_vm_unreachable(vm, event_loop::now());
}

/// Forgets the tokens of a VM of which no incarnation is left.
void pool_task::forget_tokens(const std::string& vm) {
    const std::string id(jobs::vm_id_of(vm));
    const auto& vms = m_scheduler.vms();
    const auto next = vms.lower_bound(jobs::incarnation_prefix(id));
    const bool is_known =
        vms.contains(id) || (next != vms.end() && next->first.starts_with(jobs::incarnation_prefix(id)));
    if (!is_known) {
        m_vm_tokens.forget(id);
    }
}

void pool_task::schedule_renewal(const std::string& vm, milliseconds pause) {
    vm_renewal& renewal = m_renewals[vm];
    if (renewal.delay_timer == nullptr) {
        renewal.delay_timer = m_context.loop.make_timer([this, vm] { renew_lease(vm); });
    }
    renewal.delay_timer->start(pause);
}

void pool_task::renew_lease(const std::string& vm) {
    const auto known = m_scheduler.vms().find(vm);
    if (known == m_scheduler.vms().end()) {
        m_context.loop.post([this, vm, alive = m_lifetime.weak_token()] {
            if (!alive.expired() && !m_scheduler.vms().contains(vm)) {
                m_renewals.erase(vm); // Deferred, since a timer must not be destroyed in its own callback.
                forget_tokens(vm);
            }
        });
        return;
    }
    vm_renewal& renewal = m_renewals[vm];
    if (renewal.renewing) {
        return;
    }
    if (!may_act() || (m_shutting_down && !m_scheduler.has_changes())) {
        schedule_renewal(vm, paused_retry);
        return;
    }
    const jobs::vm_state& state = known->second;
    if (state.last_received_end > state.last_stored_end) {
        renewal.waits_for_store = true;
        return;
    }
    if (!state.listed && state.has_no_runs() && state.has_responded()) {
        schedule_renewal(vm, max_renewal_retry); // Nothing runs there: its lease may expire.
        return;
    }
    renewal.renewing = true;
    const std::int64_t acknowledged = m_scheduler.ends_to_acknowledge(vm, event_loop::now());
    milliseconds wait(0);
    // Ends that can't be acknowledged yet are listed again, which shows that this incarnation still runs.
    if (state.has_responded() && state.reachable && acknowledged == state.last_stored_end) {
        wait = m_scheduler.needs_frequent_polling(vm) ? frequent_renewal_wait : renewal_wait;
    }
    const std::int64_t deadline = m_scheduler.grant_lease_renewal(vm, event_loop::now());
    const call_tokens tokens = tokens_for(vm);
    m_context.vms.renew_lease(
        state.info(), tokens.vm, deadline, acknowledged, wait,
        [this, vm, tokens, alive = m_lifetime.weak_token()](const platform::renewal_answer& answer) {
            if (!alive.expired()) {
                on_lease_renewed(vm, answer, tokens);
            }
        });
}

/// Requests a report beside the renewal that may be waiting for a run to end.
void pool_task::schedule_report(const std::string& vm) {
    vm_renewal& renewal = m_renewals[vm];
    if (renewal.report_timer == nullptr) {
        renewal.report_timer = m_context.loop.make_timer([this, vm] { request_report(vm); });
    }
    if (!renewal.report_scheduled) {
        renewal.report_scheduled = true;
        renewal.report_timer->start(report_delay);
    }
}

void pool_task::request_report(const std::string& vm) {
    m_renewals[vm].report_scheduled = false; // Stops that are answered from now on need a later report.
    const auto known = m_scheduler.vms().find(vm);
    if (known == m_scheduler.vms().end() || !may_act()) {
        return;
    }
    const call_tokens tokens = tokens_for(vm);
    m_context.vms.renew_lease(
        known->second.info(), tokens.vm, 0, m_scheduler.ends_to_acknowledge(vm, event_loop::now()), 0ms,
        [this, vm, tokens, alive = m_lifetime.weak_token()](const platform::renewal_answer& answer) {
            if (!alive.expired()) {
                on_report(vm, answer, tokens);
            }
        });
}

/// Failures are left to the renewals, which are repeated.
void pool_task::on_report(const std::string& vm, const platform::renewal_answer& answer,
                          const call_tokens& tokens) {
    m_context.counters.increment("reports_" + std::string(name_of(answer.outcome)));
    if (answer.outcome == jobs::order_outcome::refused_fenced) {
        on_fence_refusal(vm, tokens);
    } else if (answer.outcome == jobs::order_outcome::accepted && m_scheduler.vms().contains(vm)) {
        process_report(vm, *answer.report, tokens.is_own);
    }
}

/// Logs the end of the VM's previous incarnations, which its report proves.
void pool_task::log_restarts(const std::string& vm, const jobs::vm_report& report) const {
    for (const std::string& previous : m_scheduler.previous_incarnations(vm)) {
        m_context.counters.increment("vm_restarts");
        const jobs::vm_state& ended = m_scheduler.vms().at(previous);
        log_event(event_id::vm_restarted,
                  {{"pool", m_pool},
                   {"vm", vm},
                   {"previous", previous},
                   {"clock_ms", report.clock_ms},
                   {"acknowledged", ended.last_stored_end},
                   {"previous_clock_ms", ended.clock_ms()},
                   {"previous_deadline_ms", ended.granted_deadline()},
                   {"unproven", describe_runs(m_scheduler.unproven_runs(previous, event_loop::now()))}});
    }
}

/// Processes the report of the VM, or of the incarnation that answers in its place.
void pool_task::process_report(const std::string& vm, jobs::vm_report report, bool is_fenced) {
    log_restarts(vm, report);
    report.is_fenced = is_fenced;
    m_scheduler.handle_report(vm, report, event_loop::now());
    if (!is_evacuated(vm) && !m_vm_record.may_contain(vm)) {
        // The VM had been unresponsive and was removed from the record, or has started again.
        m_vm_record_timer->start(0ms);
    }
    schedule_decision();
    renew_lease(vm);
}

void pool_task::on_lease_renewed(const std::string& vm, const platform::renewal_answer& answer,
                                 const call_tokens& tokens) {
    const auto renewal = m_renewals.find(vm);
    if (renewal == m_renewals.end()) {
        return;
    }
    renewal->second.renewing = false;
    m_context.counters.increment("renewals_" + std::string(name_of(answer.outcome)));
    if (answer.outcome == jobs::order_outcome::refused_fenced) {
        on_fence_refusal(vm, tokens);
    }
    if (!m_scheduler.vms().contains(vm)) {
        renew_lease(vm); // The incarnation has ended meanwhile: removes its renewals.
        return;
    }
    if (answer.outcome == jobs::order_outcome::restarted) {
        const std::string current = m_scheduler.add_restarted_vm(vm, answer.report->started_ms);
        process_report(current, *answer.report, false);
        m_scheduler.handle_vm_ended(vm, jobs::vm_end_cause::restarted, event_loop::now());
        renew_lease(vm);
        return;
    }
    if (answer.outcome == jobs::order_outcome::accepted) {
        if (renewal->second.failures > 0) {
            log_event(event_id::vm_reachable, {{"pool", m_pool}, {"vm", vm}});
        }
        renewal->second.failures = 0;
        process_report(vm, *answer.report, tokens.is_own);
        return;
    }
    on_renewal_failed(vm, renewal->second, answer);
}

void pool_task::on_renewal_failed(const std::string& vm, vm_renewal& renewal,
                                  const platform::renewal_answer& answer) {
    const timestamp now = event_loop::now();
    if (answer.problem && renewal.failures == 0) {
        log_event(event_id::vm_damaged,
                  {{"vm", vm}, {"place", answer.problem->location}, {"why", answer.problem->message}});
    }
    if (answer.outcome == jobs::order_outcome::wrong_incarnation) {
        m_scheduler.handle_vm_ended(vm, jobs::vm_end_cause::replaced, now);
    } else if (answer.outcome != jobs::order_outcome::refused_fenced && renewal.failures++ == 0) {
        const jobs::vm_state& state = m_scheduler.vms().at(vm);
        log_event(
            event_id::vm_unreachable,
            {{"pool", m_pool},
             {"vm", vm},
             {"outcome", name_of(answer.outcome)},
             {"lapses_in_ms", state.has_responded() ? std::to_string((state.lease_expires_at() - now).count())
                                                    : std::string("unknown")}});
    }
    m_scheduler.handle_vm_unreachable(vm, now);
    schedule_decision();
    schedule_renewal(vm, std::min(max_renewal_retry, renewal_retry * std::max(1, renewal.failures)));
}

} // namespace siskinpaddle::node
