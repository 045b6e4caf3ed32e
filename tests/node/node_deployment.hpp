#pragma once

#include "fakes/platform_store.hpp"
#include "fakes/task_vm.hpp"
#include "net/loop_until.hpp"
#include "node/node.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace siskinpaddle::tests {

/// Real nodes on one loop against the stand-ins of the store and of VMs, over real sockets. Destroying a node
/// is what a kill looks like to all others.
class node_deployment {
  public:
    struct running_node {
        std::unique_ptr<node::node_settings> settings;
        std::unique_ptr<node::node> process;
    };

    node_deployment() : store(loop), client(loop) {
        static const bool log_started = [] {
            const char* level = std::getenv("SISKINPADDLE_TEST_LOG");
            start_event_log(
                "test",
                value_named<event_level>(level == nullptr ? "error" : level).value_or(event_level::error));
            return true;
        }();
        REQUIRE(log_started);
        REQUIRE(store.listen({"127.0.0.1", 0}));
        store.put("op/config", configuration(2));
    }

    static std::string configuration(std::int64_t version, const std::string& prefix = "/quotes/") {
        return R"({"version":)" + std::to_string(version) +
               R"(,"routes":[{"name":"quotes","host":"h.example","prefix":")" + prefix +
               R"(","service":"p","max_attempts":3,"stretch_factor":1.6,"target_latency_ms":5000}],
               "services":[{"name":"p","admission_control":true}],"limits":{"max_body_bytes":65536}})";
    }

    static std::uint16_t free_port() {
        static const int first = 30'000 + getpid() % 30 * 800;
        static int used = 0;
        for (int tries = 0; tries < 800; ++tries) {
            const auto port = static_cast<std::uint16_t>(first + used++ % 800);
            event_loop probe_loop;
            http_server probe(probe_loop, {}, [](const std::shared_ptr<server_request>&) {});
            if (probe.listen({"127.0.0.1", port})) {
                return port;
            }
        }
        return 0;
    }

    void start_node(const std::string& id) {
        running_node item;
        item.settings = std::make_unique<node::node_settings>();
        node::node_settings& settings = *item.settings;
        settings.id = id;
        settings.availability_zone = "z";
        settings.clients = {"127.0.0.1", free_port()};
        settings.readiness = {"127.0.0.1", free_port()};
        settings.peers = {"127.0.0.1", free_port()};
        settings.metrics = {"127.0.0.1", free_port()};
        settings.store = {"127.0.0.1", store.port()};
        settings.machines = {"127.0.0.1", 1}; // Nobody listens: machines stay where they are.
        settings.vm_lease = 6s;
        settings.order_quiet = 3s;
        settings.grace = 6s;
        settings.keep_ended = 120s;
        settings.upkeep_time = 2s;
        settings.move_time = 1500ms;
        item.process = std::make_unique<node::node>(loop, settings);
        REQUIRE(item.process->listen().empty());
        item.process->start();
        nodes[id] = std::move(item);
    }

    void kill_node(const std::string& id) { nodes[id].process.reset(); }

    fakes::task_vm& add_vm(const std::string& name, milliseconds run_time) {
        vms.push_back(std::make_unique<fakes::task_vm>(loop, name, run_time));
        REQUIRE(vms.back()->listen({"127.0.0.1", 0}));
        store.put("servers/" + name, vms.back()->registration("p"));
        return *vms.back();
    }

    http_answer call(const std::string& node, const std::string& method, const std::string& target,
                     const std::string& body = {}) {
        http_call request;
        request.to = nodes[node].settings->clients;
        request.method = method;
        request.target = target;
        request.headers.add("Host", "h.example");
        request.headers.add("Deadline-Ms", "3000");
        request.body = body;
        request.timeout = 6s;
        request.fresh_connection = true;
        http_answer result;
        bool done = false;
        client.send(std::move(request), [&](http_answer answer) {
            result = std::move(answer);
            done = true;
        });
        REQUIRE(loop_until(
            loop, [&] { return done; }, 8s));
        return result;
    }

    static std::string job_body(int tasks) {
        return R"({"spec":"s","phases":[{"count":)" + std::to_string(tasks) +
               R"(,"cpu":500,"mem_mb":64,"estimate_ms":200}]})";
    }

    /// Waits until a status call through `node` shows the phase.
    bool shows(const std::string& node, const std::string& job, const std::string& phase,
               milliseconds bound) {
        const timestamp end = event_loop::now() + bound;
        while (event_loop::now() < end) {
            if (call(node, "GET", "/quotes/" + job).body.find("\"" + phase + "\"") != std::string::npos) {
                return true;
            }
            loop_until(
                loop, [] { return false; }, 50ms);
        }
        return false;
    }

    /// Waits until the node takes jobs.
    void wait_until_serving(const std::string& node) {
        const timestamp end = event_loop::now() + 15s;
        while (event_loop::now() < end) {
            if (call(node, "GET", "/quotes/").code == 200) {
                return;
            }
            loop_until(
                loop, [] { return false; }, 50ms);
        }
        FAIL("no node took over the pool");
    }

    /// Checks from the VMs' own records that no task ran twice at a time or again after it was done.
    void check_runs_once() const {
        std::map<std::string, std::vector<fakes::task_vm::run_record>> by_task;
        for (const auto& vm : vms) {
            for (const auto& run : vm->runs()) {
                by_task[run.task].push_back(run);
            }
        }
        for (const auto& item : by_task) {
            const std::string& task = item.first;
            const std::vector<fakes::task_vm::run_record>& runs = item.second;
            for (const auto& a : runs) {
                for (const auto& b : runs) {
                    if (&a != &b && a.began <= b.began) {
                        INFO(task, " attempts ", a.attempt, " and ", b.attempt);
                        CHECK(a.ended != timestamp(0));
                        CHECK(a.ended <= b.began);
                        CHECK(a.how != "done");
                    }
                }
            }
        }
    }

    [[nodiscard]] std::size_t done_runs() const {
        std::size_t count = 0;
        for (const auto& vm : vms) {
            for (const auto& run : vm->runs()) {
                count += run.how == "done" ? 1 : 0;
            }
        }
        return count;
    }

    event_loop loop;
    fakes::platform_store store;
    http_client client;
    std::vector<std::unique_ptr<fakes::task_vm>> vms;
    std::map<std::string, running_node> nodes;
};

} // namespace siskinpaddle::tests
