#include "policy/planner_pass.hpp"

namespace siskinpaddle {

planner_options planner_options_for(const weight_settings& weights) {
    planner_options options;
    // Replacing a lost VM that would have returned costs an unnecessary move. Most restarts finish within
    // minutes, so the replacement is delayed by ten minutes as long as the promised VMs are available, unless
    // moves have no weight. The delay grows with the weight of moves relative to the weight of idle VMs.
    const std::int64_t ratio = weights.moves / std::max<std::int64_t>(1, weights.buffer);
    options.replacement_delay =
        std::clamp<milliseconds>(ratio * 10min, weights.moves == 0 ? 0min : 10min, 60min);
    return options;
}

fleet_plan planner::step(const configuration& config, const fleet_record& fleet, const observations& observed,
                         timestamp now) {
    return pass(*this, config, fleet, observed, now).run();
}

planner::pass::pass(planner& parent, const configuration& config, const fleet_record& fleet,
                    const observations& observed, timestamp now)
    : m_parent(parent), m_config(config), m_fleet(fleet), m_observations(observed), m_now(now),
      m_next_revision(fleet.revision + 1) {
    m_plan.next = fleet;
    m_is_list_fresh = observed.is_list_known && now - observed.list_read_at <= max_list_age;
}

fleet_plan planner::pass::run() {
    record_states();
    remove_gone_entries();
    match_with_list();
    if (m_is_list_fresh) {
        apply_vm_list();
        handle_suspected_vms();
    }
    m_plan.pools = measure_availability(m_config, m_plan.next, m_observations, m_now);
    for (vm_record& vm : m_plan.next.vms) {
        advance(vm);
    }
    m_plan.pools = measure_availability(m_config, m_plan.next, m_observations, m_now);
    if (are_planned_steps_allowed()) {
        fill_pools();
        release_surplus();
        run_waves();
    }
    remove_lost_vms();
    m_plan.changed = m_plan.next != m_fleet;
    m_plan.next.revision = m_plan.changed ? m_next_revision : m_fleet.revision;
    return std::move(m_plan);
}

/// Removes the VMs that have been lost, belong to no pool and are no longer listed by the platform.
void planner::pass::remove_lost_vms() {
    std::set<std::string> gone;
    for (const vm_record& vm : m_plan.next.vms) {
        if (vm.state == vm_state::lost && vm.pool.empty() && find_listed_vm(vm) == nullptr &&
            is_in_state_for(vm, 10min)) {
            gone.insert(vm.id);
        }
    }
    if (!gone.empty()) {
        std::erase_if(m_plan.next.vms, [&gone](const vm_record& vm) { return gone.contains(vm.id); });
    }
}

void planner::pass::record_states() {
    for (const vm_record& vm : m_fleet.vms) {
        known_state& known = m_parent.m_states[vm.id];
        if (known.revision != vm.state_revision || known.first_seen == timestamp{0}) {
            known = {vm.state_revision, m_now};
        }
    }
}

void planner::pass::remove_gone_entries() {
    for (const entry_record& entry : m_fleet.entries) {
        const std::string incarnation = entry.id + "@" + std::to_string(entry.incarnation);
        const bool is_removed_by_operator = m_config.removed_entries.contains(incarnation);
        if (is_removed_by_operator || is_entry_confirmed_gone(entry, m_observations, m_now)) {
            m_plan.next.remove_entry(entry.id);
            m_plan.decisions.push_back({"", "entry " + incarnation + " removed: " +
                                                (is_removed_by_operator ? "declared gone by an operator"
                                                                        : "its port refuses connections")});
        }
    }
}

void planner::pass::apply_vm_list() {
    for (const auto& [id, item] : m_observations.listed_vms) {
        if (m_plan.next.find_vm(id) != nullptr || item.state != listing_state::live) {
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
        vm.boot_count = item.boot_count;
        vm.completed_wave = newest_wave("*");
        vm.state_revision = m_next_revision;
        m_plan.decisions.push_back({id, "discovered in " + item.availability_zone});
        m_plan.next.put_vm(std::move(vm));
    }
    match_with_list();
    for (vm_record& vm : m_plan.next.vms) {
        if (const listed_vm* item = find_listed_vm(vm)) {
            if (!m_parent.m_unlisted_since.empty()) {
                m_parent.m_unlisted_since.erase(vm.id);
            }
            handle_listed_vm(vm, *item);
        } else {
            handle_unlisted_vm(vm);
        }
    }
}

void planner::pass::handle_unlisted_vm(vm_record& vm) {
    const auto since = m_parent.m_unlisted_since.try_emplace(vm.id, m_now).first->second;
    const bool is_expected = vm.state == vm_state::in_maintenance || vm.state == vm_state::lost;
    if (!is_expected && m_now - since >= m_parent.m_options.unlisted_timeout) {
        mark_lost(vm, "no longer listed");
    }
}

void planner::pass::handle_listed_vm(vm_record& vm, const listed_vm& item) {
    const bool has_rebooted = item.boot_count > vm.boot_count;
    if (vm.state == vm_state::serving && item.state == listing_state::leaving) {
        vm.reason = stop_reason::retire;
        set_state(vm, vm_state::cordoned, "the platform is withdrawing it");
        return;
    }
    if (!has_rebooted || vm.state == vm_state::in_maintenance || vm.state == vm_state::lost) {
        return;
    }
    if (vm.state == vm_state::serving || vm.state == vm_state::returning) {
        vm.boot_count = item.boot_count;
        ++vm.epoch;
        set_state(vm, vm_state::returning, "restarted without an order");
        return;
    }
    vm.boot_count = item.boot_count;
}

void planner::pass::handle_suspected_vms() {
    std::map<std::string, std::vector<vm_record*>> suspects;
    std::map<std::string, std::int64_t> serving;
    for (vm_record& vm : m_plan.next.vms) {
        if (vm.state != vm_state::serving) {
            continue;
        }
        ++serving[vm.availability_zone];
        if (is_suspected_by_own_zone(vm)) {
            suspects[vm.availability_zone].push_back(&vm);
        }
    }
    for (const auto& [zone, vms] : suspects) {
        // When most VMs of a zone fail at the same time, a fault of its network or its entries is more
        // likely, and marking its VMs as lost would remove capacity that still works.
        const std::int64_t max_suspects = std::max<std::int64_t>(1, serving[zone] / 2);
        if (static_cast<std::int64_t>(vms.size()) > max_suspects) {
            record_wait("zone " + zone, "most of its VMs are suspected; not believed");
            continue;
        }
        for (vm_record* vm : vms) {
            mark_lost(*vm, "its own zone's entries can't reach it");
        }
    }
}

bool planner::pass::is_suspected_by_own_zone(const vm_record& vm) const {
    bool is_suspected = false;
    for (const entry_record& entry : m_fleet.entries) {
        const auto report = m_observations.entries.find(entry.id);
        if (entry.availability_zone != vm.availability_zone || report == m_observations.entries.end() ||
            m_now - report->second.received_at > zone_silence_timeout) {
            continue;
        }
        if (!report->second.suspect_vms.contains(vm.id)) {
            return false;
        }
        is_suspected = true;
    }
    return is_suspected;
}

void planner::pass::set_state(vm_record& vm, vm_state state, const std::string& why) {
    m_plan.decisions.push_back({vm.id, std::string(name_of(vm.state)) + " -> " + std::string(name_of(state)) +
                                           " pool=" + (vm.pool.empty() ? "-" : vm.pool) + ": " + why});
    vm.state = state;
    vm.state_revision = m_next_revision;
    m_are_counts_stale = true;
}

void planner::pass::mark_lost(vm_record& vm, const std::string& why) {
    ++vm.epoch;
    vm.reason = stop_reason::failure;
    vm.active_wave = 0;
    vm.next_pool.clear();
    set_state(vm, vm_state::lost, why);
}

void planner::pass::begin_maintenance(vm_record& vm, const std::string& pool, const std::string& why) {
    if (vm.pool != pool) {
        ++vm.epoch;
    }
    vm.pool = pool;
    vm.next_pool.clear();
    vm.active_wave = std::max(vm.active_wave, newest_wave(pool));
    if (const listed_vm* item = find_listed_vm(vm)) {
        vm.boot_count = item->boot_count;
    }
    set_state(vm, vm_state::in_maintenance, why);
}

void planner::pass::record_wait(std::string subject, std::string reason) {
    m_plan.waits.push_back({std::move(subject), std::move(reason)});
}

const listed_vm* planner::pass::find_listed_vm(const vm_record& vm) const {
    return m_listed[static_cast<std::size_t>(&vm - m_plan.next.vms.data())];
}

void planner::pass::match_with_list() {
    m_listed.assign(m_plan.next.vms.size(), nullptr);
    auto item = m_observations.listed_vms.begin();
    for (std::size_t i = 0; i < m_listed.size(); ++i) {
        while (item != m_observations.listed_vms.end() && item->first < m_plan.next.vms[i].id) {
            ++item;
        }
        if (item != m_observations.listed_vms.end() && item->first == m_plan.next.vms[i].id) {
            m_listed[i] = &item->second;
        }
    }
}

bool planner::pass::is_in_state_for(const vm_record& vm, milliseconds duration) const {
    const auto known = m_parent.m_states.find(vm.id);
    return known != m_parent.m_states.end() && known->second.revision == vm.state_revision &&
           m_now - known->second.first_seen >= duration;
}

int planner::pass::count_tasks_on(const vm_record& vm) const {
    const auto found = m_observations.tasks.find(vm.id);
    return found == m_observations.tasks.end() ? 0 : found->second;
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
