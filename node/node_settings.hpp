#pragma once

#include "net/net.hpp"

#include <string>

namespace siskinpaddle::node {

/// Of a link whose speed the settings leave out, Mbit/s.
inline constexpr double default_link_mbps = 1000;
/// Of a VM that stops a run, where the settings leave it out.
inline constexpr milliseconds default_stop_time = 1s;
/// Of what VMs say of their capacity, where the settings leave it out.
inline constexpr milliseconds default_max_capacity_age = 3s;

/// Settings of one node process, checked.
struct node_settings {
    std::string id;
    std::string availability_zone;
    endpoint clients;   ///< Where clients' requests arrive.
    endpoint readiness; ///< Where the platform asks whether this node takes traffic.
    endpoint peers;     ///< Where other nodes call.
    endpoint metrics;
    endpoint store;
    endpoint machines;
    endpoint advice;                    ///< Port 0: there is no policy service.
    milliseconds vm_lease{0};           ///< Longest lease that VMs grant.
    milliseconds min_order_interval{0}; ///< Two holders of a machine may not order within this of each other.
    milliseconds grace_period{0};       ///< From SIGTERM to SIGKILL.
    milliseconds ended_job_retention{0};        ///< How long clients may ask for an ended job.
    milliseconds stop_time = default_stop_time; ///< Longest time that a VM takes to stop a run.
    /// How old our copy of the VMs' registrations may be when tasks are started on VMs that don't check their
    /// capacity themselves.
    milliseconds max_capacity_age = default_max_capacity_age;
    milliseconds maintenance_time{0};
    milliseconds move_time{0};
    double machine_orders_per_s = 1;
    double link_mbps = default_link_mbps; ///< Of the machine's own link, each way.
    double processor_share = 1; ///< Of a core: how much of the work that is shared out this node should take.
};

/// Reads and checks a settings document; findings name every problem with its place.
[[nodiscard]] node_settings parse_node_settings(const boost::json::value& document, findings& out);

} // namespace siskinpaddle::node
