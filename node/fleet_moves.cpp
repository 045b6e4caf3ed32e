#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Orders may come in a burst of what this time allows at the platform's rate: when a turn of demand begins,
/// a dozen machines are asked for at once.
constexpr double burst_s = 0.5;
/// A demand that is older than this is no longer acted on: a turn rises to several times a pool's room within
/// a second.
constexpr milliseconds demand_use = 1s;

} // namespace

std::vector<jobs::balance_machine> fleet_task::balance_view() const {
    std::set<std::string> in_upkeep;
    for (const auto& [number, item] : m_waves) {
        for (const auto& [machine, pending] : item.state.pending) {
            in_upkeep.insert(machine);
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
        item.is_reserved = in_upkeep.contains(name) || m_recent.contains(name) ||
                           m_clear.contains(info.pool, info.incarnation);
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

void fleet_task::refill_orders() {
    const timestamp now = event_loop::now();
    const double rate = m_parts.settings.machine_orders_per_s;
    const double passed_s = static_cast<double>((now - m_orders_refilled_at).count()) / 1000.0;
    m_orders_left = std::min(rate * burst_s, m_orders_left + rate * passed_s);
    m_orders_refilled_at = now;
}

/// What the pools ask for. Where an owner has not answered in this round, its last answer counts: the pool in
/// the peak of its turn has the busiest owner, and with answers after 250 ms it got no machine for as long as
/// the peak lasted. A machine still leaves a pool only if its owner has said in this round that it is empty.
std::map<std::string, jobs::pool_demand> fleet_task::known_demands() const {
    std::map<std::string, jobs::pool_demand> known = m_demands;
    for (const auto& [pool, latest] : m_latest_demands) {
        if (event_loop::now() - latest.at <= demand_use) {
            known.try_emplace(pool, latest.demand);
        }
    }
    return known;
}

void fleet_task::plan_moves() {
    const std::string spare = spare_pool();
    const jobs::balance_plan wanted =
        jobs::plan_balance(balance_view(), known_demands(), spare, {}, m_memory, event_loop::now());
    m_unwanted_machines = wanted.unneeded_machines;
    refill_orders();
    for (const jobs::machine_move& move : wanted.moves) {
        const platform::machine_info& info = m_machines[move.machine];
        if (info.pool != spare && !m_empty_vms.contains(info.incarnation)) {
            m_clear.add(info.pool, info.incarnation);
            m_again_at_once = true;
        } else if (m_orders_left >= 1) {
            m_orders_left -= 1;
            plan_move(move);
        }
    }
    for (const auto& [name, info] : m_machines) {
        if (wanted.vms_to_evacuate.contains(info.incarnation)) {
            m_clear.add(info.pool, info.incarnation);
        }
    }
}

void fleet_task::plan_move(const jobs::machine_move& move) {
    const platform::machine_info& info = m_machines[move.machine];
    m_moves[move.machine] = {move.pool, info.incarnation, event_loop::now()};
    m_clear.add(info.pool, info.incarnation);
    m_planned.push_back(
        {move.machine, [this, move] { order_move(move); }, [this, move] { m_moves.erase(move.machine); }});
}

void fleet_task::order_move(const jobs::machine_move& move) {
    m_parts.machines.move({m_parts.membership.self().id, m_held.token}, move.machine, move.pool,
                          [this, move, kind = m_machines[move.machine].kind,
                           alive = m_lifetime.weak_token()](platform::machine_outcome outcome) {
                              if (!alive.expired()) {
                                  move_ordered(move, kind, outcome);
                              }
                          });
}

void fleet_task::move_ordered(const jobs::machine_move& move, const std::string& kind,
                              platform::machine_outcome outcome) {
    log_event(event_id::machine_ordered, {{"order", "move"},
                                          {"machine", move.machine},
                                          {"from", move.from},
                                          {"pool", move.pool},
                                          {"outcome", name_of(outcome)},
                                          {"token", m_held.token}});
    if (outcome == platform::machine_outcome::invalid) {
        m_memory.refused_kinds.emplace(kind, move.pool);
    }
    if (outcome != platform::machine_outcome::done && outcome != platform::machine_outcome::unknown) {
        m_moves.erase(move.machine);
    }
}

} // namespace siskinpaddle::node
