#pragma once

#include "fakes/platform_store.hpp"
#include "fakes/task_machine.hpp"
#include "net/net.hpp"
#include "platform/platform.hpp"
#include "soak/child_process.hpp"

#include <boost/json.hpp>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinpaddle::review {

/// Exit codes of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/// Bounds of the deployment that the cases are like, as its page states them.
inline constexpr milliseconds config_apply_time{2000};
inline constexpr milliseconds visible_time{3000};
inline constexpr milliseconds cancel_time{3000};
inline constexpr milliseconds contact_time{3000};

struct case_options {
    std::string node_program;
    std::string folder;      ///< Temporary; for settings and logs of the nodes.
    std::string record_path; ///< What was sent, answered and run.
    bool trouble = true;     ///< Whether the disruption happens.
    std::string part;        ///< The part of the disruption that happens alone; empty: all of it.
};

/// Reads the command line. Returns false if it is incomplete.
[[nodiscard]] bool read_options(int argc, char** argv, case_options& options);

/// A run with the times of the case's clock.
struct observed_run {
    std::string vm;
    std::string task;
    std::int64_t attempt = 0;
    milliseconds started{0};
    milliseconds ended{0}; ///< Of a run that has not ended: now.
    bool is_running = false;
    std::string outcome;
};

/// A small deployment: nodes as processes of their own, and in this process the stand-ins of the store, the
/// machines' interface, the VMs and the clients. Drives its event loop while it waits. Not thread-safe.
class deployment {
  public:
    explicit deployment(case_options options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Adds `count` machines to the pool; their tasks take `run_time` unless they last.
    void add_machines(const std::string& pool, int count, milliseconds run_time);
    [[nodiscard]] fakes::task_machine& machine(const std::string& name) { return *m_machines.at(name).item; }
    /// Writes a configuration with these queues, as the operator. The store acknowledges it at once.
    void publish(std::int64_t version, const std::vector<jobs::queue_settings>& queues,
                 const std::vector<std::string>& pools);
    /// Starts the nodes and waits until all of them are ready. Returns false if they don't get ready.
    [[nodiscard]] bool start(int nodes);

    void wait(milliseconds time);
    /// Waits until `condition` holds; returns false after `limit`.
    bool wait_until(const std::function<bool()>& condition, milliseconds limit);

    /// Sends a client's request to a node and waits for the answer. Returns the status, 0 without an answer.
    int call(int node, const std::string& method, const std::string& path, const std::string& body = {});
    /// Body of the last answer.
    [[nodiscard]] const std::string& last_body() const noexcept { return m_last_body; }

    void signal_node(int node, int signal_number);
    [[nodiscard]] bool is_running(int node) { return m_nodes.at(node).process->is_running(); }
    void restart_node(int node);

    [[nodiscard]] std::vector<observed_run> runs() const;
    /// The run of the task that is at work, if any.
    [[nodiscard]] std::vector<observed_run> running(const std::string& task) const;
    [[nodiscard]] milliseconds now() const { return event_loop::now() - m_began; }
    /// Writes a line to the record.
    void note(const std::string& text);
    /// Writes all runs of the VMs to the record.
    void note_runs();

  private:
    struct node_state {
        std::string id;
        std::string settings;
        std::string log;
        endpoint clients;
        endpoint readiness;
        std::unique_ptr<soak::child_process> process;
    };
    struct machine_state {
        std::unique_ptr<fakes::task_machine> item;
        std::string pool;
    };

    void add_node(int number);
    void answer_machine_call(const std::shared_ptr<server_request>& request) const;
    http_answer exchange(http_call call);
    void remove_expired_registrations();

    case_options m_options;
    event_loop m_loop;
    timestamp m_began;
    fakes::platform_store m_store;
    http_server m_machine_server;
    http_client m_client;
    std::unique_ptr<timer> m_registration_timer;
    std::map<std::string, machine_state> m_machines;
    std::vector<node_state> m_nodes;
    std::ofstream m_record;
    std::string m_last_body;
};

/// A queue of the deployment that sends jobs to `pool`.
[[nodiscard]] jobs::queue_settings make_queue(const std::string& name, const std::string& pool);
/// Path of a job of the queue.
[[nodiscard]] std::string job_path(const std::string& queue, const std::string& job);

} // namespace siskinpaddle::review
