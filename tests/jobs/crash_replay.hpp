#pragma once

#include "jobs/pool_bench.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinpaddle::tests {

/// Replays a pool whose VMs crash, in steps of 10 ms: machines with one life of a VM after the other, tasks
/// that run there, a store that holds what its owner wrote, and owners that die. The scheduler decides; all
/// else is the replay's.
class crash_replay {
  public:
    struct options {
        std::size_t machines = 8;
        milliseconds run_time{1000};
        milliseconds down_time{3500};      ///< From a crash to the next life.
        milliseconds crash_delay{10};      ///< From the start of a faulty task to the crash.
        std::size_t jobs_per_s = 0;        ///< Sound jobs that arrive.
        std::size_t tasks = 5;             ///< Of each of them.
        std::int64_t cores = 5;            ///< Of each task; VMs have 32.
        std::size_t faulty_one_in = 0;     ///< One of so many arriving jobs has a faulty task.
        milliseconds arrivals{10'000};     ///< Jobs arrive for so long.
        std::size_t unanswered_one_in = 0; ///< One of so many starts is carried out and gets no answer.
        std::size_t late_one_in = 0; ///< One of so many is carried out two seconds late, if it still holds.
    };
    /// A job whose task of this index crashes the VMs that start it.
    struct faulty_job {
        std::string id;
        std::uint32_t index = 0;
    };
    /// What is to hold in the end, from the VMs' and the store's records.
    struct result {
        std::size_t sound_failed = 0;    ///< Sound jobs that were given up.
        std::size_t sound_left = 0;      ///< Sound jobs that are not completed.
        std::size_t faulty_left = 0;     ///< Faulty jobs that are not shown as failed.
        std::size_t starts_too_late = 0; ///< Most of a faulty task after three VMs had crashed under it.
        std::size_t most_crashed = 0;    ///< VMs that were down at a time, crashed by a faulty task.
        milliseconds longest_hold{0}; ///< Of a sound task under which a VM ended: from its loss to its start.
        std::size_t suspects_left = 0; ///< Tasks that something is held against in the end.
    };

    explicit crash_replay(options settings) : m_options(settings) {
        for (std::size_t i = 0; i < m_options.machines; ++i) {
            machine item;
            item.name = "m" + std::to_string(i);
            item.rack = "r" + std::to_string(i / 4);
            m_machines.push_back(std::move(item));
            begin_life(m_machines.back());
        }
        begin_owner();
    }

    /// Called each step; for disturbances.
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
            arrive();
            advance();
        }
    }

    /// Precondition: an owner is there.
    [[nodiscard]] result outcome() const {
        result all;
        for (const auto& [id, record] : m_records) {
            const job_phase phase = m_owner->phase_of(id).value_or(job_phase::cancelled);
            const bool faulty = m_faulty.contains(id);
            const bool running = record.spec.endless() && phase == job_phase::running;
            all.faulty_left += faulty && phase != job_phase::failed ? 1 : 0;
            all.sound_failed += !faulty && phase == job_phase::failed ? 1 : 0;
            all.sound_left += !faulty && phase != job_phase::completed && !running ? 1 : 0;
        }
        for (const auto& [task, starts] : m_starts_too_late) {
            all.starts_too_late = std::max(all.starts_too_late, starts);
        }
        all.most_crashed = m_most_crashed;
        all.longest_hold = m_longest_hold;
        all.suspects_left = m_owner->suspects();
        return all;
    }

    // --- Disturbances ---

    /// Ends the present life of the machine's VM, `quiet`: without breaking connections.
    void crash(std::size_t machine, milliseconds down_time, bool quiet = false) {
        end_life(m_machines[machine], down_time, quiet);
    }
    /// The VM can't be reached for so long, and runs on.
    void cut_off(std::size_t machine, milliseconds time) { m_machines[machine].cut_until = m_now + time; }
    void drain(std::size_t machine) {
        vm_info info = m_machines[machine].info;
        info.draining = true;
        m_machines[machine].info = info;
        if (m_owner) {
            m_owner->list_vm(info);
        }
    }
    /// The owner dies; another takes over after `gap`.
    void kill_owner(milliseconds gap) {
        m_owner.reset();
        m_owner_at = m_now + gap;
    }
    /// The store answers nothing until then.
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

    struct live_run {
        start_order order;
        timestamp began{0};
    };
    struct machine {
        std::string name;
        std::string rack;
        vm_info info;
        std::uint32_t lives = 0;
        std::vector<live_run> runs;
        std::vector<end_report> ends;
        std::optional<timestamp> next_life; ///< Down until then.
        timestamp reported{0};
        timestamp cut_until{0};
        timestamp crashes_at{0}; ///< 0: not.
        std::int64_t sequence = 0;
        bool by_faulty = false;         ///< Its last crash was a faulty task's.
        std::vector<std::string> ended; ///< Lives whose end no owner has heard of.
        timestamp lease_until{0};
    };
    struct late_order {
        start_order order;
        timestamp due{0};
    };
    struct open_write {
        store_round round;
        std::map<std::string, std::pair<std::uint64_t, job_progress>> jobs;
        timestamp due{0};
    };

    [[nodiscard]] bool is_faulty(const task_id& task) const {
        const auto found = m_faulty.find(task.job);
        return found != m_faulty.end() && found->second == task.index;
    }
    [[nodiscard]] bool reachable(const machine& item) const {
        return !item.next_life && m_now >= item.cut_until;
    }
    [[nodiscard]] std::int64_t vm_clock() const { return m_now.count() + 1000; }

    void begin_life(machine& item) {
        item.next_life.reset();
        item.info = pool_bench::info(item.name + "-" + std::to_string(++item.lives));
        item.info.machine = item.name;
        item.info.rack = item.rack;
        item.sequence = 0;
        item.by_faulty = false;
        if (m_owner) {
            m_owner->list_vm(item.info);
        }
    }

    void end_life(machine& item, milliseconds down_time, bool quiet) {
        if (item.next_life) {
            return;
        }
        for (const live_run& run : item.runs) {
            m_lost_at[run.order.task] = m_now;
            break_gang(run.order.task, item);
            m_crashes[run.order.task] += item.by_faulty && is_faulty(run.order.task) ? 1 : 0;
        }
        item.runs.clear();
        item.ends.clear();
        item.crashes_at = timestamp(0);
        item.ended.push_back(item.info.incarnation);
        item.next_life = m_now + down_time;
        m_delist[item.info.incarnation] = m_now + delist_after;
        if (m_owner && !quiet) {
            m_owner->vm_unreachable(item.info.incarnation, m_now);
        }
    }

    /// The other members of a gang end with the one that is lost.
    void break_gang(const task_id& lost, const machine& where) {
        if (!m_records.at(lost.job).spec.steps[lost.step].gang) {
            return;
        }
        for (machine& item : m_machines) {
            std::erase_if(item.runs, [&](const live_run& run) {
                const task_id& id = run.order.task;
                if (&item == &where || id.job != lost.job || id.step != lost.step) {
                    return false;
                }
                item.ends.push_back(pool_bench::end(++item.sequence, run.order, run_end::gang_member_ended));
                return true;
            });
        }
    }

    void begin_owner() {
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
            m_owner->list_vm(item.info);
            item.reported = timestamp(0);
        }
        m_writes.clear();
    }

    void arrive() {
        const milliseconds since = m_now - begin;
        if (m_options.jobs_per_s == 0 || since > m_options.arrivals) {
            return;
        }
        const auto due = static_cast<std::size_t>(since.count()) * m_options.jobs_per_s / 1000;
        for (; m_arrived < due; ++m_arrived) {
            const bool faulty = m_options.faulty_one_in > 0 &&
                                m_arrived % m_options.faulty_one_in == m_options.faulty_one_in / 2;
            const step_spec step = pool_bench::step(static_cast<std::uint32_t>(m_options.tasks),
                                                    m_options.cores * 1000, m_options.run_time.count());
            add_job(pool_bench::record("j" + std::to_string(1000 + m_arrived), {step}),
                    faulty ? std::optional<std::uint32_t>(1) : std::nullopt);
        }
    }

    void advance() {
        if (!m_owner && m_now >= m_owner_at) {
            begin_owner();
        }
        std::size_t crashed = 0;
        for (machine& item : m_machines) {
            if (item.crashes_at != timestamp(0) && m_now >= item.crashes_at) {
                item.by_faulty = true;
                end_life(item, m_options.down_time, false);
            }
            if (item.next_life && m_now >= *item.next_life) {
                begin_life(item);
            }
            crashed += item.next_life && item.by_faulty ? 1 : 0;
        }
        m_most_crashed = std::max(m_most_crashed, crashed);
        for (machine& item : m_machines) {
            work(item);
        }
        carry_out_late();
        tell_owner();
        finish_writes();
        decide();
        begin_write();
    }

    /// Ends runs whose time has come or whose lease is over; looks go by the owner's own interval.
    void work(machine& item) {
        if (item.next_life) {
            return;
        }
        std::erase_if(item.runs, [&](const live_run& run) {
            const std::optional<run_end> how = end_of(item, run);
            if (how) {
                item.ends.push_back(pool_bench::end(++item.sequence, run.order, *how));
            }
            return how.has_value();
        });
    }

    [[nodiscard]] std::optional<run_end> end_of(const machine& item, const live_run& run) const {
        const job_spec& spec = m_records.at(run.order.task.job).spec;
        const milliseconds age = m_now - run.began;
        if (m_now > item.lease_until) {
            return run_end::lease_expired;
        }
        if (spec.steps[run.order.task.step].gang && !is_complete(run.order)) {
            return age >= gang_timeout ? std::optional(run_end::gang_incomplete) : std::nullopt;
        }
        return spec.endless() || age < m_options.run_time ? std::nullopt : std::optional(run_end::done);
    }

    /// Whether all members of the gang are there. Those that have just ended as done count.
    [[nodiscard]] bool is_complete(const start_order& order) const {
        std::size_t present = 0;
        const auto is_member = [&](const task_id& id, std::uint32_t attempt) {
            return id.job == order.task.job && id.step == order.task.step && attempt == order.attempt;
        };
        for (const machine& item : m_machines) {
            present += static_cast<std::size_t>(std::ranges::count_if(item.runs, [&](const live_run& run) {
                return is_member(run.order.task, run.order.attempt);
            }));
            present += static_cast<std::size_t>(std::ranges::count_if(item.ends, [&](const end_report& end) {
                return end.outcome == run_end::done && is_member(end.task, end.attempt);
            }));
        }
        return present >= m_records.at(order.task.job).spec.steps[order.task.step].count;
    }

    void tell_owner() {
        if (!m_owner) {
            return;
        }
        for (machine& item : m_machines) {
            if (!item.next_life) {
                for (const std::string& vm : std::exchange(item.ended, {})) {
                    m_owner->vm_gone(vm, vm_end_cause::replaced, m_now);
                    m_recorded.erase(vm);
                }
            }
            if (!reachable(item)) {
                if (!item.next_life) {
                    m_owner->vm_unreachable(item.info.incarnation, m_now);
                }
                continue;
            }
            if (item.ends.empty() && m_now - item.reported < report_interval) {
                continue;
            }
            item.reported = m_now;
            std::vector<running_report> alive;
            for (const live_run& run : item.runs) {
                alive.push_back(pool_bench::running(run.order));
            }
            m_owner->take_report(item.info.incarnation, {vm_clock(), alive, item.ends}, m_now);
            if (m_owner->renewal_deadline(item.info.incarnation, m_now) > 0) {
                item.lease_until = m_now + scheduler_settings{}.lease;
            }
            forget_acknowledged(item);
        }
        std::erase_if(m_delist, [&](const auto& item) {
            if (m_now >= item.second) {
                m_owner->delist_vm(item.first);
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
            m_owner->start_answered(order, order_outcome::not_sent, 0, m_now);
            m_owner->vm_unreachable(order.vm, m_now);
            return;
        }
        if (const auto lost = m_lost_at.extract(order.task);
            !lost.empty() && !m_faulty.contains(order.task.job)) {
            m_longest_hold = std::max(m_longest_hold, m_now - lost.mapped());
        }
        ++m_orders;
        m_recorded[order.vm] = item->info;
        const auto is_one_in = [this](std::size_t share) { return share > 0 && m_orders % share == 0; };
        if (is_one_in(m_options.late_one_in)) {
            m_late.push_back({order, m_now + late_time});
            m_unanswered.push_back({order, m_now + order_timeout});
            return;
        }
        begin_run(*item, order);
        if (is_one_in(m_options.unanswered_one_in)) {
            m_unanswered.push_back({order, m_now + order_timeout});
            return;
        }
        m_owner->start_answered(order, order_outcome::accepted, vm_clock(), m_now);
    }

    void begin_run(machine& item, const start_order& order) {
        item.runs.push_back({order, m_now});
        item.lease_until = std::max(item.lease_until, m_now + scheduler_settings{}.start_patience);
        m_starts_too_late[order.task] += m_crashes[order.task] >= 3 ? 1 : 0;
        if (is_faulty(order.task) && item.crashes_at == timestamp(0)) {
            item.crashes_at = m_now + m_options.crash_delay;
        }
    }

    /// Orders whose time has come, late ones at their VMs and missing answers at the owner.
    void carry_out_late() {
        std::erase_if(m_late, [&](const late_order& late) {
            machine* item = m_now >= late.due ? machine_of(late.order.vm) : nullptr;
            if (item != nullptr && late.order.deadline >= vm_clock()) {
                begin_run(*item, late.order);
            }
            return m_now >= late.due;
        });
        std::erase_if(m_unanswered, [&](const late_order& late) {
            if (m_now >= late.due && m_owner) {
                m_owner->start_answered(late.order, order_outcome::unknown, 0, m_now);
            }
            return m_now >= late.due;
        });
    }

    void stop(const stop_order& order) {
        machine* item = machine_of(order.vm);
        if (item == nullptr) {
            return;
        }
        std::erase_if(item->runs, [&](const live_run& run) {
            if (run.order.task != order.task || run.order.attempt != order.attempt) {
                return false;
            }
            item->ends.push_back(pool_bench::end(++item->sequence, run.order, run_end::stopped));
            return true;
        });
        m_owner->stop_answered(order, order_outcome::accepted, vm_clock(), m_now);
    }

    void begin_write() {
        if (!m_owner || !m_writes.empty() || !m_owner->has_changes()) {
            return;
        }
        open_write write;
        write.round = m_owner->begin_store();
        for (const std::string& id : write.round.jobs) {
            const job_state* job = m_owner->find_job(id);
            write.jobs[id] = {job->changed, job->progress()};
        }
        write.due = std::max(m_now + store_time, m_store_until);
        m_writes.push_back(std::move(write));
    }

    void finish_writes() {
        if (m_writes.empty() || m_now < m_writes.front().due) {
            return;
        }
        const open_write write = std::move(m_writes.front());
        m_writes.clear();
        for (const auto& [id, item] : write.jobs) {
            m_stored[id] = item.second;
            if (m_owner) {
                m_owner->job_stored(id, item.first, m_now);
            }
        }
        if (m_owner) {
            m_owner->round_stored(write.round);
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
    std::vector<open_write> m_writes;
    timestamp m_store_until{0};
    std::map<std::string, std::uint32_t> m_faulty;
    std::map<task_id, std::size_t> m_crashes; ///< VMs that faulty tasks have crashed.
    std::map<task_id, std::size_t> m_starts_too_late;
    std::map<task_id, timestamp> m_lost_at;
    std::map<std::string, timestamp> m_delist;
    std::vector<late_order> m_late;
    std::vector<late_order> m_unanswered;
    std::size_t m_orders = 0;
    std::size_t m_arrived = 0;
    std::size_t m_most_crashed = 0;
    milliseconds m_longest_hold{0};
};

} // namespace siskinpaddle::tests
