#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace siskinpaddle::soak {

/// When each configuration version was published: the store acknowledged it then.
using publication_times = std::map<std::int64_t, timestamp>;

/// A node's answer about the configuration that it has in force.
struct configuration_report {
    /// Version whose queue, which no other version has, was queried; 0: the node's metrics were read.
    std::int64_t queried_version = 0;
    bool is_present = false; ///< The queue exists.
    bool is_missing = false; ///< The queue doesn't exist.
    /// Version in force according to the metrics; nothing if a queue was queried.
    std::optional<std::int64_t> reported_version = std::nullopt;
    timestamp sent{0};
    timestamp answered{0};
    bool was_in_touch = false; ///< The node could follow the store, when the query was sent and long before.
};

/// Returns why the answer shows that a version came into force too late; nothing if it doesn't. A node in
/// touch must have a version in force within `configuration_time` of its publication. A node that is not may
/// be behind, but must not refuse a queue that was published before that. Pure; thread-safe.
[[nodiscard]] std::optional<std::string> check_time_to_effect(const configuration_report& report,
                                                              const publication_times& published,
                                                              milliseconds configuration_time);

} // namespace siskinpaddle::soak
