#pragma once

#include "core/core.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace siskinpaddle {

/// A tenant of the fleet. Members compete with each other; none may change what another one owns.
struct member_settings {
    std::string credential_sha256; ///< SHA-256 of the operators' credential, lower-case hexadecimal.
    bool admin = false;            ///< May change every setting, including fleet-wide ones.
};

/// A group within a member whose jobs share a quota.
struct team_settings {
    std::string member;
    std::int64_t cpu_millicores = 0; ///< Maximum processor time that its running jobs may declare in total.
    std::int64_t accelerators = 0;
};

/// A set of VMs that belongs to one member.
struct pool_settings {
    std::string member;
    std::int64_t promised = 0;     ///< Availability budget: VMs that must stay available at all times.
    std::int64_t size = 0;         ///< VMs that the pool holds when none is out of service.
    std::int64_t slots = 8;        ///< Requests that one instance runs concurrently.
    std::int64_t connections = 64; ///< Connections that one instance accepts, from all entries in total.
    std::int64_t max_queue = 128;  ///< Requests that one entry may queue for a slot of this pool.
};

/// A service that callers reach through routes. Its requests run on the VMs of its pool.
struct service_settings {
    std::string pool;
};

/// Whether a route's requests may be sent twice.
enum class repeatable_rule { safe_methods, yes, no };

template <>
inline constexpr std::array enum_names<repeatable_rule>{
    std::pair{repeatable_rule::safe_methods, std::string_view("safe-methods")},
    std::pair{repeatable_rule::yes, std::string_view("yes")},
    std::pair{repeatable_rule::no, std::string_view("no")}};

/// Maps a path prefix to a service.
struct route_settings {
    std::string prefix;
    std::string service;
    repeatable_rule repeatable = repeatable_rule::safe_methods;
    milliseconds timeout{0}; ///< Timeout of a request without its own deadline.
};

/// A maintenance wave: every VM in scope is drained, maintained and returned once.
struct wave_settings {
    std::string pool;       ///< A pool, or "*" for every VM of the fleet.
    std::int64_t order = 0; ///< Identifies the wave in VM records; higher is newer.
    std::int64_t width = 1; ///< Maximum number of VMs that this wave keeps out of service at once.
    /// Time after which a drain is reported as overdue; it is never aborted.
    milliseconds drain_overdue_after{0};
    bool paused = false;
};

/// Weights of the planner's trade-off between idle VMs and job moves.
struct weight_settings {
    std::int64_t buffer = 1;
    std::int64_t moves = 1;
};

/// One validated configuration with its number. Immutable once published; then safe to read from any thread.
struct configuration {
    std::uint64_t number = 0;
    std::map<std::string, member_settings> members;
    std::map<std::string, team_settings> teams;
    std::map<std::string, pool_settings> pools;
    std::map<std::string, service_settings> services;
    std::map<std::string, route_settings> routes;
    std::map<std::string, wave_settings> waves;
    weight_settings weights;
    /// Incarnations of entries that an operator has declared permanently gone, as "id@incarnation".
    std::set<std::string> removed_entries;
    boost::json::value document;
};

/// Parses and validates a complete configuration document. All findings are added to `out`, each with its
/// JSON pointer; the result is valid only when `out` is still empty.
[[nodiscard]] configuration parse_configuration(std::uint64_t number, const boost::json::value& document,
                                                findings& out);

/// Returns the route with the longest prefix that matches `path` at a segment boundary, or null.
[[nodiscard]] const route_settings* find_route(const configuration& config, std::string_view path);

} // namespace siskinpaddle
