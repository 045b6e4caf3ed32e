#pragma once

#include "control/control.hpp"

#include <functional>
#include <memory>
#include <string>

namespace siskinpaddle {

/// Serves operators' requests: configuration patches, queries and jobs. Every request except /metrics and
/// /health must carry the credential of a member. Only an admin can change what another member owns, or
/// read, submit or cancel jobs in another member's pools. Not thread-safe.
class operator_gateway {
  public:
    operator_gateway(event_loop& loop, const entry_settings& settings, platform_client& platform,
                     state_task& state, planner_task& planner, metrics& counters);

    /// Returns false when the address can't be bound.
    [[nodiscard]] bool listen();
    void drain() { m_server.drain(); }

  private:
    using request_ptr = std::shared_ptr<server_request>;
    using action = void (operator_gateway::*)(const request_ptr& request, const std::string& member);
    struct route {
        std::string_view method;
        std::string_view path; ///< A path that ends with '/' matches as a prefix.
        action handler;
    };
    static const std::vector<route>& routes();

    void handle_request(const request_ptr& request);
    [[nodiscard]] std::string authenticate(const server_request& request) const;

    void submit_patch(const request_ptr& request, const std::string& member);
    void check_patch(const request_ptr& request, const std::string& member);
    void show_config(const request_ptr& request, const std::string& member);
    void show_status(const request_ptr& request, const std::string& member);
    void show_pools(const request_ptr& request, const std::string& member);
    void show_vms(const request_ptr& request, const std::string& member);
    void show_waves(const request_ptr& request, const std::string& member);
    void list_jobs(const request_ptr& request, const std::string& member);
    void show_job(const request_ptr& request, const std::string& member);
    void submit_job(const request_ptr& request, const std::string& member);
    void cancel_job(const request_ptr& request, const std::string& member);

    [[nodiscard]] bool forward_to_planner(const request_ptr& request);
    void reply_patch_result(const request_ptr& request, const std::string& member,
                            const patch_result& result);
    [[nodiscard]] bool parse_patch(const request_ptr& request, const std::string& member,
                                   patch_request& patch);
    [[nodiscard]] bool can_manage_pool(const std::string& member, const std::string& pool) const;
    void update_jobs(const request_ptr& request, const std::string& pool,
                     std::function<bool(job_table&, std::string& refusal)> change,
                     std::function<void(const job_table&)> done);

    const entry_settings& m_settings;
    platform_client& m_platform;
    state_task& m_state;
    planner_task& m_planner;
    metrics& m_metrics;
    http_server m_server;
    http_client m_client;
};

} // namespace siskinpaddle
