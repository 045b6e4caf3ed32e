#pragma once

#include "fakes/fake_platform.hpp"
#include "fakes/fake_vm.hpp"
#include "main/entry.hpp"
#include "net/free_port.hpp"
#include "net/loop_until.hpp"
#include "telemetry/test_log.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// A complete deployment on one event loop: a fake platform, fake VMs and real entries, connected by real
/// sockets. Destroying an entry simulates a killed process: its sockets close at once, and it neither
/// deregisters nor notifies its peers.
class deployment {
  public:
    static constexpr const char* credential = "an operator's credential";

    deployment() : platform(loop, 300ms), client(loop) {
        start_test_log();
        REQUIRE(platform.listen({"127.0.0.1", 0}));
        const std::string digest = sha256_hex(credential);
        const std::string rival_digest = sha256_hex("the rival's credential");
        platform.put(
            "config",
            R"({"number":1,"history":[],"document":{"members":{"kuld":{"credential_sha256":")" + digest +
                R"(","admin":true},"hobe":{"credential_sha256":")" + rival_digest +
                R"("}},"teams":{"t":{"member":"kuld","cpu_millicores":64000}},"weights":{"buffer":1,"moves":0},
                         "pools":{"k":{"member":"kuld","promised":1,"size":2},"h":{"member":"hobe","promised":1,"size":1}},
                         "services":{"k":{"pool":"k"},"h":{"pool":"h"}},
                         "routes":{"k":{"prefix":"/k","service":"k","repeatable":"yes"},
                                   "h":{"prefix":"/h","service":"h"}}}})");
    }

    fakes::fake_vm& add_vm(const std::string& id, const std::string& zone = "a") {
        fakes::fake_vm_settings settings;
        settings.id = id;
        settings.availability_zone = zone;
        settings.rack = "r-" + id;
        settings.target = {"127.0.0.1", free_port()};
        settings.agent_port = free_port();
        settings.platform = {"127.0.0.1", platform.port()};
        settings.reboot_time = 100ms;
        vms[id] = std::make_unique<fakes::fake_vm>(loop, settings);
        REQUIRE(vms[id]->start());
        return *vms[id];
    }

    entry& add_entry(const std::string& id, const std::string& zone = "a") {
        entry_settings& settings = m_settings[id];
        if (settings.id.empty()) {
            settings.id = id;
            settings.availability_zone = zone;
            settings.callers = {"127.0.0.1", free_port()};
            settings.operators = {"127.0.0.1", free_port()};
            settings.peers = {"127.0.0.1", free_port()};
            settings.platform = {"127.0.0.1", platform.port()};
            settings.peer_key = "a shared key of at least thirty-two characters";
            settings.heartbeat_interval = 200ms;
        }
        entries[id] = std::make_unique<entry>(loop, settings);
        const findings problems = entries[id]->listen();
        REQUIRE_MESSAGE(problems.empty(), problems.to_string());
        entries[id]->start();
        return *entries[id];
    }

    void kill_entry(const std::string& id) { entries.erase(id); }

    [[nodiscard]] const entry_settings& settings(const std::string& id) { return m_settings[id]; }

    /// Returns the fleet record from the store, or an empty one if it can't be decoded.
    [[nodiscard]] fleet_record fleet() const {
        const std::string bytes = platform.value("fleet");
        return boost::leaf::try_handle_all([&] { return decode_fleet(bytes); },
                                           [] { return fleet_record{}; });
    }

    [[nodiscard]] job_table jobs(const std::string& pool) const {
        const std::string bytes = platform.value("jobs/" + pool);
        return boost::leaf::try_handle_all([&] { return decode_jobs(bytes); }, [] { return job_table{}; });
    }

    [[nodiscard]] int count_serving(const std::string& pool) const {
        int count = 0;
        for (const vm_record& vm : fleet().vms) {
            count += vm.pool == pool && vm.state == vm_state::serving ? 1 : 0;
        }
        return count;
    }

    bool run_until(const std::function<bool()>& condition) { return loop_until(loop, condition); }

    /// Starts 2 entries and 3 VMs, and waits until both pools have their configured number of serving VMs and
    /// both entries are ready.
    void start_default() {
        add_vm("w1");
        add_vm("w2", "b");
        add_vm("w3");
        add_entry("e1");
        add_entry("e2", "b");
        REQUIRE(run_until([&] {
            return count_serving("k") == 2 && count_serving("h") == 1 && fleet().entries.size() == 2;
        }));
        REQUIRE(run_until([&] { return is_up_to_date("e1") && is_up_to_date("e2"); }));
    }

    /// Whether the entry reports that it is ready and has applied the newest fleet record.
    bool is_up_to_date(const std::string& id) {
        const http_answer answer = send_and_wait(settings(id).callers, "GET", "/siskinpaddle/health");
        findings problems;
        const boost::json::value body = parse_json(answer.body, "", problems);
        if (answer.code != 200 || !problems.empty()) {
            return false;
        }
        json_object object(body, "", problems);
        return object.number("fleet", {0, INT64_MAX}) == static_cast<std::int64_t>(fleet().revision);
    }

    http_answer send_and_wait(const endpoint& to, const std::string& method, const std::string& target,
                              const std::string& body = {},
                              const std::vector<std::pair<std::string, std::string>>& fields = {}) {
        http_answer result;
        bool ended = false;
        send(to, method, target, body, fields, [&](const http_answer& answer) {
            result = answer;
            ended = true;
        });
        REQUIRE(run_until([&] { return ended; }));
        return result;
    }

    void send(const endpoint& to, const std::string& method, const std::string& target,
              const std::string& body, const std::vector<std::pair<std::string, std::string>>& fields,
              http_client::callback done) {
        http_call call;
        call.to = to;
        call.method = method;
        call.target = target;
        call.body = body;
        call.timeout = 40s;
        call.fresh_connection = true;
        for (const auto& [name, value] : fields) {
            call.headers.add(name, value);
        }
        client.send(std::move(call), std::move(done));
    }

    http_answer send_operator_request(const std::string& id, const std::string& method,
                                      const std::string& target, const std::string& body = {},
                                      const std::string& secret = credential) {
        return send_and_wait(settings(id).operators, method, target, body,
                             {{"Authorization", "Bearer " + secret}});
    }

    http_answer patch(const std::string& id, std::uint64_t base_number, const std::string& write_id,
                      const std::string& merge, const std::string& secret = credential) {
        return send_operator_request(id, "POST", "/v1/patches",
                                     R"({"against":)" + std::to_string(base_number) + R"(,"write_id":")" +
                                         write_id + R"(","patch":)" + merge + "}",
                                     secret);
    }

    event_loop loop;
    fakes::fake_platform platform;
    http_client client;
    std::map<std::string, std::unique_ptr<fakes::fake_vm>> vms;
    std::map<std::string, std::unique_ptr<entry>> entries;

  private:
    std::map<std::string, entry_settings> m_settings;
};

/// Returns the text of a JSON field of an answer, or "" if the field is absent.
inline std::string field(const http_answer& answer, std::string_view key) {
    findings problems;
    const boost::json::value body = parse_json(answer.body, "", problems);
    const auto* object = body.if_object();
    const auto* value = object == nullptr ? nullptr : object->if_contains(key);
    if (value == nullptr) {
        return "";
    }
    return value->is_string() ? std::string(value->get_string()) : boost::json::serialize(*value);
}

} // namespace siskinpaddle::tests
