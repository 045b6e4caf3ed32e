#pragma once

#include "node/node_deployment.hpp"

#include <algorithm>
#include <array>

namespace siskinpaddle::tests {

inline const std::string ending_job = "aaaaaaaaaaaaaaaa";
inline const std::string lasting_job = "bbbbbbbbbbbbbbbb";

/// Pools "p" and "q" with a VM each, and the queues "quotes" and "fares", whose pools the operator changes.
class moving_queue : public node_deployment {
  public:
    static constexpr std::uint32_t max_attempts = 3;

    explicit moving_queue(const std::vector<std::string>& node_names = {"n1", "n2"}) : m_names(node_names) {
        add_vm("v1", 100ms);
        add_vm("v2", 100ms, {}, "q");
        publish();
        for (const std::string& name : m_names) {
            start_node(name);
        }
        for (const std::string& name : m_names) {
            wait_until_serving(name);
        }
    }

    /// Leads a queue to a pool; an empty name removes the queue. Waits until all nodes have the version.
    void lead(const std::string& queue, const std::string& pool) {
        m_pools[queue] = pool;
        publish();
        wait_until_in_force();
    }

    /// Writes the configuration without waiting for it.
    void publish() {
        jobs::fleet_configuration result;
        result.version = ++m_version;
        for (const auto& [name, pool] : m_pools) {
            if (!pool.empty()) {
                jobs::queue_settings queue = quotes_queue("/" + name + "/");
                queue.name = name;
                queue.pool = pool;
                queue.max_attempts = max_attempts;
                result.queues.push_back(queue);
            }
        }
        result.pools = {{"p", false}, {"q", false}};
        result.max_body_bytes = 65'536;
        configure(platform::encode_configuration(result));
    }
    void set_pool(const std::string& queue, const std::string& pool) { m_pools[queue] = pool; }

    void wait_until_in_force() {
        REQUIRE(until([&] {
            return std::ranges::all_of(m_names, [&](const std::string& name) {
                return metric(name, "siskinpaddle_configuration_version") == m_version;
            });
        }));
    }

    void restart_all_nodes() {
        for (const std::string& name : m_names) {
            kill_node(name);
        }
        for (const std::string& name : m_names) {
            start_node(name);
        }
        wait_until_in_force();
    }

    /// The node that owns the pool; empty if none does.
    [[nodiscard]] std::string owner_of(const std::string& pool) {
        const auto found = std::ranges::find_if(m_names, [&](const std::string& name) {
            return metric(name, "siskinpaddle_pool_jobs{pool=\"" + pool + "\"}") >= 0;
        });
        return found == m_names.end() ? std::string() : *found;
    }

    static std::string lasting_body() {
        jobs::job_spec spec;
        spec.payload = fakes::task_vm::long_lived_payload;
        spec.steps.resize(1);
        spec.steps[0].need = {500, 64, 0};
        spec.steps[0].long_lived = true;
        return platform::encode_job(spec);
    }

    int submit(const std::string& node, const std::string& job) {
        return call(node, "POST", "/quotes/" + job, job == lasting_job ? lasting_body() : job_body(1)).code;
    }

    /// Submits without waiting for the answer.
    void submit_later(const std::string& node, const std::string& job, std::function<void(int)> answered) {
        http_call request;
        request.to = nodes[node].settings->clients;
        request.method = "POST";
        request.target = "/quotes/" + job;
        request.headers.add("Host", "h.example");
        request.headers.add("Deadline-Ms", "3000");
        request.body = job_body(1);
        request.timeout = 6s;
        request.fresh_connection = true;
        client.send(std::move(request),
                    [answered = std::move(answered)](const http_answer& answer) { answered(answer.code); });
    }

    /// Submits both jobs to "quotes"; afterwards one is completed, and the other is at work.
    void submit_both() {
        REQUIRE(submit("n1", ending_job) == 200);
        REQUIRE(submit("n1", lasting_job) == 200);
        REQUIRE(reaches_phase("n1", ending_job, "completed"));
        REQUIRE(reaches_phase("n1", lasting_job, "running"));
    }

    [[nodiscard]] std::size_t starts_of(const std::string& job) const {
        std::size_t count = 0;
        for (const auto& vm : vms) {
            count += static_cast<std::size_t>(std::ranges::count_if(
                vm->runs(), [&](const auto& run) { return run.task.starts_with(job); }));
        }
        return count;
    }

    void wait(milliseconds time) {
        const timestamp end = event_loop::now() + time;
        REQUIRE(until([&] { return event_loop::now() >= end; }));
    }

    [[nodiscard]] const std::vector<std::string>& names() const noexcept { return m_names; }

  private:
    std::vector<std::string> m_names;
    std::map<std::string, std::string> m_pools{{"quotes", "p"}, {"fares", "q"}};
    std::int64_t m_version = 10;
};

} // namespace siskinpaddle::tests
