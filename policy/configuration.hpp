#pragma once

#include "core/core.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace siskinpaddle {

/// A tenant of the fleet. Rivals: none may touch what another owns.
struct member_settings {
    std::string credential_sha256; ///< SHA-256 of the operators' credential, lower-case hexadecimal.
    bool admin = false;            ///< May change what belongs to the whole fleet.
};

/// A group within a member whose jobs share a quota.
struct team_settings {
    std::string member;
    std::int64_t cpu_millicores = 0; ///< Most processor time its running jobs may declare at once.
    std::int64_t accelerators = 0;
};

/// A set of VMs that belongs to one member.
struct pool_settings {
    std::string member;
    std::int64_t promised = 0;     ///< Availability budget: VMs that must stay available, always.
    std::int64_t size = 0;         ///< VMs that the pool holds when nothing is out of service.
    std::int64_t slots = 8;        ///< Requests that one instance runs at once.
    std::int64_t connections = 64; ///< Connections that one instance accepts, from all entries together.
    std::int64_t max_queue = 128;  ///< Requests that one entry lets wait for a slot of this pool.
};

/// What callers reach through routes; its requests run on the VMs of its pool.
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
    milliseconds timeout{0}; ///< Deadline of a request that brings none.
};

/// A maintenance wave: every VM in scope is drained, maintained and returned once.
struct wave_settings {
    std::string pool;            ///< A pool, or "*" for every VM of the fleet.
    std::int64_t order = 0;      ///< Identifies the wave in VM records; higher is newer.
    std::int64_t width = 1;      ///< Most VMs that this wave keeps out of service at once.
    milliseconds drain_bound{0}; ///< After this long a drain is reported as overdue; it is never cut.
    bool paused = false;
};

/// What the planner may trade: idle VMs against moves.
struct weight_settings {
    std::int64_t buffer = 1;
    std::int64_t moves = 1;
};

/// One numbered configuration, checked. Immutable once published; then safe to read from any thread.
struct configuration {
    std::uint64_t number = 0;
    std::map<std::string, member_settings> members;
    std::map<std::string, team_settings> teams;
    std::map<std::string, pool_settings> pools;
    std::map<std::string, service_settings> services;
    std::map<std::string, route_settings> routes;
    std::map<std::string, wave_settings> waves;
    weight_settings weights;
    /// Entries that an operator declares gone for ever, as "id@incarnation".
    std::set<std::string> removed_entries;
    boost::json::value document;
};

/// Reads and checks a whole configuration document. All findings go to `out`, each with its JSON pointer; the
/// result is only to be used when `out` stayed empty.
[[nodiscard]] configuration parse_configuration(std::uint64_t number, const boost::json::value& document,
                                                findings& out);

/// The route whose prefix is the longest that matches `path` on a segment border, or null.
[[nodiscard]] const route_settings* find_route(const configuration& config, std::string_view path);

} // namespace siskinpaddle
