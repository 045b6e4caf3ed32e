#pragma once

#include "gateway/gateway.hpp"

#include <functional>
#include <memory>

namespace siskinpaddle {

/// One entry process put together: all its tasks on one loop, their start and their graceful stop.
class entry {
  public:
    entry(event_loop& loop, const entry_settings& settings);

    /// Binds every listener. Findings name each address that can't be bound.
    [[nodiscard]] findings listen();

    /// Starts all tasks. Precondition: listen() returned no findings.
    void start();

    /// Stops gracefully: takes no new requests, sees those in progress to their end, leaves the fleet record,
    /// then calls `stopped`.
    void drain(std::function<void()> on_stopped);

    /// Drops all traffic with peers while `cut` is set, as a partition would. For tests and drills.
    void set_partitioned(bool partitioned) { m_state.set_partitioned(partitioned); }

  private:
    void tick();
    void finish_drain();

    event_loop& m_loop;
    const entry_settings& m_settings;
    metrics m_metrics;
    platform_client m_platform;
    worker_client m_workers;
    state_task m_state;
    claim_task m_claims;
    registration_task m_registration;
    planner_task m_planner;
    runner_task m_runner;
    caller_gateway m_caller_gateway;
    operator_gateway m_operator_gateway;
    health_task m_health;
    std::unique_ptr<timer> m_timer;
    timestamp m_drain_started_at{0};
    timestamp m_idle_since{0};
    std::function<void()> m_on_stopped;
    std::uint64_t m_refused_messages = 0;
    bool m_draining = false;
    bool m_deregistering = false;
    bool m_was_ready = false;
};

} // namespace siskinpaddle
