#pragma once

#include "jobs/scheduler_fixture.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// Simulates a pool whose VMs crash, in steps of 10 ms: machines that run one incarnation of a VM after the
/// other, tasks that run there, a store that holds what the pool's owner wrote, and owners that die. The
/// scheduler decides; everything else is simulated.
class crash_simulation {
  public:
    struct options {
        std::size_t machines = 8;
        milliseconds run_time{1000};
        milliseconds down_time{3500};      ///< From a crash to the next incarnation.
        milliseconds crash_delay{10};      ///< From the start of a faulty task to the crash.
        std::size_t jobs_per_s = 0;        ///< Healthy jobs that arrive.
        std::size_t tasks = 5;             ///< Of each of these jobs.
        std::int64_t cores = 5;            ///< Of each task; VMs have 32.
        std::size_t faulty_one_in = 0;     ///< One in this many arriving jobs has a faulty task.
        milliseconds arrivals{10'000};     ///< How long jobs arrive.
        std::size_t unanswered_one_in = 0; ///< One in this many starts is carried out without an answer.
        /// One in this many starts is carried out two seconds late, unless its deadline has passed.
        std::size_t late_one_in = 0;
    };
    /// A job whose task of this index crashes the VMs that start it.
    struct faulty_job {
        std::string id;
        std::uint32_t index = 0;
    };
    /// Results at the end, from the records of the VMs and the store.
    struct result {
        std::size_t healthy_failed = 0;     ///< Healthy jobs that were given up.
        std::size_t healthy_unfinished = 0; ///< Healthy jobs that are not completed.
        std::size_t faulty_not_failed = 0;  ///< Faulty jobs that are not shown as failed.
        /// Maximum for one faulty task, after three VMs had crashed under it.
        std::size_t starts_after_three_crashes = 0;
        /// Maximum number of VMs that were down at a time because of faulty tasks.
        std::size_t max_crashed_vms = 0;
        /// Longest time from the loss of a healthy task with its VM to its next start.
        milliseconds longest_restart_delay{0};
        std::size_t suspects_left = 0; ///< Tasks with crash evidence at the end.
    };

    explicit crash_simulation(options settings);

    /// Called in each step, to inject disturbances.
    std::function<void(milliseconds since_begin)> on_step;

    void add_job(const job_record& record, std::optional<std::uint32_t> faulty_index = {});

    void run(milliseconds length);

    /// Precondition: there is an owner.
    [[nodiscard]] result outcome() const;

    // --- Disturbances ---

    /// Ends the current incarnation of the machine's VM. `quiet`: without breaking connections.
    void crash_vm(std::size_t machine, milliseconds down_time, bool quiet = false) {
        end_incarnation(m_machines[machine], down_time, quiet);
    }
    /// Makes the VM unreachable for this time; it keeps running.
    void make_unreachable(std::size_t machine, milliseconds time) {
        m_machines[machine].unreachable_until = m_now + time;
    }
    void drain_vm(std::size_t machine);
    /// Kills the owner; another takes over after `gap`.
    void kill_owner(milliseconds gap);
    /// Makes the store unresponsive for this time.
    void silence_store(milliseconds time) { m_store_until = m_now + time; }
    [[nodiscard]] std::size_t machines() const { return m_machines.size(); }
    [[nodiscard]] const std::string& rack_of(std::size_t machine) const { return m_machines[machine].rack; }

  private:
    static constexpr milliseconds step_time{10};
    static constexpr milliseconds report_interval{400};
    static constexpr milliseconds delist_after{4500};
    static constexpr milliseconds store_time{10};
    static constexpr milliseconds order_timeout{800};
    static constexpr milliseconds late_time{2000};
    static constexpr milliseconds gang_timeout{3000};
    static constexpr timestamp begin{100'000};

    struct active_run {
        start_order order;
        timestamp started_at{0};
    };
    struct machine {
        std::string name;
        std::string rack;
        vm_info info;
        std::uint32_t incarnations = 0;
        std::vector<active_run> runs;
        std::vector<end_report> ends;
        std::optional<timestamp> next_incarnation_at; ///< Down until then.
        timestamp last_report_at{0};
        timestamp unreachable_until{0};
        timestamp crashes_at{0}; ///< 0: no crash is due.
        std::int64_t sequence = 0;
        bool crashed_by_faulty_task = false; ///< A faulty task caused its last crash.
        /// Incarnations whose end has not been reported to any owner.
        std::vector<std::string> unreported_ended_vms;
        timestamp lease_until{0};
    };
    struct late_order {
        start_order order;
        timestamp due{0};
    };
    struct pending_write {
        store_batch batch;
        std::map<std::string, std::pair<std::uint64_t, job_progress>> jobs;
        timestamp due{0};
    };

    [[nodiscard]] bool is_faulty(const task_id& task) const;
    [[nodiscard]] bool reachable(const machine& item) const {
        return !item.next_incarnation_at && m_now >= item.unreachable_until;
    }
    [[nodiscard]] std::int64_t vm_clock() const { return m_now.count() + 1000; }

    void start_incarnation(machine& item);

    void end_incarnation(machine& item, milliseconds down_time, bool quiet);

    /// Ends the other members of a gang with the lost one.
    void break_gang(const task_id& lost, const machine& where);

    void start_owner();

    void add_arriving_jobs();

    void advance_step();

    /// Ends runs that are done or whose lease has expired. Reports follow their own interval.
    void end_finished_runs(machine& item);

    [[nodiscard]] std::optional<run_end> end_of(const machine& item, const active_run& run) const;

    /// Whether all members of the gang are present. Members that have just ended as done count.
    [[nodiscard]] bool is_complete(const start_order& order) const;

    void report_to_owner();

    void forget_acknowledged(machine& item);

    void decide();

    machine* machine_of(const std::string& vm);

    void start(const start_order& order);

    void begin_run(machine& item, const start_order& order);

    /// Processes orders that are due: late ones at their VMs, and missing answers at the owner.
    void process_late_orders();

    void stop(const stop_order& order);

    void begin_write();

    void finish_writes();

    options m_options;
    timestamp m_now{begin};
    std::vector<machine> m_machines;
    std::unique_ptr<scheduler> m_owner;
    timestamp m_owner_at{0};
    std::uint32_t m_epoch = 0;
    std::map<std::string, job_record> m_records;
    std::map<std::string, job_progress> m_stored;
    std::map<std::string, vm_info> m_recorded; ///< VMs that have had runs.
    std::vector<pending_write> m_writes;
    timestamp m_store_until{0};
    std::map<std::string, std::uint32_t> m_faulty;
    std::map<task_id, std::size_t> m_crashes; ///< Number of VMs that each faulty task has crashed.
    std::map<task_id, std::size_t> m_starts_after_three_crashes;
    std::map<task_id, timestamp> m_lost_at;
    std::map<std::string, timestamp> m_delist_at;
    std::vector<late_order> m_late_orders;
    std::vector<late_order> m_unanswered;
    std::size_t m_orders = 0;
    std::size_t m_arrived = 0;
    std::size_t m_max_crashed_vms = 0;
    milliseconds m_longest_restart_delay{0};
};

} // namespace siskinpaddle::tests
