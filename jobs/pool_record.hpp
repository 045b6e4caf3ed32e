#pragma once

#include "jobs/fleet_configuration.hpp"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace siskinpaddle::jobs {

/// The queues whose jobs a pool may have, with the settings that apply to these jobs. Stored from the first
/// job on, so that a pool with jobs has an owner, its jobs have limits, and their queues' counts are
/// complete, whatever later versions of the configuration name.
struct pool_record {
    std::vector<queue_settings> queues; ///< Their `pool` is the pool of the record.

    [[nodiscard]] const queue_settings* find(std::string_view queue) const;
    bool operator==(const pool_record&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(queues);
    }
};

/// Returns the record that should replace `stored`. The newest version that names a queue sets its settings;
/// the last known ones apply if none does any more. A queue that leads elsewhere, or nowhere, is left out
/// once it is not among `in_use`; queues in use that no version has named are unknown. Pure; thread-safe.
[[nodiscard]] pool_record revise_pool_record(const pool_record& stored,
                                             const fleet_configuration& configuration,
                                             const std::string& pool, const std::set<std::string>& in_use);

/// Settings for the jobs of the pool: those of the revised record, and of the queues that lead to the pool.
/// Pure; thread-safe.
[[nodiscard]] std::vector<queue_settings>
queues_of_pool(const pool_record& stored, const fleet_configuration& configuration, const std::string& pool);

} // namespace siskinpaddle::jobs
