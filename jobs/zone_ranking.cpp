#include "jobs/zone_ranking.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

namespace {

bool are_used_enough(const std::vector<zone_capacity>& zones) {
    std::size_t vms_in_use = 0;
    for (const zone_capacity& item : zones) {
        vms_in_use += item.vms_in_use;
    }
    return vms_in_use >= min_used_vms_per_zone * zones.size();
}

} // namespace

std::size_t zone_ranking::position_of(const std::string& zone) const {
    return static_cast<std::size_t>(std::ranges::find(m_zones, zone) - m_zones.begin());
}

zone_ranking rank_zones(std::vector<zone_capacity> zones, std::uint32_t tasks) {
    if (!are_used_enough(zones)) {
        return {};
    }
    const auto cost_of = [tasks](const zone_capacity& item) {
        const bool fits = item.fitting_tasks >= tasks;
        const std::int64_t missing = fits ? 0 : tasks - item.fitting_tasks;
        const std::int64_t running = item.fitting_tasks == 0 ? 0 : item.running_tasks;
        return std::tuple(!item.holds_data, -running, missing, item.fitting_beside < tasks,
                          item.short_run_millicores);
    };
    std::ranges::stable_sort(zones, {}, cost_of);
    std::vector<std::string> names;
    names.reserve(zones.size());
    for (zone_capacity& item : zones) {
        names.push_back(std::move(item.zone));
    }
    return zone_ranking(std::move(names));
}

} // namespace siskinpaddle::jobs
