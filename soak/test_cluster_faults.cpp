#include "soak/test_cluster.hpp"

#include "node/keys.hpp"

#include <csignal>

namespace siskinpaddle::soak {

namespace {

constexpr milliseconds link_delay = 300ms;
/// In this period a slow node runs for one iteration of the soak's event loop (2 ms): eight iterations within
/// the lease (2 s) of an owner's claim. With periods of 60, 150, 250 and 400 ms, and one run for each of 12
/// seeds, 0, 0, 2 and 1 runs detect an owner that counts only jobs already transferred from the inbox.
constexpr milliseconds slow_period = 250ms;
/// A weak node runs for a quarter of the time. Its pauses are far shorter than a round trip's timeout.
constexpr milliseconds weak_run_time = 20ms;
constexpr milliseconds weak_stop_time = 60ms;
constexpr int weak_slowdown = 4;
/// Time that the start of a node's program can take on a busy machine.
constexpr milliseconds startup_time = 1s;
constexpr jobs::resources full_capacity{4000, 8192, 0};
constexpr jobs::resources shrunk_capacity{1000, 8192, 0};
constexpr int lost_answers = 4;
constexpr int late_writes = 2;
constexpr int late_starts = 3;
constexpr int lost_stops = 2;
constexpr std::uint32_t unanswered_one_in = 12;
/// Some late starts are still within their deadline after this delay.
constexpr milliseconds late_start_delay = 1200ms;
/// With vm_restarts_then_cut: time in which a renewal is left unanswered, and from the restart to the cut.
constexpr milliseconds time_to_restart = 500ms;
constexpr milliseconds time_to_cut = 500ms;
/// The renewal is carried out after the next start has been given tasks, and before it is cut off.
constexpr milliseconds late_renewal_delay = 900ms;

bool is_restart(fault_kind kind) {
    return kind == fault_kind::vm_restarts || kind == fault_kind::vm_restarts_cut ||
           kind == fault_kind::vm_restarts_late;
}

fakes::link_mode mode_of(fault_kind kind) {
    switch (kind) {
    case fault_kind::store_link_delay:
    case fault_kind::vm_link_delay:
    case fault_kind::vm_restarts_late:
        return fakes::link_mode::delay;
    case fault_kind::store_link_cut_out:
    case fault_kind::vm_link_cut_out:
        return fakes::link_mode::drop_to_server;
    case fault_kind::store_link_cut_back:
    case fault_kind::vm_link_cut_back:
        return fakes::link_mode::drop_to_client;
    case fault_kind::store_link_silent:
    case fault_kind::vm_link_silent:
    case fault_kind::vm_restarts_cut:
        return fakes::link_mode::drop_all;
    default:
        return fakes::link_mode::reset;
    }
}

} // namespace

void test_cluster::set_shrunk(cluster_vm& state, bool enabled) {
    state.shrink_count += enabled ? 1 : -1;
    state.machine->set_capacity(state.shrink_count > 0 ? shrunk_capacity : full_capacity);
}

void test_cluster::set_failing(const cluster_vm& state, bool enabled) {
    if (state.machine->vm() != nullptr) {
        state.machine->vm()->set_failing(enabled);
    }
}

void test_cluster::delay_orders(const cluster_vm& state) {
    if (state.machine->vm() != nullptr) {
        state.machine->vm()->delay_starts(late_starts, late_start_delay);
        state.machine->vm()->lose_stops(lost_stops);
    }
}

void test_cluster::restart_then_cut(cluster_vm& state) {
    if (state.machine->vm() != nullptr) {
        state.machine->vm()->delay_renewals(1, late_renewal_delay);
    }
    run_later(time_to_restart, [&state] {
        state.link->silence_connections();
        state.machine->restart();
    });
    run_later(time_to_restart + time_to_cut, [this, &state] {
        ++m_link_faults[state.link.get()];
        state.link->set_mode(fakes::link_mode::drop_all);
    });
}

void test_cluster::run_later(milliseconds delay, std::function<void()> action) {
    m_actions.push_back(m_loop.make_timer(std::move(action)));
    m_actions.back()->start(delay);
}

void test_cluster::leave_starts_unanswered(bool enabled) {
    m_unanswered_faults += enabled ? 1 : -1;
    for (const cluster_vm& state : m_vms) {
        if (state.machine->vm() != nullptr) {
            state.machine->vm()->leave_starts_unanswered(m_unanswered_faults > 0 ? unanswered_one_in : 0,
                                                         late_start_delay);
        }
    }
}

fakes::fault_proxy* test_cluster::link_of(const planned_fault& fault) {
    switch (fault.kind) {
    case fault_kind::store_link_delay:
    case fault_kind::store_link_reset:
    case fault_kind::store_link_cut_out:
    case fault_kind::store_link_cut_back:
    case fault_kind::store_link_silent:
        return m_nodes[fault.target % m_settings.nodes]->store_link.get();
    case fault_kind::client_link_reset:
        return m_nodes[fault.target % m_settings.nodes]->client_link.get();
    case fault_kind::vm_link_delay:
    case fault_kind::vm_link_reset:
    case fault_kind::vm_link_cut_out:
    case fault_kind::vm_link_cut_back:
    case fault_kind::vm_link_silent:
    case fault_kind::vm_restarts_cut:
    case fault_kind::vm_restarts_late:
        return m_vms[fault.target % m_settings.vms].link.get();
    default:
        return nullptr;
    }
}

void test_cluster::apply_node_fault(cluster_node& state, fault_kind kind) {
    if (kind == fault_kind::node_slow) {
        ++state.slow_count;
        return;
    }
    if (kind == fault_kind::node_pause) {
        ++state.pause_count;
        state.process->signal(SIGSTOP);
        return;
    }
    ++state.restart_blocks;
    state.is_ending = true;
    if (kind == fault_kind::node_kill) {
        state.process->kill();
    } else {
        state.terminated_at = state.terminated_at == timestamp(0) ? event_loop::now() : state.terminated_at;
        state.process->signal(SIGTERM);
    }
}

void test_cluster::revert_node_fault(cluster_node& state, fault_kind kind) {
    if (kind != fault_kind::node_pause && kind != fault_kind::node_slow) {
        --state.restart_blocks;
        return;
    }
    --(kind == fault_kind::node_pause ? state.pause_count : state.slow_count);
    if (state.pause_count == 0) {
        state.process->signal(SIGCONT);
        state.is_slow_stopped = false;
        state.terminated_at = state.terminated_at == timestamp(0) ? timestamp(0) : event_loop::now();
    }
}

/// Sends SIGHUP, except to a process that may not have reached main() yet: SIGHUP would end that process.
void test_cluster::reload_node(const cluster_node& state) {
    if (state.pause_count == 0 &&
        event_loop::now() - state.started_at >= startup_time * (state.is_weak ? weak_slowdown : 1)) {
        state.process->signal(SIGHUP);
    }
}

void test_cluster::switch_slow_nodes() {
    const timestamp now = event_loop::now();
    for (const auto& state : m_nodes) {
        const bool is_slow = state->slow_count > 0;
        if ((!is_slow && !state->is_weak) || state->pause_count > 0 || now < state->next_switch_at) {
            continue;
        }
        state->is_slow_stopped = !state->is_slow_stopped;
        if (state->is_slow_stopped) {
            state->next_switch_at = now + (is_slow ? slow_period : weak_stop_time);
        } else {
            state->next_switch_at = now + (is_slow ? 0ms : weak_run_time);
        }
        state->process->signal(state->is_slow_stopped ? SIGSTOP : SIGCONT);
    }
}

void test_cluster::set_store_fault(fault_kind kind, bool enabled) {
    std::uint32_t& count = kind == fault_kind::store_silent ? m_silent_faults : m_busy_faults;
    count += enabled ? 1 : -1;
    if (kind == fault_kind::store_silent) {
        m_store.set_silent(m_silent_faults > 0);
    } else {
        m_store.set_busy(m_busy_faults > 0);
    }
}

/// While writes of job records are held, the owner doesn't answer calls from entries in time. Entries then
/// leave jobs in the inbox, and the owner can't transfer the jobs from there.
void test_cluster::hold_job_writes(bool enabled) {
    m_hold_faults += enabled ? 1 : -1;
    m_store.hold_writes(m_hold_faults > 0 ? node::job_prefix(std::string(pool_name)) : std::string());
}

void test_cluster::apply(const planned_fault& fault) {
    record_outage(fault);
    if (fakes::fault_proxy* link = link_of(fault)) {
        ++m_link_faults[link];
        link->set_mode(mode_of(fault.kind), link_delay);
    }
    if (is_restart(fault.kind) && fault.kind != fault_kind::vm_restarts_late) {
        vm_of(fault).machine->restart();
    }
    if (link_of(fault) != nullptr || is_restart(fault.kind)) {
        return;
    }
    if (is_node_fault(fault.kind)) {
        apply_node_fault(*m_nodes[fault.target % m_settings.nodes], fault.kind);
        return;
    }
    switch (fault.kind) {
    case fault_kind::vm_crash:
        vm_of(fault).machine->block_restart(true);
        vm_of(fault).machine->crash();
        return;
    case fault_kind::vm_shrinks:
        set_shrunk(vm_of(fault), true);
        return;
    case fault_kind::vm_fails_runs:
        set_failing(vm_of(fault), true);
        return;
    case fault_kind::vm_late_orders:
        delay_orders(vm_of(fault));
        return;
    case fault_kind::vm_starts_unanswered:
        leave_starts_unanswered(true);
        return;
    case fault_kind::vm_restarts_then_cut:
        restart_then_cut(vm_of(fault));
        return;
    case fault_kind::vm_drains:
        vm_of(fault).machine->drain();
        return;
    case fault_kind::store_connections_silent:
        m_nodes[fault.target % m_settings.nodes]->store_link->silence_connections();
        return;
    case fault_kind::node_reloads:
        reload_node(*m_nodes[fault.target % m_settings.nodes]);
        return;
    case fault_kind::store_silent:
    case fault_kind::store_busy:
        set_store_fault(fault.kind, true);
        return;
    case fault_kind::store_holds_jobs:
        hold_job_writes(true);
        return;
    case fault_kind::store_lost_answers:
        m_store.lose_answers(lost_answers);
        return;
    case fault_kind::store_late_writes:
        m_store.delay_writes(late_writes);
        return;
    case fault_kind::store_compact:
        m_store.compact();
        return;
    case fault_kind::store_leases_lapse:
        m_store.expire_leases();
        return;
    default:
        publish_next_configuration();
        return;
    }
}

void test_cluster::publish_next_configuration() {
    m_configuration_version += 2;
    publish_configuration();
}

void test_cluster::raise_limits() {
    m_accounts.raise_limits();
    m_is_last_configuration = true;
    publish_next_configuration();
}

void test_cluster::revert(const planned_fault& fault) {
    end_outage(fault);
    if (fault.kind == fault_kind::vm_restarts_late) {
        vm_of(fault).machine->restart();
    }
    fakes::fault_proxy* link =
        fault.kind == fault_kind::vm_restarts_then_cut ? vm_of(fault).link.get() : link_of(fault);
    if (link != nullptr) {
        if (--m_link_faults[link] == 0) {
            link->set_mode(fakes::link_mode::pass);
        }
    } else if (is_node_fault(fault.kind)) {
        revert_node_fault(*m_nodes[fault.target % m_settings.nodes], fault.kind);
    } else if (fault.kind == fault_kind::vm_crash) {
        vm_of(fault).machine->block_restart(false);
    } else if (fault.kind == fault_kind::vm_shrinks) {
        set_shrunk(vm_of(fault), false);
    } else if (fault.kind == fault_kind::vm_fails_runs) {
        set_failing(vm_of(fault), false);
    } else if (fault.kind == fault_kind::vm_starts_unanswered) {
        leave_starts_unanswered(false);
    } else if (fault.kind == fault_kind::vm_drains) {
        vm_of(fault).machine->crash();
    } else if (fault.kind == fault_kind::store_silent || fault.kind == fault_kind::store_busy) {
        set_store_fault(fault.kind, false);
    } else if (fault.kind == fault_kind::store_holds_jobs) {
        hold_job_writes(false);
    } else if (fault.kind == fault_kind::store_lost_answers) {
        m_store.lose_answers(0);
    } else if (fault.kind == fault_kind::store_late_writes) {
        m_store.delay_writes(0);
    }
}

} // namespace siskinpaddle::soak
