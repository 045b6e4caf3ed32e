#pragma once

#include "soak/world.hpp"

#include <random>

namespace siskinpaddle::soak {

/// Clients of the nodes: they hand jobs in, ask for them, cancel some, and ask how many wait and which
/// configuration is in force. They keep their connections open and use them until they break. Not
/// thread-safe.
class callers {
  public:
    callers(event_loop& loop, world& deployment, std::uint64_t seed);

    /// Hands jobs in from now on.
    void start();
    /// Hands no more in; goes on asking for what was accepted, and cancels what doesn't end by itself.
    void stop_submitting() { m_submitting = false; }
    /// Hands in at once more jobs than the VMs begin within seconds, all of which end by themselves.
    void submit_burst();

    [[nodiscard]] const std::map<std::string, job_history>& jobs() const noexcept { return m_jobs; }
    [[nodiscard]] const std::vector<std::string>& problems() const noexcept { return m_problems; }
    /// Nodes on which the newest configuration was seen.
    [[nodiscard]] std::size_t nodes_up_to_date() const;
    /// Whether the outcome of every submit is known, or won't be.
    [[nodiscard]] bool all_answered() const;
    /// Counts of waiting jobs, in the order of their answers.
    [[nodiscard]] const std::vector<told_count>& counts() const noexcept { return m_counts; }
    /// Answers by their code; 0: none.
    [[nodiscard]] const std::map<int, std::size_t>& answers() const noexcept { return m_answers; }

  private:
    /// What was seen of one process of a node.
    struct seen_configuration {
        std::uint32_t incarnation = 0;
        std::int64_t version = 0;
        bool asking = false;
    };

    void turn();
    void hand_in(bool endless);
    [[nodiscard]] bool in_burst() const;
    void submit(const std::string& id, std::uint32_t tries);
    void submit_answered(const std::string& id, std::uint32_t tries, const http_answer& answer);
    void ask(const std::string& id);
    /// `failed_before`: the job had been shown as failed when it was asked for.
    void asked(const std::string& id, bool failed_before, const http_answer& answer);
    void cancel(const std::string& id);
    void cancel_endless();
    void ask_count(std::uint32_t node);
    void probe(std::uint32_t node);
    void probed(std::uint32_t node, std::int64_t version, seen_configuration before, int code);
    void send(std::uint32_t node, const std::string& method, const std::string& target, std::string body,
              std::function<void(const http_answer&)> done);
    [[nodiscard]] std::uint32_t some_node() {
        return static_cast<std::uint32_t>(m_random() % m_world.nodes());
    }

    event_loop& m_loop;
    world& m_world;
    http_client m_client;
    std::unique_ptr<timer> m_timer;
    std::mt19937_64 m_random;
    std::mt19937_64 m_faulty_random; ///< Apart, so that the rest of a seed's calls stays as it is.
    std::map<std::string, job_history> m_jobs;
    std::vector<seen_configuration> m_seen;
    std::vector<told_count> m_counts;
    std::map<int, std::size_t> m_answers;
    std::vector<std::string> m_problems;
    std::uint64_t m_turns = 0;
    bool m_submitting = true;
};

} // namespace siskinpaddle::soak
