#pragma once

#include "policy/policy.hpp"

#include <map>
#include <queue>
#include <string>
#include <vector>

namespace siskinpaddle::bench {

/// Size of the simulated fleet and its failure rates.
struct fleet_shape {
    int vms = 50;
    int pools = 5;
    int zones = 4;
    int vms_per_rack = 4;
    double failures_per_day = 6;  ///< Machines that are down for hours.
    double restarts_per_day = 88; ///< Machines that return after minutes.
    double rack_failures_per_month = 0.67;
    double zone_failures_per_month = 0.5;
};

/// The policy under test: how pools are sized, how wide waves are and how jobs are placed.
struct policy_choice {
    std::string name;
    planner_options planning;
    placement_options placing;
    std::int64_t spare_percent = 0; ///< Spare VMs of each pool, in percent of its promised VMs.
    std::int64_t min_spare_vms = 0;
    std::int64_t shared_free_vms = 0;    ///< VMs that belong to no pool.
    std::int64_t wave_width_percent = 0; ///< VMs of the wave in maintenance at once; at least one VM.
    bool has_single_wave = false;        ///< One wave over the fleet instead of one per pool.
};

/// Results of five simulated weeks.
struct policy_metrics {
    double buffer_ratio = 0;
    std::int64_t job_moves = 0;
    std::int64_t vm_moves = 0;
    double wave_hours = 0;
    std::int64_t planned_breaches = 0;
    std::int64_t failure_breaches = 0;
    double failure_breach_vm_hours = 0;
    std::int64_t late_urgent = 0;
    double cpu_us_per_decision = 0;
    // Reported with the values above, because a policy could improve those at the expense of these.
    std::int64_t vms = 0;
    std::int64_t promised = 0;
    std::int64_t vms_maintained = 0;
    std::int64_t jobs_done = 0;
    std::int64_t jobs_urgent = 0;
    std::int64_t jobs_refused = 0;
    std::int64_t jobs_left = 0;
};

/// Returns the processor time of the calling thread, in seconds.
[[nodiscard]] double cpu_seconds();

/// Simulates five weeks of one fleet under one policy: runs the decision functions on a simulated clock, with
/// seeded failures and jobs. Models what the fleet reports to the planner, not machines or networks.
class fleet_model {
  public:
    fleet_model(const fleet_shape& shape, const policy_choice& choice, std::uint64_t seed);

    policy_metrics run();

  private:
    enum class event_kind : std::uint8_t {
        vm_returns,
        vm_fails,
        vm_restarts,
        rack_fails,
        zone_fails,
        job_arrives,
        job_ends,
        reboot_ends,
        job_stopped
    };

    struct event {
        timestamp at{0};
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::job_arrives;
        std::string subject;
        std::uint64_t epoch = 0;

        bool operator>(const event& other) const {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct simulated_job {
        milliseconds remaining{0};
        timestamp running_since{0};
        timestamp arrived_at{0};
        bool is_urgent = false;
        bool has_started = false;
    };

    void build_fleet();
    [[nodiscard]] std::int64_t build_pools();
    /// Returns the initial pool of each VM, in the order of the VMs.
    [[nodiscard]] std::vector<std::string> compute_initial_pools() const;
    void assign_initial_pools(const std::vector<std::string>& pools);
    void schedule(milliseconds delay, event_kind kind, std::string subject = {}, std::uint64_t epoch = 0);
    [[nodiscard]] milliseconds draw_interval(double per_day);
    void handle_event(const event& item);
    void fail_vm(const std::string& vm, milliseconds downtime);
    void handle_job_arrival(const std::string& pool);
    void handle_job_end(const std::string& name, std::uint64_t epoch);
    void handle_job_stopped(const std::string& name, std::uint64_t epoch);

    void run_decision_rounds();
    bool run_planner();
    bool place_pool_jobs(const std::string& pool);
    void apply_placement(const std::string& pool);
    void update_observations();
    [[nodiscard]] bool has_vms_in_transition() const;
    void count_serving_vms();
    void accumulate_metrics(milliseconds elapsed);
    void record_planned_steps(const fleet_plan& plan);
    [[nodiscard]] bool is_up(const std::string& vm) const { return !m_down_until.contains(vm); }

    fleet_shape m_shape;
    policy_choice m_choice;
    random_source m_random;
    configuration m_config;
    fleet_record m_fleet;
    observations m_observations;
    planner m_planner;
    usage_estimates m_usage;
    std::map<std::string, job_table> m_jobs;
    std::map<std::string, std::map<std::string, simulated_job>> m_simulated_jobs;
    std::map<std::string, listed_vm> m_listed_vms;
    std::map<std::string, timestamp> m_down_until;
    std::map<std::string, bool> m_breached_pools;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_event_sequence = 0;
    std::uint64_t m_last_job_number = 0;
    timestamp m_now{0};
    policy_metrics m_metrics;
    std::uint64_t m_decision_count = 0;
    double m_decision_seconds = 0;
    std::map<std::string, std::int64_t> m_serving_vms; ///< VMs that are up and serving, per pool.
    bool m_has_wave_remaining = true;
    bool m_counts_stale = true;
    timestamp m_wave_ended_at{0};
    double m_buffer_vm_ms = 0;
    double m_breach_vm_ms = 0;
};

} // namespace siskinpaddle::bench
