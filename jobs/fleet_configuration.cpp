#include "jobs/fleet_configuration.hpp"

#include <set>

namespace siskinpaddle::jobs {

const queue_settings* fleet_configuration::match_queue(std::string_view host, std::string_view path) const {
    const queue_settings* best = nullptr;
    for (const queue_settings& item : queues) {
        const bool fits = item.host == host && path.starts_with(item.prefix);
        if (fits && (best == nullptr || item.prefix.size() > best->prefix.size())) {
            best = &item;
        }
    }
    return best;
}

const queue_settings* fleet_configuration::find_queue(std::string_view name) const {
    for (const queue_settings& item : queues) {
        if (item.name == name) {
            return &item;
        }
    }
    return nullptr;
}

const pool_settings* fleet_configuration::find_pool(std::string_view name) const {
    for (const pool_settings& item : pools) {
        if (item.name == name) {
            return &item;
        }
    }
    return nullptr;
}

std::vector<std::string> fleet_configuration::pools_with_queues() const {
    std::set<std::string> names;
    for (const queue_settings& item : queues) {
        names.insert(item.pool);
    }
    return {names.begin(), names.end()};
}

} // namespace siskinpaddle::jobs
