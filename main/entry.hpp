#pragma once

#include "gateway/gateway.hpp"

#include <functional>
#include <memory>

namespace siskinpaddle {

/// The complete front-end process: owns all tasks, runs them on one event loop, starts them and stops them
/// gracefully.
class entry {
  public:
    entry(event_loop& loop, const entry_settings& settings);

    /// Binds all listeners. Returns one finding for each address that can't be bound.
    [[nodiscard]] findings listen();

    /// Starts all tasks. Precondition: listen() returned no findings.
    void start();

    /// Stops gracefully: rejects new requests, completes those in progress, removes this entry from the fleet
    /// record, then calls `on_stopped`. Requests still in progress after the `drain_bound_ms` setting are not
    /// waited for. Further calls have no effect.
    void drain(std::function<void()> on_stopped);

    /// Simulates a network partition in tests and drills while `partitioned` is true: this entry neither
    /// sends nor accepts heartbeats and answers no requests from peers. Its own pulls and probes are not
    /// affected.
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
