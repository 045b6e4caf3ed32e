#include "bench/fleet_model.hpp"

#include <algorithm>

namespace siskinpaddle::bench {

namespace {

constexpr milliseconds day = std::chrono::hours(24);
constexpr milliseconds checkpoint_time = 3s;
constexpr milliseconds urgent_bound = 9'400ms;

struct job_mix {
    job_urgency urgency;
    double share;
    milliseconds length;
    bool checkpoints;
};

/// Digests and forecasts of about an hour, sweeps of many, and a few urgent jobs of minutes.
const std::vector<job_mix> job_mixes{{job_urgency::urgent, 0.1, 5min, false},
                                     {job_urgency::daily, 0.6, 40min, false},
                                     {job_urgency::patient, 0.3, 8h, true}};
constexpr std::uint32_t job_cpu = 12'000;
constexpr double busy_share = 0.5;
constexpr double jobs_per_vm = 2;

} // namespace

void fleet_model::job_arrives(const std::string& pool) {
    double mean_ms = 0;
    for (const job_mix& mix : job_mixes) {
        mean_ms += mix.share * static_cast<double>(mix.length.count());
    }
    const double running = static_cast<double>(m_config.pools[pool].promised) * jobs_per_vm * busy_share;
    schedule(gap(running / mean_ms * static_cast<double>(day.count())), event_kind::job_arrives, pool);
    double draw = m_random.next_double();
    for (const job_mix& mix : job_mixes) {
        draw -= mix.share;
        if (draw >= 0 && &mix != &job_mixes.back()) {
            continue;
        }
        job_record job;
        job.id = std::to_string(++m_next_job);
        job.team = "t";
        job.kind = std::string(name_of(mix.urgency));
        job.urgency = mix.urgency;
        job.size = {job_cpu, 1'000, 0};
        // Run times are far from what was declared: between a half and one and a half of it.
        const double factor = 0.5 + m_random.next_double();
        job_truth truth;
        truth.left =
            milliseconds(static_cast<std::int64_t>(static_cast<double>(mix.length.count()) * factor));
        truth.arrived = m_now;
        truth.urgent = mix.urgency == job_urgency::urgent;
        m_figures.jobs_urgent += truth.urgent ? 1 : 0;
        job.expected_ms = static_cast<std::uint64_t>(mix.length.count());
        m_truth[pool][job.id] = truth;
        m_jobs[pool].jobs.push_back(job);
        return;
    }
}

void fleet_model::job_ends(const std::string& name, std::uint64_t epoch) {
    const std::string pool = name.substr(0, name.find('/'));
    const std::string id = name.substr(name.find('/') + 1);
    job_record* job = m_jobs[pool].find(id);
    if (job == nullptr || job->epoch != epoch || !may_be_running(job->state) || !is_up(job->vm) ||
        m_truth[pool][id].runs_since == timestamp{0}) {
        return;
    }
    ++m_figures.jobs_done;
    m_figures.job_moves += job->moves;
    m_truth[pool].erase(id);
    std::erase_if(m_jobs[pool].jobs, [&id](const job_record& item) { return item.id == id; });
}

void fleet_model::job_stopped(const std::string& name, std::uint64_t epoch) {
    const std::string pool = name.substr(0, name.find('/'));
    const std::string id = name.substr(name.find('/') + 1);
    job_record* job = m_jobs[pool].find(id);
    if (job == nullptr || job->epoch != epoch || job->state != job_state::stopping) {
        return;
    }
    job_truth& truth = m_truth[pool][id];
    if (job->urgency == job_urgency::patient && truth.runs_since != timestamp{0}) {
        truth.left = std::max<milliseconds>(1s, truth.left - (m_now - truth.runs_since));
    }
    truth.runs_since = timestamp{0};
    (void)apply_task_updates(m_jobs[pool],
                             {{id, static_cast<std::uint32_t>(epoch), task_result::stopped, job->vm}});
}

bool fleet_model::place(const std::string& pool) {
    std::map<std::string, std::uint32_t> ended;
    bool work = false;
    for (const job_record& job : m_jobs[pool].jobs) {
        if (!may_be_running(job.state)) {
            work = work || !has_ended(job.state);
            continue;
        }
        const vm_record* vm = m_fleet.find_vm(job.vm);
        if (vm == nullptr || vm->epoch > job.vm_epoch) {
            ended[job.vm] = vm == nullptr ? UINT32_MAX : vm->epoch; // The model's leases run out at once.
        }
        work = work || vm == nullptr || vm->state != vm_state::serving;
    }
    if (!work) {
        return false; // All run on serving VMs; there is nothing to decide.
    }
    const std::map<std::string, worker_health> workers;
    const placement_input input{m_config, m_fleet, pool,  m_jobs[pool], m_usage,
                                workers,  {},      ended, m_now,        m_choice.placing};
    const double begun = cpu_seconds();
    placement_plan plan = place_jobs(input);
    m_decision_seconds += cpu_seconds() - begun;
    ++m_decisions;
    if (!plan.changed) {
        return false;
    }
    m_jobs[pool] = std::move(plan.next);
    carry_out(pool);
    return true;
}

void fleet_model::carry_out(const std::string& pool) {
    for (job_record& job : m_jobs[pool].jobs) {
        job_truth& truth = m_truth[pool][job.id];
        if (job.state == job_state::assigned && is_up(job.vm)) {
            job.state = job_state::running;
            truth.runs_since = m_now;
            if (truth.urgent && !truth.started && m_now - truth.arrived > urgent_bound) {
                ++m_figures.late_urgent;
            }
            truth.started = true;
            schedule(truth.left, event_kind::job_ends, pool + "/" + job.id, job.epoch);
        } else if (job.state == job_state::stopping && job.reason != "stop ordered") {
            job.reason = "stop ordered";
            schedule(checkpoint_time, event_kind::job_stopped, pool + "/" + job.id, job.epoch);
        }
    }
}

} // namespace siskinpaddle::bench
