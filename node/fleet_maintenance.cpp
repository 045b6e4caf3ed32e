#include "node/fleet_task.hpp"

#include "node/keys.hpp"
#include "telemetry/telemetry.hpp"

#include <algorithm>

namespace siskinpaddle::node {

std::map<std::string, jobs::wave_machine> fleet_task::maintenance_view() const {
    std::map<std::string, jobs::wave_machine> view;
    std::set<std::string> idle_vms;
    std::set<std::string> long_lived_vms;
    for (const auto& [pool, demand] : m_demands) {
        for (const jobs::vm_load& vm : demand.vms) {
            if (vm.is_idle) {
                idle_vms.insert(vm.vm);
            }
            if (vm.hosts_long_lived) {
                long_lived_vms.insert(vm.vm);
            }
        }
    }
    for (const auto& [name, info] : m_machines) {
        jobs::wave_machine item;
        item.machine = name;
        item.pool = info.pool;
        item.vm = info.incarnation;
        item.is_up = info.phase == platform::machine_phase::up && !m_moves.contains(name) &&
                     !m_recently_ordered.contains(name);
        item.in_maintenance =
            info.phase == platform::machine_phase::maintenance || m_recently_ordered.contains(name);
        const bool is_spare = info.pool == spare_pool();
        item.kept_empty = is_spare || m_empty_vms.contains(info.incarnation);
        item.is_idle = is_spare || idle_vms.contains(info.incarnation);
        item.hosts_long_lived = long_lived_vms.contains(info.incarnation);
        item.evacuating = m_vms_asked_to_evacuate.contains(info.incarnation);
        view[name] = std::move(item);
    }
    return view;
}

void fleet_task::plan_waves() {
    const std::map<std::string, jobs::wave_machine> view = maintenance_view();
    for (auto& [number, item] : m_waves) {
        if (item.completed || !item.loaded) {
            continue;
        }
        if (!item.running_reported) {
            item.running_reported = true;
            report_wave_status(number, false);
        }
        const jobs::wave_step step =
            jobs::plan_wave(item.state, view, m_context.settings.maintenance_time, event_loop::now());
        for (const std::string& machine : step.to_evacuate) {
            const platform::machine_info& info = m_machines[machine];
            m_vms_to_evacuate.add(info.pool, info.incarnation);
        }
        for (const std::string& machine : step.to_maintain) {
            plan_maintenance(item, machine);
        }
        if (step.completed) {
            item.completed = true;
            log_event(event_id::wave_completed, {{"wave", number}, {"machines", item.state.machines.size()}});
            report_wave_status(number, true);
        }
    }
}

void fleet_task::load_wave(std::int64_t number) {
    wave& item = m_waves[number];
    if (item.reading) {
        return;
    }
    item.reading = true;
    m_context.store.get(wave_record_key(number), [this, number, alive = m_lifetime.weak_token()](
                                                     const platform::store_answer& answer) {
        if (!alive.expired()) {
            on_wave_loaded(number, answer);
        }
    });
}

void fleet_task::on_wave_loaded(std::int64_t number, const platform::store_answer& answer) {
    wave& item = m_waves[number];
    item.reading = false;
    if (answer.status == platform::store_status::absent) {
        item.loaded = true; // No owner has begun the wave.
        const auto wanted = m_context.configuration.waves().find(number);
        if (wanted != m_context.configuration.waves().end()) {
            item.state.due_at = event_loop::now() + wanted->second.duration;
        }
    } else if (answer.status == platform::store_status::ok && !answer.items.empty()) {
        item.loaded = true;
        if (const auto confirmed = decode_archive<std::set<std::string>>(answer.items.front().value)) {
            item.state.confirmed = confirmed.value();
        }
    }
}

void fleet_task::plan_maintenance(wave& item, const std::string& machine) {
    const std::int64_t number = item.state.number;
    item.state.pending[machine] = {m_machines[machine].incarnation, event_loop::now()};
    m_planned.push_back({machine, [this, number, machine] { order_maintenance(number, machine); },
                         [this, number, machine] { m_waves[number].state.pending.erase(machine); }});
}

void fleet_task::order_maintenance(std::int64_t number, const std::string& machine) {
    m_context.machines.start_maintenance(
        {m_context.membership.self().id, m_ownership.token}, machine, number,
        [this, number, machine, alive = m_lifetime.weak_token()](platform::machine_outcome outcome) {
            if (!alive.expired()) {
                on_maintenance_ordered(number, machine, outcome);
            }
        });
}

void fleet_task::on_maintenance_ordered(std::int64_t number, const std::string& machine,
                                        platform::machine_outcome outcome) {
    log_event(event_id::machine_ordered, {{"order", "upkeep"},
                                          {"wave", number},
                                          {"machine", machine},
                                          {"outcome", name_of(outcome)},
                                          {"token", m_ownership.token}});
    jobs::wave_state& state = m_waves[number].state;
    if (outcome == platform::machine_outcome::done) {
        if (const auto waiting = state.pending.find(machine); waiting != state.pending.end()) {
            waiting->second.confirmed = true;
        }
        state.confirmed.insert(machine);
        record_wave(state);
    } else if (outcome != platform::machine_outcome::unknown) {
        state.pending.erase(machine); // Not executed: the machine is still due for maintenance.
    }
}

/// Stores the confirmed machines, so that a successor continues the wave where this owner stopped. If the
/// record is lost, the successor repeats orders for completed machines, which has no effect except that their
/// VMs are emptied again.
void fleet_task::record_wave(const jobs::wave_state& state) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_ownership.duty, m_ownership.token});
    change.writes.push_back({wave_record_key(state.number), encode_archive(state.confirmed), 0});
    m_context.store.commit(change, [number = state.number](const platform::store_answer& answer) {
        if (answer.status != platform::store_status::ok) {
            log_event(event_id::machine_ordered,
                      {{"order", "record"}, {"wave", number}, {"outcome", "not-stored"}});
        }
    });
}

void fleet_task::report_wave_status(std::int64_t number, bool completed) {
    platform::store_transaction change;
    change.conditions.push_back({owner_prefix + m_ownership.duty, m_ownership.token});
    change.writes.push_back({platform::wave_status_key(number), platform::encode_wave_status(completed), 0});
    m_context.store.commit(change, [this, number, completed,
                                    alive = m_lifetime.weak_token()](const platform::store_answer& answer) {
        if (alive.expired() || answer.status == platform::store_status::ok) {
            return;
        }
        if (completed) {
            m_waves[number].completed = false; // Reported again in the next round.
        } else {
            m_waves[number].running_reported = false;
        }
    });
}

} // namespace siskinpaddle::node
