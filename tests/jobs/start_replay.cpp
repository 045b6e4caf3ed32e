#include "jobs/start_replay.hpp"

#include <algorithm>

namespace siskinpaddle::tests {

namespace {

constexpr int vm_count = 20;
constexpr std::int64_t cores_per_vm = 8;
constexpr milliseconds one_way = 10ms;
constexpr milliseconds call_timeout = 800ms;
constexpr milliseconds stop_time = 50ms;
constexpr milliseconds report_delay = 2ms;
constexpr milliseconds decide_interval = 10ms;
constexpr milliseconds frequent_wait = 400ms;
constexpr milliseconds usual_wait = 1500ms;
constexpr milliseconds drain_time = 10s;

} // namespace

start_replay::start_replay(const start_replay_settings& settings, unsigned seed)
    : m_settings(settings), m_random(seed), m_scheduler(m_settings.scheduler, 0, m_now) {
    queue_settings queue;
    queue.name = "q";
    queue.pool = "p";
    queue.max_attempts = 3;
    queue.target_latency = 600ms;
    m_scheduler.configure({queue});
    for (int i = 0; i < vm_count; ++i) {
        const std::string name = "v" + std::to_string(i);
        m_vms.emplace(name, model_vm());
        m_scheduler.add_or_update_vm(scheduler_fixture::info(name, cores_per_vm));
        deliver(name, report_of(name, m_now));
    }
}

start_replay_result start_replay::play() {
    add_jobs();
    const timestamp until = m_now + m_settings.job_count * m_settings.job_interval + drain_time;
    for (; m_now < until; m_now += decide_interval) {
        const timestamp tick = m_now;
        while (!m_events.empty() && m_events.begin()->first < tick + decide_interval) {
            const auto event = m_events.extract(m_events.begin());
            m_now = std::max(m_now, event.key());
            event.mapped()();
        }
        decide();
        m_now = tick;
    }
    return m_result;
}

void start_replay::add_jobs() {
    for (int i = 0; i < m_settings.job_count; ++i) {
        at(m_now + i * m_settings.job_interval, [this, id = "j" + std::to_string(i)] {
            m_submitted[id] = m_now;
            m_scheduler.add_job(
                scheduler_fixture::record(id, {scheduler_fixture::step(m_settings.tasks_per_job, 1000,
                                                                       m_settings.task_time.count())}),
                m_now);
        });
    }
}

void start_replay::decide() {
    const decisions wanted = m_scheduler.decide(m_now, {m_now.count() + 1'000'000, true, true});
    m_result.settled_starts += wanted.settled_starts.size();
    for (const stop_order& order : wanted.stops) {
        send_stop(order);
    }
    for (const start_order& order : wanted.starts) {
        send_start(order);
    }
    const store_batch batch = m_scheduler.begin_store_batch();
    for (const std::string& id : batch.jobs) {
        m_scheduler.mark_job_stored(id, m_scheduler.find_job(id)->change_count, m_now);
    }
    m_scheduler.mark_batch_stored(batch);
    std::erase_if(m_submitted, [&](const auto& item) {
        const bool ended = m_scheduler.phase_of(item.first) == job_phase::completed;
        if (ended) {
            m_result.job_times.push_back(m_now - item.second);
        }
        return ended;
    });
}

void start_replay::send_start(const start_order& order) {
    if (!chance(m_settings.unanswered_percent)) {
        at(m_now + one_way, [this, order] {
            const order_outcome outcome = execute_start(order);
            at(m_now + one_way, [this, order, outcome, clock = vm_clock()] {
                m_scheduler.handle_start_answer(order, outcome, clock, m_now);
            });
        });
        return;
    }
    if (chance(m_settings.late_percent)) {
        const milliseconds delay(100 + static_cast<int>(m_random() % 1900));
        at(m_now + delay, [this, order] { execute_start(order); });
    }
    at(m_now + call_timeout,
       [this, order] { m_scheduler.handle_start_answer(order, order_outcome::unknown, 0, m_now); });
}

void start_replay::send_stop(const stop_order& order) {
    if (chance(m_settings.unanswered_percent)) {
        at(m_now + call_timeout,
           [this, order] { m_scheduler.handle_stop_answer(order, order_outcome::unknown, 0, m_now); });
        return;
    }
    at(m_now + one_way, [this, order] {
        execute_stop(order);
        at(m_now + one_way, [this, order, clock = vm_clock()] {
            if (m_scheduler.handle_stop_answer(order, order_outcome::accepted, clock, m_now)) {
                request_report(order.vm);
            }
        });
    });
}

order_outcome start_replay::execute_start(const start_order& order) {
    model_vm& vm = m_vms.at(order.vm);
    if (order.deadline < vm_clock()) {
        return order_outcome::refused_deadline;
    }
    if (const auto known = vm.refused_up_to.find(order.task);
        known != vm.refused_up_to.end() && order.attempt <= known->second) {
        return order_outcome::refused_outdated;
    }
    m_result.concurrent_runs += m_running.contains(order.task) ? 1 : 0;
    m_running.insert(order.task);
    const active_run item{order.task, order.attempt};
    vm.running.push_back(item);
    at(m_now + m_settings.task_time, [this, name = order.vm, item] { end_run(name, item, run_end::done); });
    return order_outcome::accepted;
}

void start_replay::execute_stop(const stop_order& order) {
    std::uint32_t& refused_up_to = m_vms.at(order.vm).refused_up_to[order.task];
    refused_up_to = std::max(refused_up_to, order.attempt);
    at(m_now + stop_time, [this, order] {
        end_run(order.vm, {order.task, order.attempt}, run_end::stopped);
    });
}

void start_replay::end_run(const std::string& name, const active_run& item, run_end how) {
    model_vm& vm = m_vms.at(name);
    const auto found = std::ranges::find_if(vm.running, [&](const active_run& one) {
        return one.task == item.task && one.attempt == item.attempt;
    });
    if (found == vm.running.end()) {
        return;
    }
    vm.running.erase(found);
    m_running.erase(m_running.find(item.task));
    std::uint32_t& refused_up_to = vm.refused_up_to[item.task];
    refused_up_to = std::max(refused_up_to, item.attempt);
    vm.ended.push_back({++vm.end_count, item.task, item.attempt, how, ""});
    if (vm.poll_waits) {
        answer_poll(name);
    }
}

void start_replay::send_poll(const std::string& name) {
    model_vm& vm = m_vms.at(name);
    vm.poll_sent_at = m_now;
    const milliseconds wait = m_scheduler.needs_frequent_polling(name) ? frequent_wait : usual_wait;
    const std::int64_t acknowledged = m_scheduler.vms().at(name).last_stored_end;
    at(m_now + one_way, [this, name, wait, acknowledged, number = ++vm.poll_number] {
        model_vm& polled = m_vms.at(name);
        std::erase_if(polled.ended, [&](const end_report& one) { return one.sequence <= acknowledged; });
        polled.poll_waits = true;
        if (!polled.ended.empty()) {
            answer_poll(name);
            return;
        }
        at(m_now + wait, [this, name, number] {
            if (m_vms.at(name).poll_waits && m_vms.at(name).poll_number == number) {
                answer_poll(name);
            }
        });
    });
}

void start_replay::answer_poll(const std::string& name) {
    m_vms.at(name).poll_waits = false;
    at(m_now + one_way,
       [this, name, report = report_of(name, m_vms.at(name).poll_sent_at)] { deliver(name, report); });
}

void start_replay::request_report(const std::string& name) {
    const timestamp requested_at = m_now + report_delay;
    at(requested_at + one_way, [this, name, requested_at] {
        at(m_now + one_way, [this, name, report = report_of(name, requested_at)] {
            m_scheduler.handle_report(name, report, m_now);
        });
    });
}

vm_report start_replay::report_of(const std::string& name, timestamp requested_at) {
    const model_vm& vm = m_vms.at(name);
    vm_report report;
    report.clock_ms = vm_clock();
    report.requested_at = requested_at;
    report.ended = vm.ended;
    for (const active_run& item : vm.running) {
        report.running.push_back({item.task, item.attempt, "", 100, 0});
    }
    return report;
}

/// The next poll follows once the ends of this one are stored.
void start_replay::deliver(const std::string& name, const vm_report& report) {
    m_scheduler.handle_report(name, report, m_now);
    at(m_now + one_way, [this, name] { send_poll(name); });
}

} // namespace siskinpaddle::tests
