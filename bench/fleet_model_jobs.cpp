#include "bench/fleet_model.hpp"

#include <algorithm>

namespace siskinpaddle::bench {

namespace {

constexpr milliseconds day = std::chrono::hours(24);
constexpr milliseconds checkpoint_time = 3s;
constexpr milliseconds urgent_start_deadline = 9'400ms;

struct job_class {
    job_urgency urgency;
    double share;
    milliseconds expected_duration;
    bool has_checkpoints;
};

/// Daily jobs (digests, forecasts) of about an hour, patient jobs (sweeps) of many hours, and a few urgent
/// jobs of minutes.
const std::vector<job_class> job_classes{{job_urgency::urgent, 0.1, 5min, false},
                                         {job_urgency::daily, 0.6, 40min, false},
                                         {job_urgency::patient, 0.3, 8h, true}};
constexpr std::uint32_t job_cpu_millicores = 12'000;
constexpr double busy_fraction = 0.5;
constexpr double jobs_per_vm = 2;

} // namespace

void fleet_model::handle_job_arrival(const std::string& pool) {
    double mean_ms = 0;
    for (const job_class& job_kind : job_classes) {
        mean_ms += job_kind.share * static_cast<double>(job_kind.expected_duration.count());
    }
    const double running = static_cast<double>(m_config.pools[pool].promised) * jobs_per_vm * busy_fraction;
    schedule(draw_interval(running / mean_ms * static_cast<double>(day.count())), event_kind::job_arrives,
             pool);
    double draw = m_random.next_double();
    for (const job_class& job_kind : job_classes) {
        draw -= job_kind.share;
        if (draw >= 0 && &job_kind != &job_classes.back()) {
            continue;
        }
        job_record job;
        job.id = std::to_string(++m_last_job_number);
        job.team = "t";
        job.kind = std::string(name_of(job_kind.urgency));
        job.urgency = job_kind.urgency;
        job.size = {job_cpu_millicores, 1'000, 0};
        // Actual run times differ widely from the declared time: they are between 0.5 and 1.5 times as long.
        const double factor = 0.5 + m_random.next_double();
        simulated_job simulated;
        simulated.remaining = milliseconds(
            static_cast<std::int64_t>(static_cast<double>(job_kind.expected_duration.count()) * factor));
        simulated.arrived_at = m_now;
        simulated.is_urgent = job_kind.urgency == job_urgency::urgent;
        m_metrics.jobs_urgent += simulated.is_urgent ? 1 : 0;
        job.expected_ms = static_cast<std::uint64_t>(job_kind.expected_duration.count());
        m_simulated_jobs[pool][job.id] = simulated;
        m_jobs[pool].jobs.push_back(job);
        return;
    }
}

void fleet_model::handle_job_end(const std::string& name, std::uint64_t epoch) {
    const std::string pool = name.substr(0, name.find('/'));
    const std::string id = name.substr(name.find('/') + 1);
    job_record* job = m_jobs[pool].find(id);
    if (job == nullptr || job->epoch != epoch || !may_be_running(job->state) || !is_up(job->vm) ||
        m_simulated_jobs[pool][id].running_since == timestamp{0}) {
        return;
    }
    ++m_metrics.jobs_done;
    m_metrics.job_moves += job->moves;
    m_simulated_jobs[pool].erase(id);
    std::erase_if(m_jobs[pool].jobs, [&id](const job_record& item) { return item.id == id; });
}

void fleet_model::handle_job_stopped(const std::string& name, std::uint64_t epoch) {
    const std::string pool = name.substr(0, name.find('/'));
    const std::string id = name.substr(name.find('/') + 1);
    job_record* job = m_jobs[pool].find(id);
    if (job == nullptr || job->epoch != epoch || job->state != job_state::stopping) {
        return;
    }
    simulated_job& simulated = m_simulated_jobs[pool][id];
    if (job->urgency == job_urgency::patient && simulated.running_since != timestamp{0}) {
        simulated.remaining =
            std::max<milliseconds>(1s, simulated.remaining - (m_now - simulated.running_since));
    }
    simulated.running_since = timestamp{0};
    (void)apply_task_updates(m_jobs[pool],
                             {{id, static_cast<std::uint32_t>(epoch), task_result::stopped, job->vm}});
}

bool fleet_model::place_pool_jobs(const std::string& pool) {
    std::map<std::string, std::uint32_t> ended_epochs;
    bool has_work = false;
    for (const job_record& job : m_jobs[pool].jobs) {
        if (!may_be_running(job.state)) {
            has_work = has_work || !has_ended(job.state);
            continue;
        }
        const vm_record* vm = m_fleet.find_vm(job.vm);
        if (vm == nullptr || vm->epoch > job.vm_epoch) {
            // Leases expire at once in this model.
            ended_epochs[job.vm] = vm == nullptr ? UINT32_MAX : vm->epoch;
        }
        has_work = has_work || vm == nullptr || vm->state != vm_state::serving;
    }
    if (!has_work) {
        return false; // Every job runs on a serving VM; there is nothing to decide.
    }
    const std::map<std::string, worker_health> workers;
    const placement_input input{m_config, m_fleet, pool,         m_jobs[pool], m_usage,
                                workers,  {},      ended_epochs, m_now,        m_choice.placing};
    const double cpu_start = cpu_seconds();
    placement_plan plan = place_jobs(input);
    m_decision_seconds += cpu_seconds() - cpu_start;
    ++m_decision_count;
    if (!plan.changed) {
        return false;
    }
    m_jobs[pool] = std::move(plan.next);
    apply_placement(pool);
    return true;
}

void fleet_model::apply_placement(const std::string& pool) {
    for (job_record& job : m_jobs[pool].jobs) {
        simulated_job& simulated = m_simulated_jobs[pool][job.id];
        if (job.state == job_state::assigned && is_up(job.vm)) {
            job.state = job_state::running;
            simulated.running_since = m_now;
            if (simulated.is_urgent && !simulated.has_started &&
                m_now - simulated.arrived_at > urgent_start_deadline) {
                ++m_metrics.late_urgent;
            }
            simulated.has_started = true;
            schedule(simulated.remaining, event_kind::job_ends, pool + "/" + job.id, job.epoch);
        } else if (job.state == job_state::stopping && job.reason != "stop ordered") {
            job.reason = "stop ordered";
            schedule(checkpoint_time, event_kind::job_stopped, pool + "/" + job.id, job.epoch);
        }
    }
}

} // namespace siskinpaddle::bench
