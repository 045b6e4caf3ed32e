#pragma once

#include "control/control.hpp"
#include "gateway/caller_request.hpp"

#include <map>
#include <memory>
#include <string>

namespace siskinpaddle {

/// Accepts callers' requests and gives each exactly one final answer: the complete answer of a target, or an
/// error answer of this entry. Not thread-safe.
class caller_gateway {
  public:
    caller_gateway(event_loop& loop, const entry_settings& settings, state_task& state, claim_task& claims,
                   metrics& counters);

    /// Returns false when the address can't be bound.
    [[nodiscard]] bool listen();
    void start();

    /// Rejects new requests; requests in progress are completed.
    void drain();
    [[nodiscard]] bool is_idle() const { return m_requests.empty() && m_server.requests_in_progress() == 0; }
    [[nodiscard]] bool is_ready() const;

    void on_health_check(const std::string& vm, bool passed);
    [[nodiscard]] const target_table& targets() const noexcept { return m_targets; }

  private:
    void apply_config_and_fleet();
    void handle_request(std::shared_ptr<server_request> incoming);
    void reply_health(server_request& incoming) const;
    [[nodiscard]] bool reject_if_not_ready(server_request& incoming);
    void admit(caller_request request);
    void dispatch_waiting(const std::string& pool);
    void tick();

    void dispatch(std::uint64_t id);
    void claim_then_send(caller_request& request);
    void send(caller_request& request);
    void on_answer(std::uint64_t id, const http_answer& answer);
    void retry(caller_request& request, attempt_result result);

    void deliver(caller_request& request, const http_answer& answer);
    void fail_request(std::uint64_t id, answer_code code, int retry_after_s = 0);
    void finish_request(std::uint64_t id, milliseconds service_time);
    void reply_from_entry(server_request& incoming, answer_code code, int retry_after_s, std::uint64_t id);
    [[nodiscard]] pool_load make_pool_load(const std::string& pool) const;
    [[nodiscard]] bool check_for_pause();

    event_loop& m_loop;
    const entry_settings& m_settings;
    state_task& m_state;
    claim_task& m_claims;
    metrics& m_metrics;
    http_server m_server;
    http_client m_client;
    target_table m_targets;
    admission_controller m_admission;
    pause_detector m_pause_detector;
    random_source m_random;
    std::map<std::string, retry_budget> m_budgets;
    std::map<std::uint64_t, caller_request> m_requests;
    std::uint64_t m_next_id;
    bool m_draining = false;
    bool m_refreshing = false;
    std::unique_ptr<timer> m_timer;
    lifetime m_lifetime;
};

} // namespace siskinpaddle
