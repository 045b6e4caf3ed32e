#pragma once

#include "control/state_task.hpp"

#include <memory>
#include <set>
#include <string>

namespace siskinpaddle {

/// Result of the last planning step, for status reports to operators.
struct planner_summary {
    bool holds_control_lease = false;
    std::vector<plan_wait> waits;
    availability_map pools;
};

/// Plans the fleet and places jobs while this entry holds the control lease. Every write is a
/// compare-and-swap on the store version that the plan was made from. A planner that is paused beyond the end
/// of its lease therefore can't overwrite the plans of its successor, which have changed that version. Not
/// thread-safe.
class planner_task {
  public:
    planner_task(event_loop& loop, const entry_settings& settings, platform_client& platform,
                 state_task& state, metrics& counters);

    void start();

    /// Releases the control lease and stops planning.
    void stop();

    [[nodiscard]] const planner_summary& summary() const noexcept { return m_summary; }

  private:
    void tick();
    void renew_lease();
    void read_vm_list();
    void plan_fleet();
    void write_plan(const fleet_plan& plan);
    void log_plan(const fleet_plan& plan);
    void request_reboots(const std::vector<reboot_action>& reboots);
    void count_tasks();
    void record_ended_tasks(timestamp now);
    void place_all_pools();
    void place_pool(const std::string& pool);
    [[nodiscard]] std::map<std::string, job_size> compute_team_usage(const std::string& excluded_pool) const;

    const entry_settings& m_settings;
    platform_client& m_platform;
    state_task& m_state;
    metrics& m_metrics;
    planner m_planner;
    planner_summary m_summary;
    observations m_observations;
    worker_health_tracker m_worker_health;
    usage_estimates m_usage;
    std::map<std::string, std::uint32_t> m_ended_tasks; ///< By VM: epoch below which all tasks have ended.
    std::map<std::string, std::pair<std::uint32_t, timestamp>> m_lease_wait_starts;
    std::map<std::string, std::uint64_t> m_placed;
    std::set<std::string> m_pools_being_written;
    std::map<std::string, timestamp> m_reboot_requests;
    timestamp m_lease_expires_at{0};
    timestamp m_next_renewal_at{0};
    timestamp m_next_list_read_at{0};
    byte_budget m_byte_budget;
    bool m_renewing = false;
    bool m_reading_list = false;
    bool m_writing = false;
    bool m_stopped = false;
    std::unique_ptr<timer> m_timer;
};

/// Duration of a worker's lease on a task, from the arrival of each renewing call.
inline constexpr milliseconds task_lease_duration = 10s;
/// Margin that is added to `task_lease_duration` before a task lease counts as expired. It covers clock drift
/// and calls that arrive late.
inline constexpr milliseconds task_lease_margin = 5s;

} // namespace siskinpaddle
