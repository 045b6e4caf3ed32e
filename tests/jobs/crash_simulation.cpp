#include "jobs/crash_simulation.hpp"

#include <algorithm>
#include <utility>

namespace siskinpaddle::tests {

crash_simulation::crash_simulation(options settings) : m_options(settings) {
    for (std::size_t i = 0; i < m_options.machines; ++i) {
        machine item;
        item.name = "m" + std::to_string(i);
        item.rack = "r" + std::to_string(i / 4);
        m_machines.push_back(std::move(item));
        start_incarnation(m_machines.back());
    }
    start_owner();
}

void crash_simulation::add_job(const job_record& record, std::optional<std::uint32_t> faulty_index) {
    m_records[record.spec.id] = record;
    if (faulty_index) {
        m_faulty[record.spec.id] = *faulty_index;
    }
    if (m_owner) {
        m_owner->add_job(record, m_now);
    }
}

void crash_simulation::run(milliseconds length) {
    for (milliseconds passed(0); passed < length; passed += step_time) {
        m_now += step_time;
        if (on_step) {
            on_step(m_now - begin);
        }
        add_arriving_jobs();
        advance_step();
    }
}

crash_simulation::result crash_simulation::outcome() const {
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

void crash_simulation::drain_vm(std::size_t machine) {
    vm_info info = m_machines[machine].info;
    info.draining = true;
    m_machines[machine].info = info;
    if (m_owner) {
        m_owner->add_or_update_vm(info);
    }
}

void crash_simulation::kill_owner(milliseconds gap) {
    m_owner.reset();
    m_owner_at = m_now + gap;
}

bool crash_simulation::is_faulty(const task_id& task) const {
    const auto found = m_faulty.find(task.job);
    return found != m_faulty.end() && found->second == task.index;
}

void crash_simulation::start_incarnation(machine& item) {
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

void crash_simulation::end_incarnation(machine& item, milliseconds down_time, bool quiet) {
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

void crash_simulation::break_gang(const task_id& lost, const machine& where) {
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

void crash_simulation::start_owner() {
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
        m_owner->restore_job(record, stored == m_stored.end() ? std::nullopt : std::optional(stored->second),
                             m_now);
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

void crash_simulation::add_arriving_jobs() {
    const milliseconds since = m_now - begin;
    if (m_options.jobs_per_s == 0 || since > m_options.arrivals) {
        return;
    }
    const auto due = static_cast<std::size_t>(since.count()) * m_options.jobs_per_s / 1000;
    for (; m_arrived < due; ++m_arrived) {
        const bool faulty =
            m_options.faulty_one_in > 0 && m_arrived % m_options.faulty_one_in == m_options.faulty_one_in / 2;
        const step_spec step = scheduler_fixture::step(static_cast<std::uint32_t>(m_options.tasks),
                                                       m_options.cores * 1000, m_options.run_time.count());
        add_job(scheduler_fixture::record("j" + std::to_string(1000 + m_arrived), {step}),
                faulty ? std::optional<std::uint32_t>(1) : std::nullopt);
    }
}

void crash_simulation::advance_step() {
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

void crash_simulation::end_finished_runs(machine& item) {
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

std::optional<run_end> crash_simulation::end_of(const machine& item, const active_run& run) const {
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

bool crash_simulation::is_complete(const start_order& order) const {
    std::size_t present = 0;
    const auto is_member = [&](const task_id& id, std::uint32_t attempt) {
        return id.job == order.task.job && id.step == order.task.step && attempt == order.attempt;
    };
    for (const machine& item : m_machines) {
        present += static_cast<std::size_t>(std::ranges::count_if(
            item.runs, [&](const active_run& run) { return is_member(run.order.task, run.order.attempt); }));
        present += static_cast<std::size_t>(std::ranges::count_if(item.ends, [&](const end_report& end) {
            return end.outcome == run_end::done && is_member(end.task, end.attempt);
        }));
    }
    return present >= m_records.at(order.task.job).spec.steps[order.task.step].count;
}

void crash_simulation::report_to_owner() {
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

void crash_simulation::forget_acknowledged(machine& item) {
    const auto known = m_owner->vms().find(item.info.incarnation);
    if (known != m_owner->vms().end()) {
        std::erase_if(item.ends,
                      [&](const end_report& end) { return end.sequence <= known->second.last_stored_end; });
    }
}

void crash_simulation::decide() {
    if (!m_owner) {
        return;
    }
    const decisions wanted = m_owner->decide(m_now, {m_now.count() + 1'000'000, true, true});
    for (const stop_order& order : wanted.stops) {
        stop(order);
    }
    for (const start_order& order : wanted.starts) {
        start(order);
    }
}

crash_simulation::machine* crash_simulation::machine_of(const std::string& vm) {
    const auto found = std::ranges::find_if(
        m_machines, [&](const machine& item) { return item.info.incarnation == vm && reachable(item); });
    return found == m_machines.end() ? nullptr : &*found;
}

void crash_simulation::start(const start_order& order) {
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

void crash_simulation::begin_run(machine& item, const start_order& order) {
    item.runs.push_back({order, m_now});
    item.lease_until = std::max(item.lease_until, m_now + scheduler_settings{}.start_timeout);
    m_starts_after_three_crashes[order.task] += m_crashes[order.task] >= 3 ? 1 : 0;
    if (is_faulty(order.task) && item.crashes_at == timestamp(0)) {
        item.crashes_at = m_now + m_options.crash_delay;
    }
}

void crash_simulation::process_late_orders() {
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

void crash_simulation::stop(const stop_order& order) {
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

void crash_simulation::begin_write() {
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

void crash_simulation::finish_writes() {
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
} // namespace siskinpaddle::tests
