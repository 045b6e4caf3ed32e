#pragma once

#include "jobs/jobs.hpp"
#include "net/net.hpp"

#include <cstddef>
#include <string>

namespace siskinpaddle::node {

/// Bounds on the age of the copy of the configuration.
struct configuration_ages {
    milliseconds max_age{0}; ///< What the age has to stay below while the store responds; 0: no bound.
    milliseconds max_refusal_age{0}; ///< Maximum age by which a queue or an API key may be refused.
};

/// Default speed of the network link, Mbit/s.
inline constexpr double default_link_mbps = 1000;
/// Default for the longest time that a VM takes to stop a run.
inline constexpr milliseconds default_stop_time = 1s;
/// Default for the maximum age of the capacities that VMs report.
inline constexpr milliseconds default_max_capacity_age = 3s;

/// Default for the share of the machines without use that pools may keep. The others stay in the spare pool,
/// where they cost nothing and are free for maintenance and for a pool whose demand is new.
inline constexpr double default_reserve_share = 0.25;

/// Default for the time within which a new configuration must be in force.
inline constexpr milliseconds default_configuration_time = 2s;

/// What the connections of one listener may be and hold.
struct connection_limits {
    std::size_t connections = 0;
    std::size_t held_bytes = 0; ///< All connections together.
};

/// Defaults of the limits of connections. Together they leave room on the smallest machine (160 MB, 3,900
/// sockets) for what the node itself holds and for its own calls.
inline constexpr connection_limits default_client_limits{2048, std::size_t{32} << 20U};
inline constexpr connection_limits default_peer_limits{1024, std::size_t{32} << 20U};
inline constexpr connection_limits default_service_limits{64, std::size_t{2} << 20U};
inline constexpr std::size_t default_read_ahead = std::size_t{64} << 10U;

/// Validated settings of one node process.
struct node_settings {
    std::string id;
    std::string availability_zone;
    endpoint clients;   ///< Listening address for clients' requests.
    endpoint readiness; ///< Listening address for the platform's readiness checks.
    endpoint peers;     ///< Listening address for other nodes' calls.
    endpoint metrics;
    endpoint store;
    endpoint machines;
    endpoint advice;          ///< Port 0: there is no policy service.
    milliseconds vm_lease{0}; ///< Longest lease that VMs grant.
    /// Minimum time between orders to one machine by two different owners of the fleet.
    milliseconds min_order_interval{0};
    milliseconds grace_period{0};               ///< From SIGTERM to SIGKILL.
    milliseconds ended_job_retention{0};        ///< How long the state of an ended job can be queried.
    milliseconds stop_time = default_stop_time; ///< Longest time that a VM takes to stop a run.
    /// Maximum age of the local copy of the VMs' registrations when tasks are started on VMs that don't check
    /// their capacity themselves.
    milliseconds max_capacity_age = default_max_capacity_age;
    milliseconds maintenance_time{0};
    milliseconds move_time{0};
    double machine_orders_per_s = 1;
    /// How many machines pools keep between their demand peaks.
    jobs::reserve_settings reserves{.max_share = default_reserve_share};
    double link_mbps = default_link_mbps; ///< Speed of the node's network link, in each direction.
    /// Time within which a revoked API key must be refused by all nodes; 0: there are no client accounts.
    milliseconds key_revocation_time{0};
    /// Whether that holds for nodes that can't reach the store, too.
    bool strict_key_revocation = false;
    /// Time within which a new configuration must be in force.
    milliseconds configuration_time = default_configuration_time;
    connection_limits client_limits = default_client_limits;
    connection_limits peer_limits = default_peer_limits;
    connection_limits service_limits =
        default_service_limits;                      ///< Of the readiness and the metrics address, each.
    std::size_t max_read_ahead = default_read_ahead; ///< Of one connection, bytes.
    double processor_share = 1; ///< Fraction of a core; sets how much of the distributed work this node gets.
};

/// Returns the limits of a listener whose requests have bodies of at most `max_body` bytes.
[[nodiscard]] http_server_limits server_limits_of(const node_settings& settings,
                                                  const connection_limits& limits, std::size_t max_body);

/// Returns when calls with an API key may be served, for jobs::check_access().
[[nodiscard]] jobs::access_settings access_settings_of(const node_settings& settings);

/// Returns the bounds on the configuration's age. Beyond `max_age` (0 without client accounts) keys can't be
/// checked, and accounts with a limit start nothing.
[[nodiscard]] configuration_ages configuration_ages_of(const node_settings& settings);

/// Parses and validates a settings document; findings name every problem with its place.
[[nodiscard]] node_settings parse_node_settings(const boost::json::value& document, findings& out);

} // namespace siskinpaddle::node
