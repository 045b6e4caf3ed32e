#include "policy/configuration.hpp"

namespace siskinpaddle {

namespace {

constexpr std::int64_t max_vms = 10'000;
constexpr std::int64_t one_day_ms = 86'400'000;
constexpr std::size_t sha256_digits = 64;

class configuration_reader {
  public:
    configuration_reader(configuration& config, findings& out) : m_config(config), m_findings(out) {}

    void read(const boost::json::value& document) {
        json_object root(document, "", m_findings);
        root.for_each_member("members",
                             [this](auto& name, auto& value, auto& path) { read_member(name, value, path); });
        root.for_each_member("teams",
                             [this](auto& name, auto& value, auto& path) { read_team(name, value, path); });
        root.for_each_member("pools",
                             [this](auto& name, auto& value, auto& path) { read_pool(name, value, path); });
        root.for_each_member(
            "services", [this](auto& name, auto& value, auto& path) { read_service(name, value, path); });
        root.for_each_member("routes",
                             [this](auto& name, auto& value, auto& path) { read_route(name, value, path); });
        root.for_each_member("waves",
                             [this](auto& name, auto& value, auto& path) { read_wave(name, value, path); });
        root.for_each_member("removed_entries", [this](auto& name, auto& value, auto& path) {
            json_object(value, path, m_findings).reject_unknown();
            m_config.removed_entries.insert(name);
        });
        if (const auto* weights = root.child("weights")) {
            read_weights(*weights);
        }
        root.reject_unknown();
        check_references();
    }

  private:
    void read_member(const std::string& name, const boost::json::value& value, const std::string& path) {
        json_object object(value, path, m_findings);
        member_settings member;
        member.credential_sha256 = object.text("credential_sha256");
        member.admin = object.flag_or("admin", false);
        if (member.credential_sha256.size() != sha256_digits) {
            m_findings.add(object.path_of("credential_sha256"), "must have 64 hexadecimal digits");
        }
        object.reject_unknown();
        m_config.members[name] = member;
    }

    void read_team(const std::string& name, const boost::json::value& value, const std::string& path) {
        json_object object(value, path, m_findings);
        team_settings team;
        team.member = object.text("member");
        team.cpu_millicores = object.number("cpu_millicores", {0, 1'000'000'000});
        team.accelerators = object.number_or("accelerators", 0, {0, max_vms});
        object.reject_unknown();
        m_config.teams[name] = team;
    }

    void read_pool(const std::string& name, const boost::json::value& value, const std::string& path) {
        json_object object(value, path, m_findings);
        pool_settings pool;
        pool.member = object.text("member");
        pool.promised = object.number("promised", {0, max_vms});
        pool.size = object.number_or("size", pool.promised, {0, max_vms});
        pool.slots = object.number_or("slots", pool.slots, {1, 4096});
        pool.connections = object.number_or("connections", pool.connections, {1, 65'536});
        pool.max_queue = object.number_or("max_queue", pool.max_queue, {0, 100'000});
        if (pool.size < pool.promised) {
            m_findings.add(object.path_of("size"), "must not be below promised");
        }
        object.reject_unknown();
        m_config.pools[name] = pool;
    }

    void read_service(const std::string& name, const boost::json::value& value, const std::string& path) {
        json_object object(value, path, m_findings);
        m_config.services[name].pool = object.text("pool");
        object.reject_unknown();
    }

    void read_route(const std::string& name, const boost::json::value& value, const std::string& path) {
        json_object object(value, path, m_findings);
        route_settings route;
        route.prefix = object.text("prefix");
        route.service = object.text("service");
        route.timeout = milliseconds(object.number_or("timeout_ms", 5'000, {1, 600'000}));
        const std::string rule = object.text_or("repeatable", "safe-methods");
        if (const auto parsed = value_named<repeatable_rule>(rule)) {
            route.repeatable = *parsed;
        } else {
            m_findings.add(object.path_of("repeatable"), "must be safe-methods, yes or no");
        }
        if (route.prefix.empty() || route.prefix.front() != '/') {
            m_findings.add(object.path_of("prefix"), "must begin with /");
        }
        object.reject_unknown();
        m_config.routes[name] = route;
    }

    void read_wave(const std::string& name, const boost::json::value& value, const std::string& path) {
        json_object object(value, path, m_findings);
        wave_settings wave;
        wave.pool = object.text("pool");
        wave.order = object.number("order", {1, 4'000'000'000});
        wave.width = object.number_or("width", 1, {1, max_vms});
        wave.drain_overdue_after = milliseconds(object.number_or("drain_bound_ms", 60'000, {1, one_day_ms}));
        wave.paused = object.flag_or("paused", false);
        object.reject_unknown();
        m_config.waves[name] = wave;
    }

    void read_weights(const boost::json::value& value) {
        json_object object(value, "/weights", m_findings);
        m_config.weights.buffer = object.number_or("buffer", 1, {0, 1'000});
        m_config.weights.moves = object.number_or("moves", 1, {0, 1'000});
        object.reject_unknown();
    }

    template <typename Map>
    void check_exists(const Map& map, const std::string& key, const std::string& pointer, const char* kind) {
        if (!map.contains(key)) {
            m_findings.add(pointer, "names no " + std::string(kind) + ": '" + key + "'");
        }
    }

    void check_references() {
        for (const auto& [name, team] : m_config.teams) {
            check_exists(m_config.members, team.member, "/teams/" + escape_pointer(name) + "/member",
                         "member");
        }
        for (const auto& [name, pool] : m_config.pools) {
            check_exists(m_config.members, pool.member, "/pools/" + escape_pointer(name) + "/member",
                         "member");
        }
        for (const auto& [name, service] : m_config.services) {
            check_exists(m_config.pools, service.pool, "/services/" + escape_pointer(name) + "/pool", "pool");
        }
        std::map<std::string, std::string> prefixes;
        for (const auto& [name, route] : m_config.routes) {
            const std::string place = "/routes/" + escape_pointer(name);
            check_exists(m_config.services, route.service, place + "/service", "service");
            if (const auto [other, is_new] = prefixes.emplace(route.prefix, name); !is_new) {
                m_findings.add(place + "/prefix", "is already the prefix of route '" + other->second + "'");
            }
        }
        std::map<std::int64_t, std::string> orders;
        for (const auto& [name, wave] : m_config.waves) {
            const std::string place = "/waves/" + escape_pointer(name);
            if (wave.pool != "*") {
                check_exists(m_config.pools, wave.pool, place + "/pool", "pool");
            }
            if (const auto [other, is_new] = orders.emplace(wave.order, name); !is_new) {
                m_findings.add(place + "/order", "is already the order of wave '" + other->second + "'");
            }
        }
    }

    configuration& m_config;
    findings& m_findings;
};

bool matches_at_segment_boundary(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

} // namespace

configuration parse_configuration(std::uint64_t number, const boost::json::value& document, findings& out) {
    configuration config;
    config.number = number;
    config.document = document;
    configuration_reader(config, out).read(document);
    return config;
}

const route_settings* find_route(const configuration& config, std::string_view path) {
    const route_settings* best = nullptr;
    for (const auto& [name, route] : config.routes) {
        const bool longer = best == nullptr || route.prefix.size() > best->prefix.size();
        if (longer && matches_at_segment_boundary(path, route.prefix)) {
            best = &route;
        }
    }
    return best;
}

} // namespace siskinpaddle
