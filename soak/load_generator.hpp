#pragma once

#include "soak/load_script.hpp"
#include "soak/retry_schedule.hpp"
#include "soak/share_checks.hpp"
#include "soak/test_cluster.hpp"

#include <random>

namespace siskinpaddle::soak {

/// Simulates clients of the nodes: submits jobs, queries them, cancels some, and queries the number of
/// waiting jobs and the configuration in force. Connections are kept open and reused until they break. Not
/// thread-safe.
class load_generator {
  public:
    /// `hard_load`: accounts are hot for some seconds, and some tasks run far longer than estimated.
    load_generator(event_loop& loop, test_cluster& cluster, std::uint64_t seed, bool hard_load);

    /// Starts submitting jobs periodically.
    void start();
    /// Stops submitting jobs. Accepted jobs are still queried, and long-lived ones are cancelled.
    void stop_submitting() { m_submitting = false; }
    /// Immediately submits more jobs than the VMs can start within seconds. None of them is long-lived.
    void submit_burst();

    [[nodiscard]] const std::map<std::string, job_history>& jobs() const noexcept { return m_jobs; }
    [[nodiscard]] const std::vector<std::string>& problems() const noexcept { return m_problems; }
    /// Number of nodes on which the newest configuration was observed.
    [[nodiscard]] std::size_t count_up_to_date_nodes() const;
    /// Whether no submit is in flight: each outcome is known, or all attempts for it are used up.
    [[nodiscard]] bool all_submits_resolved() const;
    /// Reported counts of waiting jobs, in the order in which the answers arrived.
    [[nodiscard]] const std::vector<reported_count>& counts() const noexcept { return m_counts; }
    /// Submits to the first queue that the pool's owner accepted or refused for load.
    [[nodiscard]] const std::vector<judged_submit>& judged() const noexcept { return m_judged; }
    /// Number of answers by status code; 0 counts calls without an answer.
    [[nodiscard]] const std::map<int, std::size_t>& answers() const noexcept { return m_answers; }

  private:
    /// Newest configuration observed on one process of a node.
    struct observed_configuration {
        std::uint32_t incarnation = 0;
        std::int64_t version = 0;
        bool is_probing = false;
    };

    void run_iteration();
    void submit_new_job(bool long_lived);
    void submit_job(const std::string& id, job_history& job);
    void submit_hot_jobs();
    void repeat_moving_job();
    void record_judgement(const std::string& id, std::int64_t owner, const http_answer& answer);
    [[nodiscard]] bool is_in_burst() const;
    void submit(const std::string& id, std::uint32_t attempt);
    void process_submit_answer(const std::string& id, std::uint32_t attempt, const http_answer& answer);
    void query_job(const std::string& id);
    /// `was_shown_failed`: the job had been shown as failed before this query was sent.
    void process_job_answer(const std::string& id, bool was_shown_failed, const http_answer& answer);
    void cancel(const std::string& id);
    void cancel_long_lived();
    void probe_access();
    void query_count(std::uint32_t node);
    void probe_configuration(std::uint32_t node);
    /// Reads the version in force from the node's metrics.
    void read_version(std::uint32_t node);
    void check_configuration(std::uint32_t node, const configuration_report& report);
    void process_probe_answer(std::uint32_t node, std::int64_t version, observed_configuration previous,
                              int code);
    /// A client's call; `key` is empty for a call without an API key.
    struct client_call {
        std::string method;
        std::string target;
        std::string body;
        std::string key;
    };
    void send(std::uint32_t node, client_call call, std::function<void(const http_answer&)> done);
    [[nodiscard]] std::string target_of(const std::string& job) const;
    [[nodiscard]] std::string key_of(const std::string& job);
    [[nodiscard]] std::uint32_t random_node() { return random_node_of(m_random); }
    [[nodiscard]] std::uint32_t random_node_of(std::mt19937_64& random) const {
        return static_cast<std::uint32_t>(random() % m_cluster.nodes());
    }

    event_loop& m_loop;
    test_cluster& m_cluster;
    http_client m_client;
    std::unique_ptr<timer> m_timer;
    std::mt19937_64 m_random;
    std::mt19937_64 m_faulty_random;  ///< Separate, so that a seed's other calls don't change.
    std::mt19937_64 m_account_random; ///< Likewise.
    std::mt19937_64 m_moving_random;  ///< Likewise.
    std::map<std::string, job_history> m_jobs;
    load_script m_script;
    bool m_hard_load;
    retry_schedule m_retries;
    std::vector<judged_submit> m_judged;
    timestamp m_started_at{0};
    std::vector<observed_configuration> m_observed_configurations;
    std::vector<reported_count> m_counts;
    std::map<int, std::size_t> m_answers;
    std::vector<std::string> m_problems;
    std::uint64_t m_iterations = 0;
    bool m_submitting = true;
};

} // namespace siskinpaddle::soak
