#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Interval between rounds. Demand rises to several times a pool's capacity within a second and stays there
/// for several seconds; each round costs one call to the platform and one to each pool's owner.
constexpr milliseconds round_interval = 160ms;
/// A round continues without the pool owners that have not answered within this time.
constexpr milliseconds answers_timeout = 150ms;
/// Longest time that a round waits for the list of machines. A list takes some milliseconds, fifty times as
/// long when the platform is slow, and several calls in a large fleet.
constexpr milliseconds list_timeout = 1s;
/// Delay before the extra round that orders away VMs which their owners were just asked to empty. It lets the
/// owner remove the VM from its record first: one write to the store, 6 ms.
constexpr milliseconds immediate_round_delay = 15ms;
/// An order without a visible effect is dropped this long after the duration of a move; the list of machines
/// then shows where the machine is.
constexpr milliseconds move_margin = 2500ms;

} // namespace

fleet_task::fleet_task(context parts, const ownership& held)
    : m_context(std::move(parts)), m_ownership(held),
      m_timer(m_context.loop.make_timer([this] { run_round(); })),
      m_answers_timer(m_context.loop.make_timer([this] { list_machines(); })),
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
    m_timer->start(round_interval);
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

std::size_t fleet_task::count_arriving(const std::string& pool) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_moves, [&](const auto& item) { return item.second.pool == pool; }));
}

void fleet_task::query_demands() {
    ++m_round;
    m_round_started_at = event_loop::now();
    m_demands.clear();
    m_empty_vms.clear();
    const std::vector<std::string> pools = m_context.configuration.current().pools_with_queues();
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
        list_machines();
    }
}

/// Lists the machines; the next round waits for the list. Without that wait rounds overtake each other: while
/// the owner of one pool is dead, a round waits for its answer for almost the whole interval, the list
/// arrives after the next round has begun and is dropped, and no pool gets a machine until that owner is
/// replaced, 2.2 s later.
void fleet_task::list_machines() {
    m_timer->start(list_timeout);
    m_context.machines.list(
        [this, round = m_round, alive = m_lifetime.weak_token()](const platform::machine_list& list) {
            if (alive.expired() || round != m_round || m_stopped) {
                return;
            }
            m_timer->start(std::max(0ms, m_round_started_at + round_interval - event_loop::now()));
            if (!list.is_complete) {
                log_event(event_id::machines_unknown, {{"round", round}});
                return;
            }
            update_machines(list);
            plan();
        });
}

void fleet_task::update_machines(const platform::machine_list& list) {
    m_machines.clear();
    for (const platform::machine_info& info : list.machines) {
        m_machines[info.machine] = info;
    }
    remove_finished_moves();
}

void fleet_task::remove_finished_moves() {
    const timestamp now = event_loop::now();
    std::erase_if(m_moves, [&](const auto& item) {
        const auto found = m_machines.find(item.first);
        if (found == m_machines.end()) {
            return true;
        }
        const platform::machine_info& info = found->second;
        const bool arrived = info.pool == item.second.pool && info.phase == platform::machine_phase::up &&
                             (info.incarnation != item.second.previous_vm || info.incarnation.empty());
        return arrived || now - item.second.ordered_at > m_context.settings.move_time + move_margin;
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
