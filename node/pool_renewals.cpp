#include "node/pool_task.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// A renewal waits this long for an end. The platform allows two seconds; below that by a margin, so that a
/// lease of six seconds always has four left when its owner dies.
constexpr milliseconds renewal_wait = 1500ms;
/// Where runs may disturb each other, are not at work yet, or several soon end.
constexpr milliseconds close_look_wait = 400ms;
constexpr milliseconds renewal_retry = 150ms;
constexpr milliseconds longest_retry = 600ms;
/// While the owner may not act.
constexpr milliseconds paused_retry = 250ms;

} // namespace

void pool_task::renew_later(const std::string& vm, milliseconds pause) {
    vm_link& link = m_links[vm];
    if (link.pause == nullptr) {
        link.pause = m_parts.loop.make_timer([this, vm] { renew(vm); });
    }
    link.pause->start(pause);
}

void pool_task::renew(const std::string& vm) {
    const auto known = m_scheduler.vms().find(vm);
    if (known == m_scheduler.vms().end()) {
        m_parts.loop.post([this, vm, alive = m_lifetime.weak_token()] {
            if (!alive.expired() && !m_scheduler.vms().contains(vm)) {
                m_links.erase(vm); // Not from inside its own timer.
            }
        });
        return;
    }
    vm_link& link = m_links[vm];
    if (link.renewing) {
        return;
    }
    if (!may_act() || (m_winding_down && !m_scheduler.has_changes())) {
        renew_later(vm, paused_retry);
        return;
    }
    const jobs::vm_state& state = known->second;
    if (state.last_received_end > state.last_stored_end) {
        link.waits_for_store = true;
        return;
    }
    if (!state.listed && state.has_no_runs() && state.has_responded()) {
        renew_later(vm, longest_retry); // Nothing runs there: let its lease run out.
        return;
    }
    link.renewing = true;
    milliseconds wait(0);
    if (state.has_responded() && state.reachable) {
        wait = m_scheduler.needs_frequent_polling(vm) ? close_look_wait : renewal_wait;
    }
    const std::int64_t deadline = m_scheduler.grant_lease_renewal(vm, event_loop::now());
    m_parts.vms.renew_lease(state.info(), m_held.token, deadline, state.last_stored_end, wait,
                            [this, vm, token = m_held.token,
                             alive = m_lifetime.weak_token()](const platform::renewal_answer& answer) {
                                if (!alive.expired()) {
                                    renewed(vm, answer, token);
                                }
                            });
}

void pool_task::renewed(const std::string& vm, const platform::renewal_answer& answer, std::int64_t token) {
    const auto link = m_links.find(vm);
    if (link == m_links.end()) {
        return;
    }
    link->second.renewing = false;
    const timestamp now = event_loop::now();
    m_parts.counters.increment("renewals_" + std::string(name_of(answer.outcome)));
    if (answer.outcome == jobs::order_outcome::accepted) {
        if (link->second.failures > 0) {
            log_event(event_id::vm_reachable, {{"pool", m_pool}, {"vm", vm}});
        }
        link->second.failures = 0;
        m_scheduler.handle_report(vm, *answer.report, now);
        if (!m_cleared_vms.contains(vm) && !m_record.may_contain(vm)) {
            m_record_timer->start(0ms); // It had been silent and left the record.
        }
        decide_soon();
        renew(vm);
        return;
    }
    if (answer.outcome == jobs::order_outcome::wrong_incarnation) {
        m_scheduler.handle_vm_ended(vm, jobs::vm_end_cause::replaced, now);
    } else if (answer.outcome == jobs::order_outcome::refused_fenced) {
        ownership_lost("fence", token);
    } else if (link->second.failures++ == 0) {
        const auto known = m_scheduler.vms().find(vm);
        log_event(event_id::vm_unreachable,
                  {{"pool", m_pool},
                   {"vm", vm},
                   {"outcome", name_of(answer.outcome)},
                   {"lapses_in_ms", (known->second.lease_expires_at() - now).count()}});
    }
    m_scheduler.handle_vm_unreachable(vm, now);
    decide_soon();
    renew_later(vm, std::min(longest_retry, renewal_retry * std::max(1, link->second.failures)));
}

} // namespace siskinpaddle::node
