#include "jobs/pool_record.hpp"

#include <algorithm>

namespace siskinpaddle::jobs {

namespace {

/// The newest settings of the queue, with the pool that has its jobs.
queue_settings settings_in_pool(const queue_settings& known, const fleet_configuration& configuration,
                                const std::string& pool) {
    const queue_settings* current = configuration.find_queue(known.name);
    queue_settings result = current == nullptr ? known : *current;
    result.pool = pool;
    return result;
}

} // namespace

const queue_settings* pool_record::find(std::string_view queue) const {
    const auto found = std::ranges::find(queues, queue, &queue_settings::name);
    return found == queues.end() ? nullptr : &*found;
}

pool_record revise_pool_record(const pool_record& stored, const fleet_configuration& configuration,
                               const std::string& pool, const std::set<std::string>& in_use) {
    pool_record result;
    for (const queue_settings& known : stored.queues) {
        const queue_settings* current = configuration.find_queue(known.name);
        const bool leads_here = current != nullptr && current->pool == pool;
        if (leads_here || in_use.contains(known.name)) {
            result.queues.push_back(settings_in_pool(known, configuration, pool));
        }
    }
    for (const std::string& name : in_use) {
        const queue_settings* current = configuration.find_queue(name);
        if (current != nullptr && stored.find(name) == nullptr) {
            result.queues.push_back(settings_in_pool(*current, configuration, pool));
        }
    }
    return result;
}

std::vector<queue_settings>
queues_of_pool(const pool_record& stored, const fleet_configuration& configuration, const std::string& pool) {
    std::vector<queue_settings> result;
    std::ranges::copy_if(configuration.queues, std::back_inserter(result),
                         [&](const queue_settings& item) { return item.pool == pool; });
    for (const queue_settings& known : stored.queues) {
        if (std::ranges::find(result, known.name, &queue_settings::name) == result.end()) {
            result.push_back(settings_in_pool(known, configuration, pool));
        }
    }
    return result;
}

} // namespace siskinpaddle::jobs
