#include "policy/budget.hpp"

namespace siskinpaddle {

std::set<std::string> find_silent_zones(const fleet_record& fleet, const observations& observed,
                                        timestamp now) {
    std::set<std::string> silent;
    std::set<std::string> responsive;
    for (const entry_record& entry : fleet.entries) {
        silent.insert(entry.availability_zone);
        const auto report = observed.entries.find(entry.id);
        if (report != observed.entries.end() && now - report->second.received_at <= zone_silence_timeout) {
            responsive.insert(entry.availability_zone);
        }
    }
    for (const std::string& zone : responsive) {
        silent.erase(zone);
    }
    return silent;
}

availability_map measure_availability(const configuration& config, const fleet_record& fleet,
                                      const observations& observed, timestamp now) {
    availability_map pools;
    for (const auto& [name, settings] : config.pools) {
        pools[name].promised = settings.promised;
        pools[name].size = settings.size;
    }
    std::set<std::string> suspected;
    for (const auto& [id, report] : observed.entries) {
        suspected.insert(report.suspect_vms.begin(), report.suspect_vms.end());
    }
    const std::set<std::string> silent = find_silent_zones(fleet, observed, now);
    // Both sequences are sorted by id, so a single pass matches them.
    auto listed = observed.listed_vms.begin();
    for (const vm_record& vm : fleet.vms) {
        while (listed != observed.listed_vms.end() && listed->first < vm.id) {
            ++listed;
        }
        const auto pool = pools.find(vm.pool);
        if (pool == pools.end()) {
            continue;
        }
        if (vm.state == vm_state::lost) {
            ++pool->second.lost;
            continue;
        }
        ++pool->second.held;
        if (vm.state != vm_state::serving) {
            ++pool->second.planned_out;
            continue;
        }
        const bool is_live = listed != observed.listed_vms.end() && listed->first == vm.id &&
                             listed->second.state == listing_state::live;
        if (is_live && !suspected.contains(vm.id) && !silent.contains(vm.availability_zone)) {
            ++pool->second.available;
        }
    }
    return pools;
}

bool can_take_out_of_service(const pool_availability& pool, std::int64_t count, std::int64_t reserve) {
    return pool.available - count >= pool.promised + reserve;
}

} // namespace siskinpaddle
