#include "control/entry_settings.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace siskinpaddle {

namespace {

constexpr std::size_t min_key_length = 32;

endpoint read_endpoint(const boost::json::value& value, const std::string& path, findings& out) {
    json_object object(value, path, out);
    endpoint result;
    result.address = object.text("address");
    result.port = static_cast<std::uint16_t>(object.number("port", {1, 65'535}));
    in_addr parsed{};
    if (inet_pton(AF_INET, result.address.c_str(), &parsed) != 1) {
        out.add(object.path_of("address"), "must be an IPv4 address");
    }
    object.reject_unknown();
    return result;
}

endpoint require_endpoint(json_object& root, std::string_view key, findings& out) {
    const auto* value = root.child(key);
    if (value == nullptr) {
        out.add(root.path_of(key), "is missing; an object with address and port is required");
        return {};
    }
    return read_endpoint(*value, root.path_of(key), out);
}

template <typename Enum>
void read_enum(json_object& root, std::string_view key, Enum& target, findings& out) {
    const std::string text = root.text_or(key, std::string(name_of(target)));
    if (const auto value = value_named<Enum>(text)) {
        target = *value;
    } else {
        out.add(root.path_of(key), "'" + text + "' is not a valid value");
    }
}

} // namespace

entry_settings parse_entry_settings(const boost::json::value& document, findings& out) {
    json_object root(document, "", out);
    entry_settings settings;
    settings.id = root.text("id");
    settings.availability_zone = root.text("availability_zone");
    settings.callers = require_endpoint(root, "callers", out);
    settings.operators = require_endpoint(root, "operators", out);
    settings.peers = require_endpoint(root, "peers", out);
    settings.platform = require_endpoint(root, "platform", out);
    if (const auto* seeds = root.child("seed_peers")) {
        if (!seeds->is_array()) {
            out.add("/seed_peers", "must be an array");
        } else {
            for (std::size_t i = 0; i < seeds->get_array().size(); ++i) {
                settings.seed_peers.push_back(
                    read_endpoint(seeds->get_array()[i], "/seed_peers/" + std::to_string(i), out));
            }
        }
    }
    settings.peer_key = root.text("peer_key");
    if (settings.peer_key.size() < min_key_length) {
        out.add("/peer_key", "must have at least 32 characters");
    }
    settings.max_requests = root.number_or("max_requests", settings.max_requests, {1, 100'000});
    settings.max_body_bytes = root.number_or("max_body_bytes", settings.max_body_bytes, {1024, 64 << 20});
    settings.max_connections = root.number_or("max_connections", settings.max_connections, {1, 60'000});
    read_enum(root, "routing", settings.routing, out);
    settings.admission_enabled = root.flag_or("admission", settings.admission_enabled);
    settings.retry_percent = root.number_or("retry_percent", settings.retry_percent, {0, 100});
    settings.heartbeat_interval =
        milliseconds(root.number_or("heartbeat_ms", settings.heartbeat_interval.count(), {100, 10'000}));
    settings.drain_timeout =
        milliseconds(root.number_or("drain_bound_ms", settings.drain_timeout.count(), {100, 3'600'000}));
    read_enum(root, "log_level", settings.log_level, out);
    if (settings.id.empty() || settings.id.size() > 64) {
        out.add("/id", "must have 1 to 64 characters");
    }
    if (settings.availability_zone.empty()) {
        out.add("/availability_zone", "must not be empty");
    }
    root.reject_unknown();
    return settings;
}

} // namespace siskinpaddle
