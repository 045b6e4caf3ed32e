#include "node/pool_records.hpp"

#include "node/keys.hpp"

#include <algorithm>

namespace siskinpaddle::node {

void pool_records::apply(const platform::store_item& item) {
    const std::string pool = item.key.substr(pool_record_prefix.size());
    if (item.deleted) {
        set(pool, std::nullopt, item.revision);
        return;
    }
    // Even if its queues can't be read, the pool may have jobs and needs an owner.
    const auto record = decode_archive<jobs::pool_record>(item.value);
    set(pool, record ? record.value() : jobs::pool_record{}, item.revision);
}

void pool_records::set(const std::string& pool, const pool_record_update& record, std::int64_t revision) {
    std::int64_t& newest = m_newest_revisions[pool];
    if (revision <= newest) {
        return;
    }
    newest = revision;
    if (record) {
        m_records[pool] = {*record, revision};
    } else {
        m_records.erase(pool);
    }
    m_on_change(pool);
}

void pool_records::renew(const std::string& pool, const platform::store_answer& answer) {
    const auto found = std::ranges::find(answer.items, pool_record_key(pool), &platform::store_item::key);
    if (found != answer.items.end()) {
        apply(*found);
    } else if (m_records.erase(pool) > 0) {
        m_on_change(pool);
    }
}

const pool_records::stored_record& pool_records::find(const std::string& pool) const {
    static const stored_record none{};
    const auto known = m_records.find(pool);
    return known == m_records.end() ? none : known->second;
}

pool_record_update pool_records::update_for(const std::string& pool, const std::set<std::string>& queues,
                                            const jobs::fleet_configuration& configuration) const {
    const stored_record& stored = find(pool);
    std::set<std::string> names = queues;
    for (const jobs::queue_settings& known : stored.record.queues) {
        names.insert(known.name);
    }
    if (stored.revision != 0 && names.size() == stored.record.queues.size()) {
        return std::nullopt;
    }
    jobs::pool_record extended = jobs::revise_pool_record(stored.record, configuration, pool, names);
    const bool is_same = stored.revision != 0 && extended == stored.record;
    return is_same ? std::nullopt : pool_record_update(std::move(extended));
}

std::vector<std::string> pool_records::pools_to_own(const jobs::fleet_configuration& configuration) const {
    const std::vector<std::string> led_to = configuration.pools_with_queues();
    std::set<std::string> pools(led_to.begin(), led_to.end());
    for (const auto& [pool, stored] : m_records) {
        pools.insert(pool);
    }
    return {pools.begin(), pools.end()};
}

std::vector<std::string> pool_records::other_pools_of(const std::string& queue,
                                                      const std::string& pool) const {
    std::vector<std::string> result;
    for (const auto& [name, stored] : m_records) {
        if (name != pool && stored.record.find(queue) != nullptr) {
            result.push_back(name);
        }
    }
    return result;
}

} // namespace siskinpaddle::node
