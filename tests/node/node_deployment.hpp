#pragma once

#include "fakes/platform_store.hpp"
#include "fakes/task_machine.hpp"
#include "fakes/task_vm.hpp"
#include "net/free_port.hpp"
#include "net/loop_until.hpp"
#include "node/node.hpp"
#include "node/quotes_queue.hpp"
#include "telemetry/test_log.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// A job of one task as an entry stores it in the pool's inbox.
inline jobs::job_record one_task_record(const std::string& id) {
    jobs::job_record record;
    record.spec.id = id;
    record.spec.queue = "quotes";
    record.spec.steps.resize(1);
    record.spec.steps[0].need = {500, 64, 0};
    return record;
}

/// Runs real nodes on one event loop against fakes of the store and of VMs, over real sockets. To the other
/// nodes the destruction of a node object is the same as the kill of a process.
class node_deployment {
  public:
    struct running_node {
        std::unique_ptr<node::node_settings> settings;
        std::unique_ptr<node::node> process;
    };

    node_deployment() : store(loop), client(loop) {
        start_test_log();
        REQUIRE(store.listen({"127.0.0.1", 0}));
        configure(configuration(2));
    }

    static std::string configuration(std::int64_t version, const std::string& prefix = "/quotes/") {
        jobs::fleet_configuration result;
        result.version = version;
        result.queues = {quotes_queue(prefix)};
        result.pools = {{"p", false}};
        result.max_body_bytes = 65'536;
        return platform::encode_configuration(result);
    }

    /// Writes a configuration as the operator does.
    void configure(const std::string& text) { store.put(std::string(platform::configuration_key), text); }

    /// `adapt`: changes the node's settings.
    void start_node(
        const std::string& id,
        const std::function<void(node::node_settings&)>& adapt = [](node::node_settings&) {}) {
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
        settings.machines = {"127.0.0.1", 1}; // No process listens here: machines are not moved.
        settings.vm_lease = 6s;
        settings.min_order_interval = 3s;
        settings.grace_period = 6s;
        settings.ended_job_retention = 120s;
        settings.maintenance_time = 2s;
        settings.move_time = 1500ms;
        adapt(settings);
        item.process = std::make_unique<node::node>(loop, settings);
        REQUIRE(item.process->listen().empty());
        item.process->start();
        nodes[id] = std::move(item);
    }

    void kill_node(const std::string& id) { nodes[id].process.reset(); }

    /// Adds a VM on a machine of its own, or on the given one.
    fakes::task_vm& add_vm(const std::string& name, milliseconds run_time, const std::string& machine = {},
                           const std::string& pool = "p") {
        vms.push_back(std::make_unique<fakes::task_vm>(loop, name, run_time));
        if (!machine.empty()) {
            vms.back()->set_machine(machine);
        }
        REQUIRE(vms.back()->listen({"127.0.0.1", 0}));
        store.put(platform::vm_key(name), vms.back()->registration(pool));
        return *vms.back();
    }

    /// Adds a machine whose VM starts a new incarnation shortly after each crash.
    fakes::task_machine& add_machine(const std::string& name, milliseconds run_time) {
        fakes::task_machine::settings options;
        options.name = name;
        options.run_time = run_time;
        machines.push_back(std::make_unique<fakes::task_machine>(loop, store, options));
        REQUIRE(machines.back()->start());
        return *machines.back();
    }

    /// Sends over a new connection and waits for the answer.
    http_answer answer_to(http_call request) {
        request.timeout = 6s; // Above the deadline in the call's headers.
        request.fresh_connection = true;
        http_answer result;
        bool done = false;
        client.send(std::move(request), [&](http_answer answer) {
            result = std::move(answer);
            done = true;
        });
        REQUIRE(until([&] { return done; }));
        return result;
    }

    /// `keys`: API keys, one header for each.
    http_answer call(const std::string& node, const std::string& method, const std::string& target,
                     const std::string& body = {}, const std::vector<std::string>& keys = {}) {
        http_call request;
        request.to = nodes[node].settings->clients;
        request.method = method;
        request.target = target;
        request.headers.add("Host", "h.example");
        request.headers.add("Deadline-Ms", "3000");
        for (const std::string& key : keys) {
            request.headers.add("X-Api-Key", key);
        }
        request.body = body;
        return answer_to(std::move(request));
    }

    static std::string job_body(int tasks, const std::string& payload = "s") {
        jobs::job_spec spec;
        spec.payload = payload;
        spec.steps.resize(1);
        spec.steps[0].count = static_cast<std::uint32_t>(tasks);
        spec.steps[0].need = {500, 64, 0};
        spec.steps[0].estimate_ms = 200;
        return platform::encode_job(spec);
    }

    bool until(const std::function<bool()>& condition) {
        return loop_until(loop, [&] {
            for (const auto& machine : machines) {
                machine->remove_expired_registrations();
            }
            return condition();
        });
    }

    /// Stores jobs of one task in the pool's inbox, as entries do before they report the jobs to clients as
    /// accepted.
    void store_in_inbox(const std::string& first_digits, std::size_t jobs) {
        for (std::size_t i = 0; i < jobs; ++i) {
            const std::string number = std::to_string(i);
            std::string id = first_digits;
            id.append(16 - first_digits.size() - number.size(), '0');
            id.append(number);
            store.put("sp/inbox/p/submit/" + id, encode_archive(one_task_record(id)));
        }
    }

    /// Returns the number of waiting jobs that the node reports; nothing if it reports none.
    std::optional<std::int64_t> pending_count(const std::string& node) {
        const http_answer answer = call(node, "GET", "/quotes/");
        if (answer.code != 200) {
            return std::nullopt;
        }
        return boost::json::parse(answer.body).at("pending").to_number<std::int64_t>();
    }

    /// Waits until a status call through `node` returns the phase.
    bool reaches_phase(const std::string& node, const std::string& job, const std::string& phase) {
        return until([&] {
            const http_answer answer = call(node, "GET", "/quotes/" + job);
            return answer.body.find("\"" + phase + "\"") != std::string::npos;
        });
    }

    /// Waits until the node accepts jobs.
    void wait_until_serving(const std::string& node) {
        REQUIRE(until([&] { return call(node, "GET", "/quotes/").code == 200; }));
    }

    /// Adds the VM "v1", starts the node "n1" and waits until the node accepts jobs.
    void serve_with_one_vm(milliseconds run_time) {
        add_vm("v1", run_time);
        start_node("n1");
        wait_until_serving("n1");
    }

    /// Waits until the VMs have started that many runs, ended ones included.
    bool until_started(std::size_t count) {
        return until([&] {
            std::size_t started = 0;
            for (const auto& vm : vms) {
                started += vm->runs().size();
            }
            return started == count;
        });
    }

    /// Returns a value from the node's metrics endpoint; -1 if the node doesn't report it.
    std::int64_t metric(const std::string& node, const std::string& name) {
        http_call request;
        request.to = nodes[node].settings->metrics;
        request.method = "GET";
        request.target = "/metrics";
        std::istringstream lines(answer_to(std::move(request)).body);
        std::string key;
        std::string value;
        while (lines >> key >> value) {
            if (key == name) {
                return std::stoll(value);
            }
        }
        return -1;
    }

    /// Checks from the VMs' own records that no task ran twice at the same time, or again after it was done.
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
                    if (&a != &b && a.started_at <= b.started_at) {
                        INFO(task, " attempts ", a.attempt, " and ", b.attempt);
                        CHECK(a.ended_at != timestamp(0));
                        CHECK(a.ended_at <= b.started_at);
                        CHECK(a.outcome != "done");
                    }
                }
            }
        }
    }

    /// Like check_runs_once(), for the VMs of machines. A run whose end was never acknowledged may be
    /// repeated: its VM may have crashed before the owner read the end.
    void check_machine_runs_once() const {
        std::map<std::string, std::vector<fakes::vm_run>> by_task;
        for (const auto& machine : machines) {
            for (const fakes::vm_run& item : machine->runs()) {
                by_task[item.run.task].push_back(item);
            }
        }
        for (const auto& item : by_task) {
            const std::string& task = item.first;
            const std::vector<fakes::vm_run>& runs = item.second;
            for (std::size_t i = 0; i < runs.size(); ++i) {
                for (std::size_t k = 0; k < runs.size(); ++k) {
                    const fakes::task_vm::run_record& a = runs[i].run;
                    const fakes::task_vm::run_record& b = runs[k].run;
                    if (i != k && a.started_at <= b.started_at) {
                        INFO(task, " attempts ", a.attempt, " and ", b.attempt);
                        CHECK(a.ended_at != timestamp(0));
                        CHECK(a.ended_at <= b.started_at);
                        const bool done = a.outcome == "done" && a.acknowledged != timestamp(0);
                        CHECK_FALSE(done);
                    }
                }
            }
        }
    }

    [[nodiscard]] std::size_t done_runs() const {
        std::size_t count = 0;
        for (const auto& vm : vms) {
            for (const auto& run : vm->runs()) {
                count += run.outcome == "done" ? 1 : 0;
            }
        }
        return count;
    }

    event_loop loop;
    fakes::platform_store store;
    http_client client;
    std::vector<std::unique_ptr<fakes::task_vm>> vms;
    std::vector<std::unique_ptr<fakes::task_machine>> machines;
    std::map<std::string, running_node> nodes;
};

} // namespace siskinpaddle::tests
