#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// Between two rounds. Demand rises to several times a pool's room within a second and lasts several; each
/// round costs one call of the platform and one of each owner.
constexpr milliseconds round_interval = 160ms;
/// A round goes on without the owners that have not answered by then.
constexpr milliseconds answers_bound = 150ms;
/// A VM that was asked for is ordered away in a round of its own, right after its owner could answer.
constexpr milliseconds at_once = 10ms;
/// An order that has shown no effect for this long beyond the move's own time is forgotten; the list tells
/// where the machine is.
constexpr milliseconds move_patience = 2500ms;
/// One lease serves the announcements of this long; a lease for each round would double the calls.
constexpr milliseconds announcement_use = 1s;
/// From the announcement to the order's arrival.
constexpr milliseconds announcement_margin = 500ms;

/// Orders may come in a burst of what this time allows at the platform's rate: when a turn of demand begins,
/// a dozen machines are asked for at once.
constexpr double burst_s = 0.5;

} // namespace

fleet_task::fleet_task(context parts, const ownership& held)
    : m_parts(std::move(parts)), m_held(held), m_timer(m_parts.loop.make_timer([this] { round(); })),
      m_answers_bound(m_parts.loop.make_timer([this] { list_machines(); })),
      m_recent_known(held.epoch == 0 || held.own_before) {}

void fleet_task::start() {
    round();
}

bool fleet_task::may_order() const {
    // Machines check no fencing tokens, so only a claim that certainly stands will do.
    const timestamp now = event_loop::now();
    return !m_stopped && m_recent_known && now < m_parts.membership.certain_until(m_held.duty);
}

std::string fleet_task::spare_pool() const {
    for (const jobs::pool_settings& pool : m_parts.configuration.current().pools) {
        if (pool.spare) {
            return pool.name;
        }
    }
    return {};
}

// --- A round ---

void fleet_task::round() {
    if (m_stopped) {
        return;
    }
    m_timer->start(round_interval);
    if (!m_recent_known || !m_recent.empty()) {
        read_announcements();
    }
    if (!may_order()) {
        return;
    }
    for (const auto& [number, wanted] : m_parts.configuration.waves()) {
        wave& item = m_waves[number];
        item.state.number = number;
        item.state.machines = wanted.machines;
        item.state.at_once = wanted.at_once;
        if (!item.loaded) {
            load(number);
        }
    }
    ask_pools();
}

std::size_t fleet_task::arriving(const std::string& pool) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(m_moves, [&](const auto& item) { return item.second.pool == pool; }));
}

void fleet_task::ask_pools() {
    ++m_round;
    m_demands.clear();
    m_empty_vms.clear();
    const std::vector<std::string> pools = m_parts.configuration.current().working_pools();
    m_unanswered = {pools.begin(), pools.end()};
    m_answers_bound->start(answers_bound);
    for (const std::string& pool : pools) {
        peer_request request;
        request.kind = static_cast<std::uint8_t>(peer_request_kind::fleet_look);
        request.pool = pool;
        request.configuration = m_parts.configuration.current().version;
        request.arriving = arriving(pool);
        request.lendable = m_lendable;
        const std::set<std::string> kept_empty = m_clear[pool];
        request.vms.assign(kept_empty.begin(), kept_empty.end());
        m_parts.ask_pool(request, [this, pool, kept_empty, round = m_round,
                                   alive = m_lifetime.watch()](const peer_answer& answer) {
            if (!alive.expired()) {
                pool_answered(pool, kept_empty, round, answer);
            }
        });
    }
}

void fleet_task::pool_answered(const std::string& pool, const std::set<std::string>& kept_empty,
                               std::uint64_t round, const peer_answer& answer) {
    if (round != m_round || outcome_of(answer) != peer_outcome::ok) {
        return;
    }
    m_demands[pool] = answer.demand;
    for (const jobs::vm_load& vm : answer.demand.vms) {
        if (vm.idle && kept_empty.contains(vm.vm)) {
            m_empty_vms.insert(vm.vm);
        }
    }
    if (m_unanswered.erase(pool) > 0 && m_unanswered.empty()) {
        m_answers_bound->cancel();
        list_machines();
    }
}

void fleet_task::list_machines() {
    m_parts.machines.list(
        [this, round = m_round, alive = m_lifetime.watch()](const platform::machine_list& list) {
            if (alive.expired() || round != m_round) {
                return;
            }
            if (!list.good) {
                log_event(event_id::machines_unknown, {{"round", round}});
                return;
            }
            take_machines(list);
            plan();
        });
}

void fleet_task::take_machines(const platform::machine_list& list) {
    m_machines.clear();
    for (const platform::machine_info& info : list.machines) {
        m_machines[info.machine] = info;
    }
    settle_moves();
}

void fleet_task::settle_moves() {
    const timestamp now = event_loop::now();
    std::erase_if(m_moves, [&](const auto& item) {
        const auto found = m_machines.find(item.first);
        if (found == m_machines.end()) {
            return true;
        }
        const platform::machine_info& info = found->second;
        const bool arrived = info.pool == item.second.pool && info.phase == platform::machine_phase::up &&
                             (info.incarnation != item.second.vm_before || info.incarnation.empty());
        return arrived || now - item.second.ordered_at > m_parts.settings.move_time + move_patience;
    });
}

void fleet_task::plan() {
    m_asked_empty.clear();
    for (const auto& [pool, vms] : m_clear) {
        m_asked_empty.insert(vms.begin(), vms.end());
    }
    m_clear.clear();
    m_again_at_once = false;
    for (const auto& [machine, move] : m_moves) {
        if (const auto found = m_machines.find(machine); found != m_machines.end()) {
            m_clear[found->second.pool].insert(
                move.vm_before); // The order may not have been carried out yet.
        }
    }
    if (!may_order()) {
        return;
    }
    plan_waves();
    plan_moves();
    give_orders();
    if (m_again_at_once) {
        m_timer->start(at_once);
    }
}

// --- Orders and their announcement ---

void fleet_task::give_orders() {
    if (m_planned.empty()) {
        return;
    }
    std::vector<std::string> machines;
    for (const planned_order& order : m_planned) {
        machines.push_back(order.machine);
    }
    announce(machines, [this, orders = std::exchange(m_planned, {})](bool announced) {
        for (const planned_order& order : orders) {
            announced&& may_order() ? order.give() : order.take_back();
        }
    });
}

/// The announcement lives under a lease of its own, so that it ends by itself when the quiet time has passed,
/// also when its holder is gone.
void fleet_task::announce(const std::vector<std::string>& machines, std::function<void(bool)> done) {
    if (event_loop::now() - m_announcement_granted_at < announcement_use) {
        write_announcement(machines, done);
        return;
    }
    const timestamp asked_at = event_loop::now();
    m_parts.store.grant_lease(m_parts.settings.order_quiet + announcement_use + announcement_margin,
                              [this, machines, asked_at, done = std::move(done),
                               alive = m_lifetime.watch()](const platform::lease_answer& answer) {
                                  if (alive.expired()) {
                                      return;
                                  }
                                  if (answer.status != platform::store_status::ok) {
                                      done(false);
                                      return;
                                  }
                                  m_announcement_lease = answer.lease;
                                  m_announcement_granted_at = asked_at;
                                  write_announcement(machines, done);
                              });
}

void fleet_task::write_announcement(const std::vector<std::string>& machines,
                                    const std::function<void(bool)>& done) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_held.duty, m_held.token});
    const std::string key =
        announcement_prefix + std::to_string(m_held.token) + "-" + std::to_string(m_announcements++);
    change.writes.push_back({key, encode_archive(machines), m_announcement_lease});
    m_parts.store.commit(change, [done, alive = m_lifetime.watch()](const platform::store_answer& answer) {
        if (!alive.expired()) {
            done(answer.status == platform::store_status::ok);
        }
    });
}

void fleet_task::read_announcements() {
    m_parts.store.range(announcement_prefix, {},
                        [this, alive = m_lifetime.watch()](const platform::store_answer& answer) {
                            if (alive.expired() || answer.status != platform::store_status::ok) {
                                return;
                            }
                            m_recent.clear();
                            const std::string own = announcement_prefix + std::to_string(m_held.token) + "-";
                            for (const platform::store_item& item : answer.items) {
                                const auto machines = decode_archive<std::vector<std::string>>(item.value);
                                if (machines && !item.key.starts_with(own)) {
                                    m_recent.insert(machines.value().begin(), machines.value().end());
                                }
                            }
                            m_recent_known = true;
                        });
}

// --- Upkeep ---

std::map<std::string, jobs::upkeep_machine> fleet_task::upkeep_view() const {
    std::map<std::string, jobs::upkeep_machine> view;
    std::set<std::string> quiet;
    for (const auto& [pool, demand] : m_demands) {
        for (const jobs::vm_load& vm : demand.vms) {
            if (vm.idle) {
                quiet.insert(vm.vm);
            }
        }
    }
    for (const auto& [name, info] : m_machines) {
        jobs::upkeep_machine item;
        item.machine = name;
        item.pool = info.pool;
        item.vm = info.incarnation;
        item.up =
            info.phase == platform::machine_phase::up && !m_moves.contains(name) && !m_recent.contains(name);
        const bool off = info.pool == spare_pool();
        item.idle = off || m_empty_vms.contains(info.incarnation);
        item.quiet = off || quiet.contains(info.incarnation);
        item.clearing = m_asked_empty.contains(info.incarnation);
        view[name] = std::move(item);
    }
    return view;
}

void fleet_task::plan_waves() {
    const std::map<std::string, jobs::upkeep_machine> view = upkeep_view();
    for (auto& [number, item] : m_waves) {
        if (item.completed || !item.loaded) {
            continue;
        }
        if (!item.told_running) {
            item.told_running = true;
            tell(number, false);
        }
        const jobs::wave_step step =
            jobs::plan_wave(item.state, view, m_parts.settings.upkeep_time, event_loop::now());
        for (const std::string& machine : step.clear) {
            const platform::machine_info& info = m_machines[machine];
            m_clear[info.pool].insert(info.incarnation);
        }
        for (const std::string& machine : step.order) {
            plan_upkeep(item, machine);
        }
        if (step.completed) {
            item.completed = true;
            log_event(event_id::wave_completed, {{"wave", number}, {"machines", item.state.machines.size()}});
            tell(number, true);
        }
    }
}

void fleet_task::load(std::int64_t number) {
    wave& item = m_waves[number];
    if (item.reading) {
        return;
    }
    item.reading = true;
    m_parts.store.get(wave_record_key(number),
                      [this, number, alive = m_lifetime.watch()](const platform::store_answer& answer) {
                          if (!alive.expired()) {
                              loaded(number, answer);
                          }
                      });
}

void fleet_task::loaded(std::int64_t number, const platform::store_answer& answer) {
    wave& item = m_waves[number];
    item.reading = false;
    if (answer.status == platform::store_status::absent) {
        item.loaded = true;
    } else if (answer.status == platform::store_status::ok && !answer.items.empty()) {
        item.loaded = true;
        if (const auto confirmed = decode_archive<std::set<std::string>>(answer.items.front().value)) {
            item.state.confirmed = confirmed.value();
        }
    }
}

void fleet_task::plan_upkeep(wave& item, const std::string& machine) {
    const std::int64_t number = item.state.number;
    item.state.waiting[machine] = {m_machines[machine].incarnation, event_loop::now()};
    m_planned.push_back({machine, [this, number, machine] { order_upkeep(number, machine); },
                         [this, number, machine] { m_waves[number].state.waiting.erase(machine); }});
}

void fleet_task::order_upkeep(std::int64_t number, const std::string& machine) {
    m_parts.machines.upkeep(
        {m_parts.membership.self().id, m_held.token}, machine, number,
        [this, number, machine, alive = m_lifetime.watch()](platform::machine_outcome outcome) {
            if (!alive.expired()) {
                upkeep_ordered(number, machine, outcome);
            }
        });
}

void fleet_task::upkeep_ordered(std::int64_t number, const std::string& machine,
                                platform::machine_outcome outcome) {
    log_event(event_id::machine_ordered, {{"order", "upkeep"},
                                          {"wave", number},
                                          {"machine", machine},
                                          {"outcome", name_of(outcome)},
                                          {"token", m_held.token}});
    jobs::wave_state& state = m_waves[number].state;
    if (outcome == platform::machine_outcome::done) {
        if (const auto waiting = state.waiting.find(machine); waiting != state.waiting.end()) {
            waiting->second.confirmed = true;
        }
        state.confirmed.insert(machine);
        record_wave(state);
    } else if (outcome != platform::machine_outcome::unknown) {
        state.waiting.erase(machine); // Not carried out: it is still to do.
    }
}

/// A successor goes on where this owner stopped. If the record is lost it orders again what is done already,
/// which changes nothing but costs the clearing of a VM.
void fleet_task::record_wave(const jobs::wave_state& state) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_held.duty, m_held.token});
    change.writes.push_back({wave_record_key(state.number), encode_archive(state.confirmed), 0});
    m_parts.store.commit(change, [number = state.number](const platform::store_answer& answer) {
        if (answer.status != platform::store_status::ok) {
            log_event(event_id::machine_ordered,
                      {{"order", "record"}, {"wave", number}, {"outcome", "not-stored"}});
        }
    });
}

void fleet_task::tell(std::int64_t number, bool completed) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_held.duty, m_held.token});
    change.writes.push_back({platform::wave_status_key(number), platform::encode_wave_status(completed), 0});
    m_parts.store.commit(
        change, [this, number, completed, alive = m_lifetime.watch()](const platform::store_answer& answer) {
            if (alive.expired() || answer.status == platform::store_status::ok) {
                return;
            }
            if (completed) {
                m_waves[number].completed = false; // Told again with the next round.
            } else {
                m_waves[number].told_running = false;
            }
        });
}

// --- Moves ---

std::vector<jobs::balance_machine> fleet_task::balance_view() const {
    std::set<std::string> in_upkeep;
    for (const auto& [number, item] : m_waves) {
        for (const auto& [machine, pending] : item.state.waiting) {
            in_upkeep.insert(machine);
        }
    }
    std::vector<jobs::balance_machine> view;
    for (const auto& [name, info] : m_machines) {
        jobs::balance_machine item;
        item.machine = name;
        item.pool = info.pool;
        item.kind = info.kind;
        item.availability_zone = info.availability_zone;
        item.vm = info.incarnation;
        item.up = info.phase == platform::machine_phase::up;
        item.moving = info.phase == platform::machine_phase::moving;
        item.millicores = info.capacity.cpu_millicores;
        item.cleared = m_empty_vms.contains(info.incarnation);
        const auto cleared = m_clear.find(info.pool);
        item.reserved = in_upkeep.contains(name) || m_recent.contains(name) ||
                        (cleared != m_clear.end() && cleared->second.contains(info.incarnation));
        if (const auto move = m_moves.find(name); move != m_moves.end()) {
            item.pool = move->second.pool;
            item.moving = true;
            item.up = false;
            item.reserved = false;
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

void fleet_task::plan_moves() {
    const std::string spare = spare_pool();
    const jobs::balance_plan wanted =
        jobs::plan_balance(balance_view(), m_demands, spare, {}, m_memory, event_loop::now());
    m_lendable = wanted.lendable;
    refill_orders();
    for (const jobs::machine_move& move : wanted.moves) {
        const platform::machine_info& info = m_machines[move.machine];
        if (info.pool != spare && !m_empty_vms.contains(info.incarnation)) {
            m_clear[info.pool].insert(info.incarnation);
            m_again_at_once = true;
        } else if (m_orders_left >= 1) {
            m_orders_left -= 1;
            plan_move(move);
        }
    }
    for (const auto& [name, info] : m_machines) {
        if (wanted.clear.contains(info.incarnation)) {
            m_clear[info.pool].insert(info.incarnation);
        }
    }
}

void fleet_task::plan_move(const jobs::machine_move& move) {
    const platform::machine_info& info = m_machines[move.machine];
    m_moves[move.machine] = {move.pool, info.incarnation, event_loop::now()};
    m_clear[info.pool].insert(info.incarnation);
    m_planned.push_back(
        {move.machine, [this, move] { order_move(move); }, [this, move] { m_moves.erase(move.machine); }});
}

void fleet_task::order_move(const jobs::machine_move& move) {
    m_parts.machines.move({m_parts.membership.self().id, m_held.token}, move.machine, move.pool,
                          [this, move, kind = m_machines[move.machine].kind,
                           alive = m_lifetime.watch()](platform::machine_outcome outcome) {
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
        m_memory.refused.emplace(kind, move.pool);
    }
    if (outcome != platform::machine_outcome::done && outcome != platform::machine_outcome::unknown) {
        m_moves.erase(move.machine);
    }
}

} // namespace siskinpaddle::node
