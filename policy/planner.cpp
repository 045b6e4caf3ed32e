#include "policy/planner_pass.hpp"

namespace siskinpaddle {

planner_options options_for(const weight_settings& weights) {
    planner_options options;
    // A move is paid when a VM that would have come back by itself is replaced. Most restarts are over within
    // minutes, so ten are always waited for while the promise holds; the dearer moves are beside idle VMs,
    // the longer.
    const std::int64_t ratio = weights.moves / std::max<std::int64_t>(1, weights.buffer);
    options.restart_patience =
        std::clamp<milliseconds>(ratio * 10min, weights.moves == 0 ? 0min : 10min, 60min);
    return options;
}

fleet_plan planner::step(const configuration& config, const fleet_record& fleet, const observations& seen,
                         timestamp now) {
    return pass(*this, config, fleet, seen, now).run();
}

planner::pass::pass(planner& owner, const configuration& config, const fleet_record& fleet,
                    const observations& seen, timestamp now)
    : m_owner(owner), m_config(config), m_fleet(fleet), m_seen(seen), m_now(now),
      m_next_revision(fleet.revision + 1) {
    m_plan.next = fleet;
    m_list_is_fresh = seen.list_known && now - seen.list_read <= list_age_bound;
}

fleet_plan planner::pass::run() {
    remember_states();
    drop_gone_entries();
    pair_with_list();
    if (m_list_is_fresh) {
        read_list();
        note_suspicions();
    }
    m_plan.pools = measure_availability(m_config, m_plan.next, m_seen, m_now);
    for (vm_record& vm : m_plan.next.vms) {
        advance(vm);
    }
    m_plan.pools = measure_availability(m_config, m_plan.next, m_seen, m_now);
    if (planned_steps_allowed()) {
        fill_pools();
        shed_surplus();
        run_waves();
    }
    forget_lost();
    m_plan.changed = m_plan.next != m_fleet;
    m_plan.next.revision = m_plan.changed ? m_next_revision : m_fleet.revision;
    return std::move(m_plan);
}

/// A machine that was lost and given up, and that the platform lists no more, is no part of the fleet.
void planner::pass::forget_lost() {
    std::set<std::string> gone;
    for (const vm_record& vm : m_plan.next.vms) {
        if (vm.state == vm_state::lost && vm.pool.empty() && listed(vm) == nullptr &&
            in_state_for(vm, 10min)) {
            gone.insert(vm.id);
        }
    }
    if (!gone.empty()) {
        std::erase_if(m_plan.next.vms, [&gone](const vm_record& vm) { return gone.contains(vm.id); });
    }
}

void planner::pass::remember_states() {
    for (const vm_record& vm : m_fleet.vms) {
        known_state& known = m_owner.m_states[vm.id];
        if (known.revision != vm.since || known.since == timestamp{0}) {
            known = {vm.since, m_now};
        }
    }
}

void planner::pass::drop_gone_entries() {
    for (const entry_record& entry : m_fleet.entries) {
        const std::string incarnation = entry.id + "@" + std::to_string(entry.incarnation);
        const bool by_operator = m_config.removed_entries.contains(incarnation);
        if (by_operator || entry_proven_gone(entry, m_seen, m_now)) {
            m_plan.next.remove_entry(entry.id);
            m_plan.decisions.push_back(
                {"", "entry " + incarnation + " removed: " +
                         (by_operator ? "by the operator's word" : "its port refuses connections")});
        }
    }
}

void planner::pass::read_list() {
    for (const auto& [id, item] : m_seen.listed) {
        if (m_plan.next.find_vm(id) != nullptr || item.state != listing::live) {
            continue;
        }
        vm_record vm;
        vm.id = id;
        vm.availability_zone = item.availability_zone;
        vm.rack = item.rack;
        vm.address = item.address;
        vm.port = item.port;
        vm.agent_port = item.agent_port;
        vm.cores = item.cores;
        vm.memory_mb = item.memory_mb;
        vm.accelerators = item.accelerators;
        vm.boot = item.boot;
        vm.wave = newest_wave("*");
        vm.since = m_next_revision;
        m_plan.decisions.push_back({id, "discovered in " + item.availability_zone});
        m_plan.next.put_vm(std::move(vm));
    }
    pair_with_list();
    for (vm_record& vm : m_plan.next.vms) {
        if (const listed_vm* item = listed(vm)) {
            if (!m_owner.m_unlisted_since.empty()) {
                m_owner.m_unlisted_since.erase(vm.id);
            }
            note_listed(vm, *item);
        } else {
            note_missing(vm);
        }
    }
}

void planner::pass::note_missing(vm_record& vm) {
    const auto since = m_owner.m_unlisted_since.try_emplace(vm.id, m_now).first->second;
    const bool expected = vm.state == vm_state::in_maintenance || vm.state == vm_state::lost;
    if (!expected && m_now - since >= m_owner.m_options.lost_after) {
        lose(vm, "no longer listed");
    }
}

void planner::pass::note_listed(vm_record& vm, const listed_vm& item) {
    const bool rebooted = item.boot > vm.boot;
    if (vm.state == vm_state::serving && item.state == listing::leaving) {
        vm.reason = stop_reason::retire;
        enter(vm, vm_state::cordoned, "the platform is taking it away");
        return;
    }
    if (!rebooted || vm.state == vm_state::in_maintenance || vm.state == vm_state::lost) {
        return;
    }
    if (vm.state == vm_state::serving || vm.state == vm_state::returning) {
        vm.boot = item.boot;
        ++vm.epoch;
        enter(vm, vm_state::returning, "restarted by itself");
        return;
    }
    vm.boot = item.boot;
}

void planner::pass::note_suspicions() {
    std::map<std::string, std::vector<vm_record*>> suspects;
    std::map<std::string, std::int64_t> serving;
    for (vm_record& vm : m_plan.next.vms) {
        if (vm.state != vm_state::serving) {
            continue;
        }
        ++serving[vm.availability_zone];
        if (suspected_by_own_zone(vm)) {
            suspects[vm.availability_zone].push_back(&vm);
        }
    }
    for (const auto& [zone, vms] : suspects) {
        // When most of a zone fails at once its network or its entries are the likelier fault, and declaring
        // its VMs lost would throw away the capacity that is left.
        const std::int64_t believable = std::max<std::int64_t>(1, serving[zone] / 2);
        if (static_cast<std::int64_t>(vms.size()) > believable) {
            wait("zone " + zone, "most of its VMs are suspected; not believed");
            continue;
        }
        for (vm_record* vm : vms) {
            lose(*vm, "its own zone's entries can't reach it");
        }
    }
}

bool planner::pass::suspected_by_own_zone(const vm_record& vm) const {
    bool suspected = false;
    for (const entry_record& entry : m_fleet.entries) {
        const auto report = m_seen.entries.find(entry.id);
        if (entry.availability_zone != vm.availability_zone || report == m_seen.entries.end() ||
            m_now - report->second.heard > zone_silence_bound) {
            continue;
        }
        if (!report->second.suspect_vms.contains(vm.id)) {
            return false;
        }
        suspected = true;
    }
    return suspected;
}

void planner::pass::enter(vm_record& vm, vm_state state, const std::string& why) {
    m_plan.decisions.push_back({vm.id, std::string(name_of(vm.state)) + " -> " + std::string(name_of(state)) +
                                           " pool=" + (vm.pool.empty() ? "-" : vm.pool) + ": " + why});
    vm.state = state;
    vm.since = m_next_revision;
    m_counts_stale = true;
}

void planner::pass::lose(vm_record& vm, const std::string& why) {
    ++vm.epoch;
    vm.reason = stop_reason::failure;
    vm.goal_wave = 0;
    vm.next_pool.clear();
    enter(vm, vm_state::lost, why);
}

void planner::pass::begin_maintenance(vm_record& vm, const std::string& pool, const std::string& why) {
    if (vm.pool != pool) {
        ++vm.epoch;
    }
    vm.pool = pool;
    vm.next_pool.clear();
    vm.goal_wave = std::max(vm.goal_wave, newest_wave(pool));
    if (const listed_vm* item = listed(vm)) {
        vm.boot = item->boot;
    }
    enter(vm, vm_state::in_maintenance, why);
}

void planner::pass::wait(std::string subject, std::string reason) {
    m_plan.waits.push_back({std::move(subject), std::move(reason)});
}

const listed_vm* planner::pass::listed(const vm_record& vm) const {
    return m_listed[static_cast<std::size_t>(&vm - m_plan.next.vms.data())];
}

void planner::pass::pair_with_list() {
    m_listed.assign(m_plan.next.vms.size(), nullptr);
    auto item = m_seen.listed.begin();
    for (std::size_t i = 0; i < m_listed.size(); ++i) {
        while (item != m_seen.listed.end() && item->first < m_plan.next.vms[i].id) {
            ++item;
        }
        if (item != m_seen.listed.end() && item->first == m_plan.next.vms[i].id) {
            m_listed[i] = &item->second;
        }
    }
}

bool planner::pass::in_state_for(const vm_record& vm, milliseconds bound) const {
    const auto known = m_owner.m_states.find(vm.id);
    return known != m_owner.m_states.end() && known->second.revision == vm.since &&
           m_now - known->second.since >= bound;
}

int planner::pass::tasks_on(const vm_record& vm) const {
    const auto found = m_seen.tasks.find(vm.id);
    return found == m_seen.tasks.end() ? 0 : found->second;
}

std::uint64_t planner::pass::newest_wave(const std::string& pool) const {
    std::uint64_t newest = 0;
    for (const auto& [name, wave] : m_config.waves) {
        if (wave.pool == "*" || wave.pool == pool || pool == "*") {
            newest = std::max(newest, static_cast<std::uint64_t>(wave.order));
        }
    }
    return newest;
}

} // namespace siskinpaddle
