#pragma once

#include "jobs/scheduler_fixture.hpp"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace siskinpaddle::tests {

/// VMs that leave a part of their orders unanswered, and carry some of these starts out late.
struct start_replay_settings {
    int unanswered_percent = 0;
    int late_percent = 50; ///< Of the unanswered starts; the others are never carried out.
    int job_count = 100;
    std::uint32_t tasks_per_job = 13;
    milliseconds job_interval = 100ms;
    milliseconds task_time = 300ms;
    scheduler_settings scheduler;
};

struct start_replay_result {
    std::vector<milliseconds> job_times; ///< Of the jobs that ended, from submission.
    std::size_t settled_starts = 0;
    std::size_t concurrent_runs = 0; ///< Starts of tasks that were running elsewhere.
};

/// A pool's scheduler with model VMs, without a network: each call takes a fixed time each way, and a poll is
/// answered at the end of a run or after its wait.
class start_replay {
  public:
    explicit start_replay(const start_replay_settings& settings, unsigned seed = 1);
    start_replay_result play();

  private:
    struct active_run {
        task_id task;
        std::uint32_t attempt = 0;
    };
    struct model_vm {
        std::map<task_id, std::uint32_t> refused_up_to; ///< Highest attempt that was stopped or has ended.
        std::vector<active_run> running;
        std::vector<end_report> ended;
        std::int64_t end_count = 0;
        bool poll_waits = false;
        std::size_t poll_number = 0;
        timestamp poll_sent_at{0};
    };

    void at(timestamp time, std::function<void()> action) { m_events.emplace(time, std::move(action)); }
    [[nodiscard]] bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    [[nodiscard]] std::int64_t vm_clock() const { return m_now.count() + 1000; }
    void add_jobs();
    void decide();
    void send_start(const start_order& order);
    void send_stop(const stop_order& order);
    order_outcome execute_start(const start_order& order);
    void execute_stop(const stop_order& order);
    void end_run(const std::string& vm, const active_run& item, run_end how);
    void send_poll(const std::string& vm);
    void answer_poll(const std::string& vm);
    void request_report(const std::string& vm);
    [[nodiscard]] vm_report report_of(const std::string& vm, timestamp requested_at);
    void deliver(const std::string& vm, const vm_report& report);

    start_replay_settings m_settings;
    std::mt19937 m_random;
    timestamp m_now{100'000};
    scheduler m_scheduler;
    std::map<std::string, model_vm> m_vms;
    std::multimap<timestamp, std::function<void()>> m_events;
    std::map<std::string, timestamp> m_submitted;
    std::multiset<task_id> m_running;
    start_replay_result m_result;
};

} // namespace siskinpaddle::tests
