#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Moves may come in a burst of as many orders as the platform's rate allows in this time: the start
/// of a demand peak needs a dozen machines at once.
constexpr double order_burst_s = 0.5;
/// Demands older than this are ignored: at a demand peak the demand rises to several times a pool's capacity
/// within a second.
constexpr milliseconds max_demand_age = 1s;

} // namespace

std::vector<jobs::balance_machine> fleet_task::balance_view() const {
    std::set<std::string> in_maintenance;
    for (const auto& [number, item] : m_waves) {
        for (const auto& [machine, pending] : item.state.pending) {
            in_maintenance.insert(machine);
        }
    }
    std::vector<jobs::balance_machine> view;
    for (const auto& [name, info] : m_machines) {
        jobs::balance_machine item;
        item.machine = name;
        item.pool = info.pool;
        item.kind = info.kind;
        item.rack = info.rack;
        item.availability_zone = info.availability_zone;
        item.vm = info.incarnation;
        item.is_up = info.phase == platform::machine_phase::up;
        item.is_moving = info.phase == platform::machine_phase::moving;
        item.millicores = info.capacity.cpu_millicores;
        item.kept_empty = m_empty_vms.contains(info.incarnation);
        item.is_reserved = in_maintenance.contains(name) || m_recently_ordered.contains(name) ||
                           m_refused_moves.contains(name) ||
                           m_vms_to_evacuate.contains(info.pool, info.incarnation);
        if (const auto move = m_moves.find(name); move != m_moves.end()) {
            item.pool = move->second.pool;
            item.is_moving = true;
            item.is_up = false;
            item.is_reserved = false;
        }
        view.push_back(std::move(item));
    }
    return view;
}

void fleet_task::refill_order_budget() {
    const timestamp now = event_loop::now();
    const double rate = m_context.settings.machine_orders_per_s;
    const double elapsed_s = static_cast<double>((now - m_orders_refilled_at).count()) / 1000.0;
    m_order_budget = std::min(rate * order_burst_s, m_order_budget + rate * elapsed_s);
    m_orders_refilled_at = now;
}

/// Returns the demands answered in this round and, for owners that have not answered yet, their last answers.
/// The pool at its demand peak has the busiest owner; without its last answer, a pool whose owner answered
/// after 250 ms got no machine for the whole peak. A machine still leaves a pool only if the pool's owner has
/// reported in this round that the VM is empty.
std::map<std::string, jobs::pool_demand> fleet_task::recent_demands() const {
    std::map<std::string, jobs::pool_demand> known = m_demands;
    for (const auto& [pool, latest] : m_latest_demands) {
        if (event_loop::now() - latest.received_at <= max_demand_age) {
            known.try_emplace(pool, latest.demand);
        }
    }
    return known;
}

void fleet_task::plan_moves() {
    const std::string spare = spare_pool();
    jobs::balance_settings settings;
    settings.reserves = m_context.settings.reserves;
    const jobs::balance_plan balance = jobs::plan_balance(balance_view(), recent_demands(), spare, settings,
                                                          m_balance_state, event_loop::now());
    m_unneeded_machines = balance.unneeded_machines;
    refill_order_budget();
    for (const jobs::machine_move& move : balance.moves) {
        const platform::machine_info& info = m_machines[move.machine];
        if (info.pool != spare && !m_empty_vms.contains(info.incarnation)) {
            m_vms_to_evacuate.add(info.pool, info.incarnation);
            m_has_new_evacuation_request = true;
        } else if (m_order_budget >= 1) {
            m_order_budget -= 1;
            plan_move(move);
        }
    }
    for (const auto& [name, info] : m_machines) {
        if (balance.vms_to_evacuate.contains(info.incarnation)) {
            m_vms_to_evacuate.add(info.pool, info.incarnation);
        }
    }
}

void fleet_task::plan_move(const jobs::machine_move& move) {
    const platform::machine_info& info = m_machines[move.machine];
    m_moves[move.machine] = {move.pool, info.incarnation, event_loop::now()};
    m_vms_to_evacuate.add(info.pool, info.incarnation);
    m_planned.push_back(
        {move.machine, [this, move] { order_move(move); }, [this, move] { m_moves.erase(move.machine); }});
}

void fleet_task::order_move(const jobs::machine_move& move) {
    m_context.machines.move({m_context.membership.self().id, m_ownership.token}, move.machine, move.pool,
                            [this, move, kind = m_machines[move.machine].kind,
                             alive = m_lifetime.weak_token()](platform::machine_outcome outcome) {
                                if (!alive.expired()) {
                                    on_move_ordered(move, kind, outcome);
                                }
                            });
}

void fleet_task::on_move_ordered(const jobs::machine_move& move, const std::string& kind,
                                 platform::machine_outcome outcome) {
    log_event(event_id::machine_ordered, {{"order", "move"},
                                          {"machine", move.machine},
                                          {"from", move.from},
                                          {"pool", move.pool},
                                          {"outcome", name_of(outcome)},
                                          {"token", m_ownership.token}});
    if (outcome == platform::machine_outcome::done || outcome == platform::machine_outcome::unknown) {
        return;
    }
    m_moves.erase(move.machine);
    if (outcome == platform::machine_outcome::invalid || outcome == platform::machine_outcome::busy) {
        m_refused_moves[move.machine] = {kind, move.pool, outcome == platform::machine_outcome::invalid,
                                         event_loop::now()};
    }
}

} // namespace siskinpaddle::node
