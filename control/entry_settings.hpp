#pragma once

#include "net/net.hpp"
#include "policy/policy.hpp"
#include "telemetry/telemetry.hpp"

#include <string>
#include <vector>

namespace siskinpaddle {

/// Settings of one entry process, read once at start. docs/CONFIGURATION.md describes each key.
struct entry_settings {
    std::string id;
    std::string availability_zone;
    endpoint callers;
    endpoint operators;
    endpoint peers;
    endpoint platform;
    /// Peers to pull values from, besides the registered entries, when the store doesn't answer. At start no
    /// registered entry is known.
    std::vector<endpoint> seed_peers;
    std::string peer_key;
    std::int64_t max_requests = 2048;
    std::int64_t max_body_bytes = 1 << 20;
    std::int64_t max_connections = 4096;
    routing_policy routing = routing_policy::two_choices;
    bool admission_enabled = true;
    std::int64_t retry_percent = 10;
    milliseconds heartbeat_interval = 1s;
    milliseconds drain_timeout = 5min;
    event_level log_level = event_level::info;
};

/// Parses and validates settings. Adds every finding to `out` with its JSON pointer; the returned settings
/// are usable only when there is none.
[[nodiscard]] entry_settings parse_entry_settings(const boost::json::value& document, findings& out);

} // namespace siskinpaddle
