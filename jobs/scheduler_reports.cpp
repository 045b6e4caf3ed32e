#include "jobs/scheduler.hpp"

#include <algorithm>
#include <tuple>

namespace siskinpaddle::jobs {

/// The first task of the step that is neither done nor has a run, or null.
const task_state* scheduler::first_waiting_task(const job_state& job, step_position position) {
    if (job.idle_tasks(position) == 0) {
        return nullptr;
    }
    for (std::uint32_t index = 0; index < job.spec().steps[position.step].count; ++index) {
        const task_state& task = job.task(job.id_of(position, index));
        if (!task.done && task.runs.empty()) {
            return &task;
        }
    }
    return nullptr;
}

std::optional<wait_reason> scheduler::wait_reason_of(const job_state& job, step_position position,
                                                     timestamp now) const {
    const task_state* task = first_waiting_task(job, position);
    if (task == nullptr) {
        return std::nullopt;
    }
    const step_spec& step = job.spec().steps[position.step];
    if (job.begins_at(position.occurrence, m_wall_offset) > now) {
        return wait_reason::due_time;
    }
    if (!job.dependencies_done(position)) {
        return wait_reason::earlier_steps;
    }
    if (task->may_have_unknown_run && !step.speculative) {
        return wait_reason::unconfirmed_vms;
    }
    if (!m_accounts.admits(job.account(), step.need)) {
        return wait_reason::account_limit;
    }
    return suspicion_of(task->crashes) >= suspicion::suspected ? wait_reason::crash_evidence
                                                               : wait_reason::capacity;
}

std::optional<waiting_job> scheduler::describe_waiting(const job_state& job, timestamp now) const {
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        for (std::uint32_t step = 0; step < job.spec().steps.size(); ++step) {
            const std::optional<wait_reason> reason = wait_reason_of(job, {occurrence, step}, now);
            if (!reason) {
                continue;
            }
            const timestamp begins_at = job.begins_at(occurrence, m_wall_offset);
            waiting_job row;
            row.job = job.spec().id;
            row.account = job.account();
            row.queue = job.spec().queue;
            row.rank = rank_of(job, *queue_of(job), begins_at, now);
            row.waiting = std::max<milliseconds>(0ms, now - begins_at);
            row.until_objective = row.rank.objective_at - now;
            row.waiting_tasks = job.total_idle_tasks();
            row.running_tasks = job.total_runs();
            row.reason = *reason;
            return row;
        }
    }
    return std::nullopt;
}

std::vector<waiting_job> scheduler::waiting_jobs(std::size_t max_count, timestamp now) const {
    std::vector<waiting_job> rows;
    for (const auto& [id, job] : m_jobs) {
        if (is_final(job.phase()) || job.total_idle_tasks() == 0) {
            continue;
        }
        if (std::optional<waiting_job> row = describe_waiting(job, now)) {
            rows.push_back(std::move(*row));
        }
    }
    std::ranges::sort(rows, {}, [](const waiting_job& row) { return std::tie(row.rank, row.job); });
    rows.resize(std::min(rows.size(), max_count));
    return rows;
}

step_report scheduler::describe_step(const job_state& job, step_position position, timestamp now) const {
    step_report report;
    report.occurrence = position.occurrence;
    report.step = position.step;
    report.tasks = job.spec().steps[position.step].count;
    report.done = report.tasks - job.unfinished_tasks(position);
    report.waiting = job.idle_tasks(position);
    report.reason = wait_reason_of(job, position, now);
    for (std::uint32_t index = 0; index < report.tasks; ++index) {
        for (const run& item : job.task(job.id_of(position, index)).runs) {
            report.runs.push_back(
                {index, item.attempt, item.vm, item.phase, now - item.started_at, item.percent});
        }
    }
    return report;
}

std::optional<job_report> scheduler::describe_job(const std::string& id, std::size_t max_steps,
                                                  timestamp now) const {
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    const job_state& job = found->second;
    const timestamp begins_at = job.begins_at(0, m_wall_offset);
    job_report report;
    report.job = id;
    report.account = job.account();
    report.queue = job.spec().queue;
    report.phase = !is_final(job.phase()) && job.has_begun() ? job_phase::running : job.phase();
    report.age = now - job.accepted_at();
    report.until_objective = objective_of(job, *queue_of(job), begins_at) - now;
    job.for_each_step([&](step_position position) {
        if (report.steps.size() < max_steps) {
            report.steps.push_back(describe_step(job, position, now));
        }
    });
    return report;
}

std::vector<account_report> scheduler::describe_accounts() const {
    std::map<std::string, account_report> by_account;
    for (const auto& [id, job] : m_jobs) {
        if (job.account().empty() || is_final(job.phase())) {
            continue;
        }
        account_report& report = by_account[job.account()];
        ++report.jobs;
        report.waiting_jobs += job.total_idle_tasks() > 0 ? 1 : 0;
    }
    for (const std::string& account : m_shares.asking_accounts()) {
        by_account.try_emplace(account);
    }
    std::vector<account_report> reports;
    for (auto& [account, report] : by_account) {
        report.account = account;
        report.used = m_accounts.used(account);
        report.ceiling = m_accounts.ceiling(account);
        report.is_limited = m_accounts.is_limited(account);
        report.share = m_shares.share_of(account);
        reports.push_back(std::move(report));
    }
    return reports;
}

} // namespace siskinpaddle::jobs
