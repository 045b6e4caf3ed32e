#pragma once

#include "platform/platform.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::node {

/// A record to write; empty if none has to be.
using pool_record_update = std::optional<jobs::pool_record>;

/// This node's copy of the stored pool records. Not thread-safe.
class pool_records {
  public:
    struct stored_record {
        jobs::pool_record record;
        std::int64_t revision = 0; ///< 0: there is no record.
    };

    /// `on_change` is called with the pool after each change of the copy.
    explicit pool_records(std::function<void(const std::string&)> on_change)
        : m_on_change(std::move(on_change)) {}

    /// Takes a state of a record's item from the store. States that are older than a known one are ignored.
    void apply(const platform::store_item& item);
    /// Takes what this node has written under the revision; empty: the record was removed.
    void set(const std::string& pool, const pool_record_update& record, std::int64_t revision);
    /// Takes the record of the pool from the answer to a refused transaction that was conditional on it.
    void renew(const std::string& pool, const platform::store_answer& answer);

    [[nodiscard]] const stored_record& find(const std::string& pool) const;
    /// The record to write together with the acceptance of jobs of these queues; empty if the pool's record
    /// names them already. Queues that the configuration doesn't name can't be added.
    [[nodiscard]] pool_record_update update_for(const std::string& pool, const std::set<std::string>& queues,
                                                const jobs::fleet_configuration& configuration) const;
    /// Pools that need an owner: those to which a queue leads, and those that may have jobs.
    [[nodiscard]] std::vector<std::string> pools_to_own(const jobs::fleet_configuration& configuration) const;
    /// Pools other than `pool` that may have jobs of the queue.
    [[nodiscard]] std::vector<std::string> other_pools_of(const std::string& queue,
                                                          const std::string& pool) const;

  private:
    std::function<void(const std::string&)> m_on_change;
    std::map<std::string, stored_record> m_records;
    std::map<std::string, std::int64_t> m_newest_revisions; ///< By pool; also of removals.
};

} // namespace siskinpaddle::node
