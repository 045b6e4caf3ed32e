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

    explicit crash_simulation(options settings) : m_options(settings) {
        for (std::size_t i = 0; i < m_options.machines; ++i) {
            machine item;
            item.name = "m" + std::to_string(i);
            item.rack = "r" + std::to_string(i / 4);
            m_machines.push_back(std::move(item));
            start_incarnation(m_machines.back());
        }
        start_owner();
    }

    /// Called in each step, to inject disturbances.
    std::function<void(milliseconds since_begin)> on_step;

    void add_job(const job_record& record, std::optional<std::uint32_t> faulty_index = {}) {
        m_records[record.spec.id] = record;
        if (faulty_index) {
            m_faulty[record.spec.id] = *faulty_index;
        }
        if (m_owner) {
            m_owner->add_job(record, m_now);
        }
    }

    void run(milliseconds length) {
        for (milliseconds passed(0); passed < length; passed += step_time) {
            m_now += step_time;
            if (on_step) {
                on_step(m_now - begin);
            }
            add_arriving_jobs();
            advance_step();
        }
    }

    /// Precondition: there is an owner.
    [[nodiscard]] result outcome() const {
        result all;
        for (const auto& [id, record] : m_records) {
            const job_phase phase = m_owner->phase_of(id).value_or(job_phase::cancelled);
            const bool faulty = m_faulty.contains(id);
            const bool running = record.spec.is_long_lived() && phase == job_phase::running;
            all.faulty_not_failed += faulty && phase != job_phase::failed ? 1 : 0;
            all.healthy_failed += !faulty && phase == job_phase::failed ? 1 : 0;
            all.healthy_unfinished += !faulty && phase != job_phase::completed && !running ? 1 : 0;
        }
        for (const auto& [task, starts] : m_starts_after_three_crashes) {
            all.starts_after_three_crashes = std::max(all.starts_after_three_crashes, starts);
        }
        all.max_crashed_vms = m_max_crashed_vms;
        all.longest_restart_delay = m_longest_restart_delay;
        all.suspects_left = m_owner->suspect_count();
        return all;
    }

    // --- Disturbances ---

    /// Ends the current incarnation of the machine's VM. `quiet`: without breaking connections.
    void crash_vm(std::size_t machine, milliseconds down_time, bool quiet = false) {
        end_incarnation(m_machines[machine], down_time, quiet);
    }
    /// Makes the VM unreachable for this time; it keeps running.
    void make_unreachable(std::size_t machine, milliseconds time) {
        m_machines[machine].unreachable_until = m_now + time;
    }
    void drain_vm(std::size_t machine) {
        vm_info info = m_machines[machine].info;
        info.draining = true;
        m_machines[machine].info = info;
        if (m_owner) {
            m_owner->add_or_update_vm(info);
        }
    }
    /// Kills the owner; another takes over after `gap`.
    void kill_owner(milliseconds gap) {
        m_owner.reset();
        m_owner_at = m_now + gap;
    }
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

    [[nodiscard]] bool is_faulty(const task_id& task) const {
        const auto found = m_faulty.find(task.job);
        return found != m_faulty.end() && found->second == task.index;
    }
    [[nodiscard]] bool reachable(const machine& item) const {
        return !item.next_incarnation_at && m_now >= item.unreachable_until;
    }
    [[nodiscard]] std::int64_t vm_clock() const { return m_now.count() + 1000; }

    void start_incarnation(machine& item) {
        item.next_incarnation_at.reset();
        item.info = scheduler_fixture::info(item.name + "-" + std::to_string(++item.incarnations));
        item.info.machine = item.name;
        item.info.rack = item.rack;
        item.sequence = 0;
        item.crashed_by_faulty_task = false;
        if (m_owner) {
            m_owner->add_or_update_vm(item.info);
        }
    }

    void end_incarnation(machine& item, milliseconds down_time, bool quiet) {
        if (item.next_incarnation_at) {
            return;
        }
        for (const active_run& run : item.runs) {
            m_lost_at[run.order.task] = m_now;
            break_gang(run.order.task, item);
            m_crashes[run.order.task] += item.crashed_by_faulty_task && is_faulty(run.order.task) ? 1 : 0;
        }
        item.runs.clear();
        item.ends.clear();
        item.crashes_at = timestamp(0);
        item.unreported_ended_vms.push_back(item.info.incarnation);
        item.next_incarnation_at = m_now + down_time;
        m_delist_at[item.info.incarnation] = m_now + delist_after;
        if (m_owner && !quiet) {
            m_owner->handle_vm_unreachable(item.info.incarnation, m_now);
        }
    }

    /// Ends the other members of a gang with the lost one.
    void break_gang(const task_id& lost, const machine& where) {
        if (!m_records.at(lost.job).spec.steps[lost.step].gang) {
            return;
        }
        for (machine& item : m_machines) {
            std::erase_if(item.runs, [&](const active_run& run) {
                const task_id& id = run.order.task;
                if (&item == &where || id.job != lost.job || id.step != lost.step) {
                    return false;
                }
                item.ends.push_back(
                    scheduler_fixture::end(++item.sequence, run.order, run_end::gang_member_ended));
                return true;
            });
        }
    }

    void start_owner() {
        m_owner = std::make_unique<scheduler>(scheduler_settings{}, m_epoch++, m_now);
        queue_settings queue;
        queue.name = "q";
        queue.pool = "p";
        queue.max_attempts = 3;
        queue.stretch_factor = 1.6;
        queue.target_latency = 600ms;
        m_owner->configure({queue});
        for (const auto& [id, record] : m_records) {
            const auto stored = m_stored.find(id);
            m_owner->restore_job(
                record, stored == m_stored.end() ? std::nullopt : std::optional(stored->second), m_now);
        }
        for (const auto& [vm, info] : m_recorded) {
            m_owner->expect_vm(info);
        }
        for (machine& item : m_machines) {
            m_owner->add_or_update_vm(item.info);
            item.last_report_at = timestamp(0);
        }
        m_writes.clear();
    }

    void add_arriving_jobs() {
        const milliseconds since = m_now - begin;
        if (m_options.jobs_per_s == 0 || since > m_options.arrivals) {
            return;
        }
        const auto due = static_cast<std::size_t>(since.count()) * m_options.jobs_per_s / 1000;
        for (; m_arrived < due; ++m_arrived) {
            const bool faulty = m_options.faulty_one_in > 0 &&
                                m_arrived % m_options.faulty_one_in == m_options.faulty_one_in / 2;
            const step_spec step =
                scheduler_fixture::step(static_cast<std::uint32_t>(m_options.tasks), m_options.cores * 1000,
                                        m_options.run_time.count());
            add_job(scheduler_fixture::record("j" + std::to_string(1000 + m_arrived), {step}),
                    faulty ? std::optional<std::uint32_t>(1) : std::nullopt);
        }
    }

    void advance_step() {
        if (!m_owner && m_now >= m_owner_at) {
            start_owner();
        }
        std::size_t crashed = 0;
        for (machine& item : m_machines) {
            if (item.crashes_at != timestamp(0) && m_now >= item.crashes_at) {
                item.crashed_by_faulty_task = true;
                end_incarnation(item, m_options.down_time, false);
            }
            if (item.next_incarnation_at && m_now >= *item.next_incarnation_at) {
                start_incarnation(item);
            }
            crashed += item.next_incarnation_at && item.crashed_by_faulty_task ? 1 : 0;
        }
        m_max_crashed_vms = std::max(m_max_crashed_vms, crashed);
        for (machine& item : m_machines) {
            end_finished_runs(item);
        }
        process_late_orders();
        report_to_owner();
        finish_writes();
        decide();
        begin_write();
    }

    /// Ends runs that are done or whose lease has expired. Reports follow their own interval.
    void end_finished_runs(machine& item) {
        if (item.next_incarnation_at) {
            return;
        }
        std::erase_if(item.runs, [&](const active_run& run) {
            const std::optional<run_end> how = end_of(item, run);
            if (how) {
                item.ends.push_back(scheduler_fixture::end(++item.sequence, run.order, *how));
            }
            return how.has_value();
        });
    }

    [[nodiscard]] std::optional<run_end> end_of(const machine& item, const active_run& run) const {
        const job_spec& spec = m_records.at(run.order.task.job).spec;
        const milliseconds age = m_now - run.started_at;
        if (m_now > item.lease_until) {
            return run_end::lease_expired;
        }
        if (spec.steps[run.order.task.step].gang && !is_complete(run.order)) {
            return age >= gang_timeout ? std::optional(run_end::gang_incomplete) : std::nullopt;
        }
        return spec.is_long_lived() || age < m_options.run_time ? std::nullopt : std::optional(run_end::done);
    }

    /// Whether all members of the gang are present. Members that have just ended as done count.
    [[nodiscard]] bool is_complete(const start_order& order) const {
        std::size_t present = 0;
        const auto is_member = [&](const task_id& id, std::uint32_t attempt) {
            return id.job == order.task.job && id.step == order.task.step && attempt == order.attempt;
        };
        for (const machine& item : m_machines) {
            present += static_cast<std::size_t>(std::ranges::count_if(item.runs, [&](const active_run& run) {
                return is_member(run.order.task, run.order.attempt);
            }));
            present += static_cast<std::size_t>(std::ranges::count_if(item.ends, [&](const end_report& end) {
                return end.outcome == run_end::done && is_member(end.task, end.attempt);
            }));
        }
        return present >= m_records.at(order.task.job).spec.steps[order.task.step].count;
    }

    void report_to_owner() {
        if (!m_owner) {
            return;
        }
        for (machine& item : m_machines) {
            if (!item.next_incarnation_at) {
                for (const std::string& vm : std::exchange(item.unreported_ended_vms, {})) {
                    m_owner->handle_vm_ended(vm, vm_end_cause::replaced, m_now);
                    m_recorded.erase(vm);
                }
            }
            if (!reachable(item)) {
                if (!item.next_incarnation_at) {
                    m_owner->handle_vm_unreachable(item.info.incarnation, m_now);
                }
                continue;
            }
            if (item.ends.empty() && m_now - item.last_report_at < report_interval) {
                continue;
            }
            item.last_report_at = m_now;
            std::vector<running_report> alive;
            for (const active_run& run : item.runs) {
                alive.push_back(scheduler_fixture::running(run.order));
            }
            m_owner->handle_report(item.info.incarnation, {vm_clock(), alive, item.ends}, m_now);
            if (m_owner->grant_lease_renewal(item.info.incarnation, m_now) > 0) {
                item.lease_until = m_now + scheduler_settings{}.lease;
            }
            forget_acknowledged(item);
        }
        std::erase_if(m_delist_at, [&](const auto& item) {
            if (m_now >= item.second) {
                m_owner->mark_vm_delisted(item.first);
            }
            return m_now >= item.second;
        });
    }

    void forget_acknowledged(machine& item) {
        const auto known = m_owner->vms().find(item.info.incarnation);
        if (known != m_owner->vms().end()) {
            std::erase_if(item.ends, [&](const end_report& end) {
                return end.sequence <= known->second.last_stored_end;
            });
        }
    }

    void decide() {
        if (!m_owner) {
            return;
        }
        const decisions wanted = m_owner->decide(m_now, m_now.count() + 1'000'000, true);
        for (const stop_order& order : wanted.stops) {
            stop(order);
        }
        for (const start_order& order : wanted.starts) {
            start(order);
        }
    }

    machine* machine_of(const std::string& vm) {
        const auto found = std::ranges::find_if(
            m_machines, [&](const machine& item) { return item.info.incarnation == vm && reachable(item); });
        return found == m_machines.end() ? nullptr : &*found;
    }

    void start(const start_order& order) {
        machine* item = machine_of(order.vm);
        if (item == nullptr) {
            m_owner->handle_start_answer(order, order_outcome::not_sent, 0, m_now);
            m_owner->handle_vm_unreachable(order.vm, m_now);
            return;
        }
        if (const auto lost = m_lost_at.extract(order.task);
            !lost.empty() && !m_faulty.contains(order.task.job)) {
            m_longest_restart_delay = std::max(m_longest_restart_delay, m_now - lost.mapped());
        }
        ++m_orders;
        m_recorded[order.vm] = item->info;
        const auto is_one_in = [this](std::size_t share) { return share > 0 && m_orders % share == 0; };
        if (is_one_in(m_options.late_one_in)) {
            m_late_orders.push_back({order, m_now + late_time});
            m_unanswered.push_back({order, m_now + order_timeout});
            return;
        }
        begin_run(*item, order);
        if (is_one_in(m_options.unanswered_one_in)) {
            m_unanswered.push_back({order, m_now + order_timeout});
            return;
        }
        m_owner->handle_start_answer(order, order_outcome::accepted, vm_clock(), m_now);
    }

    void begin_run(machine& item, const start_order& order) {
        item.runs.push_back({order, m_now});
        item.lease_until = std::max(item.lease_until, m_now + scheduler_settings{}.start_timeout);
        m_starts_after_three_crashes[order.task] += m_crashes[order.task] >= 3 ? 1 : 0;
        if (is_faulty(order.task) && item.crashes_at == timestamp(0)) {
            item.crashes_at = m_now + m_options.crash_delay;
        }
    }

    /// Processes orders that are due: late ones at their VMs, and missing answers at the owner.
    void process_late_orders() {
        std::erase_if(m_late_orders, [&](const late_order& late) {
            machine* item = m_now >= late.due ? machine_of(late.order.vm) : nullptr;
            if (item != nullptr && late.order.deadline >= vm_clock()) {
                begin_run(*item, late.order);
            }
            return m_now >= late.due;
        });
        std::erase_if(m_unanswered, [&](const late_order& late) {
            if (m_now >= late.due && m_owner) {
                m_owner->handle_start_answer(late.order, order_outcome::unknown, 0, m_now);
            }
            return m_now >= late.due;
        });
    }

    void stop(const stop_order& order) {
        machine* item = machine_of(order.vm);
        if (item == nullptr) {
            return;
        }
        std::erase_if(item->runs, [&](const active_run& run) {
            if (run.order.task != order.task || run.order.attempt != order.attempt) {
                return false;
            }
            item->ends.push_back(scheduler_fixture::end(++item->sequence, run.order, run_end::stopped));
            return true;
        });
        m_owner->handle_stop_answer(order, order_outcome::accepted, vm_clock(), m_now);
    }

    void begin_write() {
        if (!m_owner || !m_writes.empty() || !m_owner->has_changes()) {
            return;
        }
        pending_write write;
        write.batch = m_owner->begin_store_batch();
        for (const std::string& id : write.batch.jobs) {
            const job_state* job = m_owner->find_job(id);
            write.jobs[id] = {job->change_count, job->progress()};
        }
        write.due = std::max(m_now + store_time, m_store_until);
        m_writes.push_back(std::move(write));
    }

    void finish_writes() {
        if (m_writes.empty() || m_now < m_writes.front().due) {
            return;
        }
        const pending_write write = std::move(m_writes.front());
        m_writes.clear();
        for (const auto& [id, item] : write.jobs) {
            m_stored[id] = item.second;
            if (m_owner) {
                m_owner->mark_job_stored(id, item.first, m_now);
            }
        }
        if (m_owner) {
            m_owner->mark_batch_stored(write.batch);
        }
    }

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
