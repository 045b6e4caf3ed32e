#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

namespace {

/// While a wave is under way. A machine is down for about two seconds; looking twice a second keeps the
/// next one from waiting, and each look is paid for.
constexpr milliseconds busy_interval = 400ms;
constexpr milliseconds idle_interval = 500ms;

std::string wave_record_key(std::int64_t number) {
    return "sp/wave/" + std::to_string(number);
}

} // namespace

fleet_task::fleet_task(context parts, const ownership& held)
    : m_parts(std::move(parts)), m_held(held), m_machines_client(m_parts.loop, m_parts.settings.machines),
      m_timer(m_parts.loop.make_timer([this] { tick(); })),
      // An earlier holder's last order may be younger than this.
      m_quiet_until(event_loop::now() + (held.epoch == 0 ? 0ms : m_parts.settings.order_quiet)) {}

void fleet_task::start() {
    tick();
}

bool fleet_task::may_order() const {
    // Machines check no fencing tokens, so only a claim that certainly stands will do.
    const timestamp now = event_loop::now();
    return !m_stopped && now >= m_quiet_until && now < m_parts.membership.certain_until(m_held.duty);
}

void fleet_task::tick() {
    if (m_stopped) {
        return;
    }
    bool busy = false;
    for (const auto& [number, wanted] : m_parts.configuration.waves()) {
        wave& item = m_waves[number];
        item.state.number = number;
        item.state.machines = wanted.machines;
        item.state.at_once = wanted.at_once;
        if (item.record_revision < 0) {
            load(number);
        }
        busy = busy || !item.completed;
    }
    if (busy) {
        look();
    }
    m_timer->start(busy ? busy_interval : idle_interval);
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
        item.record_revision = 0;
    } else if (answer.status == platform::store_status::ok && !answer.items.empty()) {
        item.record_revision = answer.items.front().revision;
        if (const auto begun = decode_archive<std::set<std::string>>(answer.items.front().value)) {
            item.state.begun = begun.value();
        }
    }
}

void fleet_task::look() {
    if (m_looking || !may_order()) {
        return;
    }
    m_looking = true;
    m_machines_client.list([this, alive = m_lifetime.watch()](const platform::machine_list& list) {
        if (alive.expired()) {
            return;
        }
        m_looking = false;
        if (list.good) {
            take_machines(list);
            plan();
        } else {
            log_event(event_id::machines_unknown);
        }
    });
}

void fleet_task::take_machines(const platform::machine_list& list) {
    m_machines.clear();
    for (const platform::machine_info& info : list.machines) {
        jobs::upkeep_machine item;
        item.machine = info.machine;
        item.pool = info.pool;
        item.vm = info.incarnation;
        item.up = info.phase == platform::machine_phase::up;
        const jobs::pool_settings* pool = m_parts.configuration.current().pool(info.pool);
        item.idle = m_idle_vms.contains(info.incarnation) || (pool != nullptr && pool->spare);
        m_machines[info.machine] = std::move(item);
    }
}

void fleet_task::plan() {
    std::map<std::string, std::set<std::string>> to_clear;
    for (auto& [number, item] : m_waves) {
        if (item.completed || item.record_revision < 0 || item.writing) {
            continue;
        }
        if (!item.told_running) {
            item.told_running = true;
            tell(number, false);
        }
        const jobs::wave_step step = jobs::plan_wave(item.state, m_machines, m_parts.settings.upkeep_time, event_loop::now());
        for (const std::string& machine : step.clear) {
            const jobs::upkeep_machine& info = m_machines[machine];
            to_clear[info.pool].insert(info.vm);
        }
        for (const std::string& machine : step.order) {
            order(item, machine);
        }
        if (step.completed) {
            item.completed = true;
            log_event(event_id::wave_completed, {{"wave", number}, {"machines", item.state.machines.size()}});
            tell(number, true);
        }
    }
    clear(to_clear);
}

void fleet_task::clear(const std::map<std::string, std::set<std::string>>& by_pool) {
    std::set<std::string> pools = m_asked_pools;
    for (const auto& [pool, vms] : by_pool) {
        pools.insert(pool);
    }
    m_asked_pools.clear();
    for (const std::string& pool : pools) {
        const auto wanted = by_pool.find(pool);
        peer_request request;
        request.kind = static_cast<std::uint8_t>(peer_request_kind::clear_vms);
        request.pool = pool;
        request.configuration = m_parts.configuration.current().version;
        if (wanted != by_pool.end()) {
            request.vms.assign(wanted->second.begin(), wanted->second.end());
            m_asked_pools.insert(pool);
        }
        m_parts.ask_pool(request, [this, request, alive = m_lifetime.watch()](const peer_answer& answer) {
            if (alive.expired()) {
                return;
            }
            for (const std::string& vm : request.vms) {
                m_idle_vms.erase(vm);
            }
            if (outcome_of(answer) == peer_outcome::ok) {
                m_idle_vms.insert(answer.vms.begin(), answer.vms.end());
            }
        });
    }
}

/// The record says that an upkeep has begun before it is ordered: a successor then never counts it as still to
/// do, and never lets too many be down at once.
void fleet_task::order(wave& item, const std::string& machine) {
    item.state.begun.insert(machine);
    item.state.waiting[machine] = {m_machines[machine].vm, event_loop::now()};
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_held.duty, m_held.token});
    change.writes.push_back({wave_record_key(item.state.number), encode_archive(item.state.begun), 0});
    m_parts.store.commit(change, [this, number = item.state.number, machine,
                                  alive = m_lifetime.watch()](const platform::store_answer& answer) {
        if (alive.expired()) {
            return;
        }
        if (answer.status != platform::store_status::ok || !may_order()) {
            ordered(number, machine, platform::machine_outcome::refused);
            return;
        }
        m_machines_client.upkeep({m_parts.membership.self().id, m_held.token}, machine, number,
                                 [this, number, machine, alive](platform::machine_outcome outcome) {
                                     if (!alive.expired()) {
                                         ordered(number, machine, outcome);
                                     }
                                 });
    });
}

void fleet_task::ordered(std::int64_t number, const std::string& machine, platform::machine_outcome outcome) {
    log_event(event_id::machine_ordered, {{"wave", number},
                                          {"machine", machine},
                                          {"outcome", name_of(outcome)},
                                          {"token", m_held.token}});
    jobs::wave_state& state = m_waves[number].state;
    if (outcome == platform::machine_outcome::refused || outcome == platform::machine_outcome::busy) {
        state.begun.erase(machine); // Not carried out: it is still to do.
        state.waiting.erase(machine);
    }
}

void fleet_task::tell(std::int64_t number, bool completed) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_held.duty, m_held.token});
    change.writes.push_back({platform::wave_status_key(number), platform::encode_wave_status(completed), 0});
    m_parts.store.commit(change, [this, number, completed,
                                  alive = m_lifetime.watch()](const platform::store_answer& answer) {
        if (alive.expired() || answer.status == platform::store_status::ok) {
            return;
        }
        if (completed) {
            m_waves[number].completed = false; // Told again with the next look.
        } else {
            m_waves[number].told_running = false;
        }
    });
}

} // namespace siskinpaddle::node
