#include "node/node_settings.hpp"

#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>

namespace siskinpaddle::node {

namespace {

bool is_ipv4_address(const std::string& text) {
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

/// Reads an endpoint in the form "ADDRESS:PORT".
endpoint read_endpoint(json_object& root, std::string_view key, findings& out) {
    const std::string text = root.text(key);
    const std::size_t colon = text.rfind(':');
    endpoint where;
    where.address = text.substr(0, colon);
    if (colon != std::string::npos) {
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), where.port);
    }
    if (!is_ipv4_address(where.address) || where.port == 0) {
        out.add(root.path_of(key), "must be IPv4-ADDRESS:PORT");
    }
    return where;
}

/// Reads a duration given as a number, which may have a fraction.
milliseconds read_duration(json_object& root, std::string_view key, double unit_ms, double max_ms,
                           findings& out) {
    const boost::json::value* value = root.child(key);
    if (value == nullptr || !value->is_number()) {
        out.add(root.path_of(key), "must be a number");
        return milliseconds(0);
    }
    const double number = value->to_number<double>() * unit_ms;
    if (number < 0 || number > max_ms) {
        out.add(root.path_of(key), "is out of range");
        return milliseconds(0);
    }
    return milliseconds(static_cast<std::int64_t>(number));
}

constexpr double one_hour_ms = 3'600'000;

/// Reads what operators may set of the pools' reserves; absent keys leave the defaults.
void read_reserves(json_object& root, jobs::reserve_settings& reserves, findings& out) {
    if (const boost::json::value* share = root.child("reserve_share")) {
        reserves.max_share = share->is_number() ? share->to_number<double>() : -1;
        if (reserves.max_share < 0 || reserves.max_share > 1) {
            out.add("/reserve_share", "must be a number from 0 to 1");
        }
    }
    if (root.child("reserve_half_life_s") != nullptr) {
        reserves.half_life = read_duration(root, "reserve_half_life_s", 1000, 24 * one_hour_ms, out);
        if (reserves.half_life < 1s) {
            out.add("/reserve_half_life_s", "must be at least 1");
        }
    }
}

constexpr std::int64_t max_connection_bound = 60'000;
constexpr std::int64_t max_held_mb_bound = 65'536;
constexpr std::int64_t max_read_ahead_kb_bound = 65'536;
/// A connection has to be able to hold the headers of a request.
constexpr std::int64_t min_read_ahead_kb = static_cast<std::int64_t>(http_server_limits().max_headers >> 10U);

/// Reads the limits of a listener, whose keys begin with `prefix`.
void read_connection_limits(json_object& root, const std::string& prefix, connection_limits& limits) {
    limits.connections = static_cast<std::size_t>(root.number_or(
        prefix + "connections", static_cast<std::int64_t>(limits.connections), {1, max_connection_bound}));
    limits.held_bytes =
        static_cast<std::size_t>(root.number_or(
            prefix + "held_mb", static_cast<std::int64_t>(limits.held_bytes >> 20U), {1, max_held_mb_bound}))
        << 20U;
}

/// Covers drift between this node's clock and the store's.
constexpr milliseconds configuration_age_margin = 400ms;

void require_above_margin(milliseconds value, const std::string& path, findings& out) {
    if (value <= configuration_age_margin) {
        out.add(path, "must be above " + std::to_string(configuration_age_margin.count()));
    }
}

} // namespace

http_server_limits server_limits_of(const node_settings& settings, const connection_limits& limits,
                                    std::size_t max_body) {
    http_server_limits result;
    result.max_body = max_body;
    result.max_read_ahead = settings.max_read_ahead;
    result.max_held = limits.held_bytes;
    result.max_connections = limits.connections;
    return result;
}

jobs::access_settings access_settings_of(const node_settings& settings) {
    jobs::access_settings access;
    access.uses_accounts = settings.key_revocation_time > 0ms;
    if (settings.strict_key_revocation) {
        access.max_configuration_age = settings.key_revocation_time - configuration_age_margin;
    }
    return access;
}

configuration_ages configuration_ages_of(const node_settings& settings) {
    const jobs::access_settings access = access_settings_of(settings);
    configuration_ages ages;
    ages.max_refusal_age = settings.configuration_time - configuration_age_margin;
    if (access.uses_accounts) {
        ages.max_age = access.max_configuration_age == 0ms
                           ? settings.configuration_time
                           : std::min(settings.configuration_time, access.max_configuration_age);
    }
    return ages;
}

node_settings parse_node_settings(const boost::json::value& document, findings& out) {
    json_object root(document, "", out);
    node_settings settings;
    settings.id = root.text("id");
    if (settings.id.empty()) {
        out.add("/id", "must not be empty");
    }
    settings.availability_zone = root.text("availability_zone");
    settings.clients = read_endpoint(root, "clients", out);
    settings.readiness = read_endpoint(root, "readiness", out);
    const std::string address = root.text("address");
    if (!is_ipv4_address(address)) {
        out.add("/address", "must be an IPv4 address");
    }
    settings.peers = {address, static_cast<std::uint16_t>(root.number("peer_port", {1, 65'535}))};
    settings.metrics = {address, static_cast<std::uint16_t>(root.number("metrics_port", {1, 65'535}))};
    settings.store = read_endpoint(root, "store", out);
    settings.machines = read_endpoint(root, "machines", out);
    const boost::json::value* advice = root.child("advice");
    if (advice != nullptr && advice->is_string() && !advice->get_string().empty()) {
        settings.advice = read_endpoint(root, "advice", out);
    }
    settings.vm_lease = read_duration(root, "vm_lease_ms", 1, one_hour_ms, out);
    if (settings.vm_lease < 1s) {
        out.add("/vm_lease_ms", "must be at least 1000");
    }
    settings.min_order_interval = read_duration(root, "order_quiet_ms", 1, one_hour_ms, out);
    settings.grace_period = read_duration(root, "grace_s", 1000, one_hour_ms, out);
    settings.ended_job_retention = read_duration(root, "keep_ended_s", 1000, 24 * one_hour_ms, out);
    if (root.child("stop_ms") != nullptr) {
        settings.stop_time = read_duration(root, "stop_ms", 1, one_hour_ms, out);
    }
    if (root.child("capacity_age_ms") != nullptr) {
        settings.max_capacity_age = read_duration(root, "capacity_age_ms", 1, one_hour_ms, out);
    }
    if (root.child("revoke_ms") != nullptr) {
        settings.key_revocation_time = read_duration(root, "revoke_ms", 1, one_hour_ms, out);
        settings.strict_key_revocation = root.flag_or("strict_revoke", false);
        if (settings.strict_key_revocation) {
            require_above_margin(settings.key_revocation_time, "/revoke_ms", out);
        }
    }
    if (root.child("config_apply_ms") != nullptr) {
        settings.configuration_time = read_duration(root, "config_apply_ms", 1, one_hour_ms, out);
        require_above_margin(settings.configuration_time, "/config_apply_ms", out);
    }
    settings.maintenance_time = read_duration(root, "upkeep_s", 1000, one_hour_ms, out);
    settings.move_time = read_duration(root, "move_s", 1000, one_hour_ms, out);
    const boost::json::value* rate = root.child("machine_orders_per_s");
    settings.machine_orders_per_s = rate != nullptr && rate->is_number() ? rate->to_number<double>() : 0;
    if (settings.machine_orders_per_s <= 0) {
        out.add("/machine_orders_per_s", "must be a number above 0");
    }
    read_reserves(root, settings.reserves, out);
    read_connection_limits(root, "max_", settings.client_limits);
    read_connection_limits(root, "max_peer_", settings.peer_limits);
    read_connection_limits(root, "max_service_", settings.service_limits);
    settings.max_read_ahead =
        static_cast<std::size_t>(root.number_or("max_read_ahead_kb",
                                                static_cast<std::int64_t>(settings.max_read_ahead >> 10U),
                                                {min_read_ahead_kb, max_read_ahead_kb_bound}))
        << 10U;
    const boost::json::value* share = root.child("processor_share");
    settings.processor_share = share != nullptr && share->is_number() ? share->to_number<double>() : 1;
    if (settings.processor_share <= 0) {
        out.add("/processor_share", "must be a number above 0");
    }
    const boost::json::value* link = root.child("link_mbps");
    settings.link_mbps = link != nullptr && link->is_number() ? link->to_number<double>() : default_link_mbps;
    if (settings.link_mbps <= 0) {
        out.add("/link_mbps", "must be a number above 0");
    }
    return settings;
}

} // namespace siskinpaddle::node
