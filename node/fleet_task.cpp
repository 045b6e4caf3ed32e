#include "node/fleet_task.hpp"

#include "node/fleet_timing.hpp"
#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// A round continues without the pool owners that have not answered within this time.
constexpr milliseconds answers_timeout = 150ms;
/// Longest time that a round waits for the list of machines if it can't plan without. A list takes some
/// milliseconds, fifty times as long when the platform is slow, and several calls in a large fleet.
constexpr milliseconds list_timeout = 1s;
/// The same if it can plan by the list before.
constexpr milliseconds short_list_timeout = 50ms;
/// Delay before the extra round that orders away VMs which their owners were just asked to empty. It lets the
/// owner remove the VM from its record first: one write to the store, 6 ms.
constexpr milliseconds immediate_round_delay = 15ms;
/// An order without a visible effect is dropped this long after the duration of a move; the list of machines
/// then shows where the machine is.
constexpr milliseconds move_margin = 2500ms;
/// A moved machine usually serves its pool within this time after the duration of a move: the platform lists
/// its VM a little later.
constexpr milliseconds arrival_margin = 1s;

} // namespace

fleet_task::fleet_task(context parts, const ownership& held)
    : m_context(std::move(parts)), m_ownership(held),
      m_timer(m_context.loop.make_timer([this] { run_round(); })),
      m_answers_timer(m_context.loop.make_timer([this] { finish_queries(); })),
      m_list_timer(m_context.loop.make_timer([this] { plan_round(); })),
      m_recently_ordered_known(held.epoch == 0 || held.was_previous_owner) {}

void fleet_task::start() {
    run_round();
}

bool fleet_task::may_order() const {
    // Machines check no fencing tokens, so orders require a confirmed ownership.
    const timestamp now = event_loop::now();
    return !m_stopped && m_recently_ordered_known &&
           now < m_context.membership.confirmed_until(m_ownership.duty);
}

std::string fleet_task::spare_pool() const {
    for (const jobs::pool_settings& pool : m_context.configuration.current().pools) {
        if (pool.is_spare) {
            return pool.name;
        }
    }
    return {};
}

// --- Rounds ---

void fleet_task::run_round() {
    if (m_stopped) {
        return;
    }
    m_timer->start(round_interval(m_machines.size()));
    if (!m_recently_ordered_known || !m_recently_ordered.empty()) {
        read_announcements();
    }
    if (!may_order()) {
        return;
    }
    for (const auto& [number, wanted] : m_context.configuration.waves()) {
        wave& item = m_waves[number];
        item.state.number = number;
        item.state.machines = wanted.machines;
        item.state.max_concurrent = wanted.max_concurrent;
        if (!item.loaded) {
            load_wave(number);
        }
    }
    query_demands();
}

/// Counts moves until their VMs usually serve the pool. A list that shows the arrival may come an interval
/// later, and until then the VM would count twice.
std::size_t fleet_task::count_arriving(const std::string& pool) const {
    const timestamp now = event_loop::now();
    return static_cast<std::size_t>(std::ranges::count_if(m_moves, [&](const auto& item) {
        return item.second.pool == pool &&
               now - item.second.ordered_at <= m_context.settings.move_time + arrival_margin;
    }));
}

void fleet_task::query_demands() {
    ++m_round;
    m_round_started_at = event_loop::now();
    m_demands.clear();
    m_empty_vms.clear();
    const std::vector<std::string> pools = m_context.records.pools_to_own(m_context.configuration.current());
    m_unanswered = {pools.begin(), pools.end()};
    m_answers_timer->start(answers_timeout);
    for (const std::string& pool : pools) {
        peer_request request;
        request.kind = static_cast<std::uint8_t>(peer_request_kind::demand_query);
        request.pool = pool;
        request.configuration_version = m_context.configuration.current().version;
        request.token = m_ownership.token;
        request.arriving_vms = count_arriving(pool);
        request.unneeded_machines = m_unneeded_machines;
        const std::set<std::string> kept_empty = m_vms_to_evacuate.vms_of_pool(pool);
        request.vms_to_empty.assign(kept_empty.begin(), kept_empty.end());
        m_context.ask_pool(request, [this, pool, kept_empty, round = m_round,
                                     alive = m_lifetime.weak_token()](const peer_answer& answer) {
            if (!alive.expired()) {
                on_demand_answered(pool, kept_empty, round, answer);
            }
        });
    }
}

void fleet_task::on_demand_answered(const std::string& pool, const std::set<std::string>& kept_empty,
                                    std::uint64_t round, const peer_answer& answer) {
    if (outcome_of(answer) != peer_outcome::ok) {
        return;
    }
    m_latest_demands[pool] = {answer.demand, event_loop::now()};
    if (round != m_round) {
        return; // The reported empty VMs are valid only for the request of the same round.
    }
    m_demands[pool] = answer.demand;
    for (const jobs::vm_load& vm : answer.demand.vms) {
        if (vm.is_idle && vm.released && kept_empty.contains(vm.vm)) {
            m_empty_vms.insert(vm.vm);
        }
    }
    if (m_unanswered.erase(pool) > 0 && m_unanswered.empty()) {
        m_answers_timer->cancel();
        finish_queries();
    }
}

bool fleet_task::is_wave_running() const {
    return std::ranges::any_of(m_waves, [](const auto& item) { return !item.second.completed; });
}

/// A list is due after an invalid move: until the list shows whether the kind or the machine was the cause,
/// machines of the same kind would be tried one after the other.
bool fleet_task::is_list_due() const {
    const bool is_one_invalid =
        std::ranges::any_of(m_refused_moves, [](const auto& item) { return item.second.is_invalid; });
    return !m_has_list || is_wave_running() || is_one_invalid ||
           event_loop::now() - m_listing_began_at >= list_interval(m_machines.size());
}

/// Lists the machines if it is time; the round and the next one wait for the list, or for a timeout. Without
/// that wait rounds overtake each other: while the owner of one pool is dead, a round waits for its answer
/// for almost the whole interval, and the list arrives after the next round has begun.
void fleet_task::finish_queries() {
    if (m_is_listing || !is_list_due()) {
        plan_round();
        return;
    }
    m_round_waits_for_list = true;
    m_timer->start(2 * list_timeout);
    m_list_timer->start(m_has_list && !is_wave_running() ? short_list_timeout : list_timeout);
    list_machines();
}

void fleet_task::list_machines() {
    m_is_listing = true;
    m_listing_began_at = event_loop::now();
    m_context.machines.list([this, alive = m_lifetime.weak_token()](const platform::machine_list& list) {
        if (!alive.expired() && !m_stopped) {
            on_machines_listed(list);
        }
    });
}

void fleet_task::on_machines_listed(const platform::machine_list& list) {
    m_is_listing = false;
    if (list.is_complete) {
        m_has_list = true;
        m_listed_at = m_listing_began_at;
        update_machines(list);
    } else {
        log_event(event_id::machines_unknown, {{"round", m_round}});
    }
    if (m_round_waits_for_list) {
        plan_round();
    }
}

/// Plans if the list of machines is recent enough, and starts the timer of the next round.
void fleet_task::plan_round() {
    m_round_waits_for_list = false;
    m_list_timer->cancel();
    m_timer->start(std::max(0ms, m_round_started_at + round_interval(m_machines.size()) - event_loop::now()));
    const milliseconds age = event_loop::now() - m_listed_at;
    if (m_has_list && age <= max_list_age(m_machines.size(), is_wave_running())) {
        plan();
    }
}

void fleet_task::update_machines(const platform::machine_list& list) {
    m_machines.clear();
    for (const platform::machine_info& info : list.machines) {
        m_machines[info.machine] = info;
    }
    remove_finished_moves();
    record_refused_kinds();
}

/// Only lists begun after an order show its effect.
void fleet_task::remove_finished_moves() {
    std::erase_if(m_moves, [&](const auto& item) {
        const pending_move& move = item.second;
        if (m_listed_at < move.ordered_at) {
            return false;
        }
        const auto found = m_machines.find(item.first);
        if (found == m_machines.end()) {
            return true;
        }
        const platform::machine_info& info = found->second;
        const bool arrived = info.pool == move.pool && info.phase == platform::machine_phase::up &&
                             (info.incarnation != move.previous_vm || info.incarnation.empty());
        return arrived || m_listed_at - move.ordered_at > m_context.settings.move_time + move_margin;
    });
}

/// The platform gives one answer to a move into a pool that is not for the machine's kind and to a move of a
/// machine that no longer exists; a list begun later distinguishes them.
void fleet_task::record_refused_kinds() {
    std::erase_if(m_refused_moves, [&](const auto& item) {
        const refused_move& refused = item.second;
        if (m_listed_at < refused.refused_at) {
            return false;
        }
        if (refused.is_invalid && m_machines.contains(item.first)) {
            m_balance_state.refused_kinds.emplace(refused.kind, refused.pool);
        }
        return true;
    });
}

void fleet_task::plan() {
    m_vms_asked_to_evacuate = m_vms_to_evacuate.all_vms();
    m_vms_to_evacuate.clear();
    m_has_new_evacuation_request = false;
    for (const auto& [machine, move] : m_moves) {
        if (const auto found = m_machines.find(machine); found != m_machines.end()) {
            // The order may not have been executed yet.
            m_vms_to_evacuate.add(found->second.pool, move.previous_vm);
        }
    }
    if (!may_order()) {
        return;
    }
    plan_waves();
    plan_moves();
    send_orders();
    if (m_has_new_evacuation_request) {
        m_timer->start(immediate_round_delay);
    }
}

} // namespace siskinpaddle::node
