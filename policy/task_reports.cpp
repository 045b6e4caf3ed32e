#include "policy/task_reports.hpp"

namespace siskinpaddle {

namespace {

void requeue(job_record& job) {
    job.state = job_state::queued;
    job.last_vm = job.vm;
    job.vm.clear();
}

void apply_stopped(job_record& job) {
    if (job.state == job_state::cancelling) {
        job.state = job_state::cancelled;
        return;
    }
    // The task was stopped on request, its lease expired or its worker restarted. In each case it no longer
    // runs there.
    requeue(job);
}

void apply_update(job_record& job, const task_update& update) {
    switch (update.result) {
    case task_result::running:
        if (job.state == job_state::assigned) {
            job.state = job_state::running;
        }
        return;
    case task_result::done:
        job.state = job_state::done;
        job.used = update.used;
        job.reason.clear();
        return;
    case task_result::failed:
        ++job.failures;
        job.failed_on = update.vm;
        if (job.state == job_state::cancelling) {
            job.state = job_state::cancelled;
        } else {
            requeue(job);
        }
        return;
    case task_result::stopped:
        apply_stopped(job);
        return;
    }
}

} // namespace

bool apply_task_updates(job_table& table, const std::vector<task_update>& updates) {
    bool changed = false;
    for (const task_update& item : updates) {
        job_record* job = table.find(item.job);
        if (job == nullptr || job->epoch != item.epoch || !may_be_running(job->state)) {
            continue;
        }
        const job_record before = *job;
        apply_update(*job, item);
        changed = changed || before != *job;
    }
    if (changed) {
        ++table.revision;
        trim_ended_jobs(table);
    }
    return changed;
}

} // namespace siskinpaddle
