#include "policy/task_reports.hpp"

namespace siskinpaddle {

namespace {

void requeue(job_record& job) {
    job.state = job_state::queued;
    job.last_vm = job.vm;
    job.vm.clear();
}

void enter_stopped(job_record& job) {
    if (job.state == job_state::cancelling) {
        job.state = job_state::cancelled;
        return;
    }
    // Stopped at our word, or because its lease ran out or its worker restarted: either way it runs no more
    // there.
    requeue(job);
}

void enter(job_record& job, const task_news& news) {
    switch (news.result) {
    case task_result::running:
        if (job.state == job_state::assigned) {
            job.state = job_state::running;
        }
        return;
    case task_result::done:
        job.state = job_state::done;
        job.used = news.used;
        job.reason.clear();
        return;
    case task_result::failed:
        ++job.failures;
        job.failed_on = news.vm;
        if (job.state == job_state::cancelling) {
            job.state = job_state::cancelled;
        } else {
            requeue(job);
        }
        return;
    case task_result::stopped:
        enter_stopped(job);
        return;
    }
}

} // namespace

bool enter_task_news(job_table& table, const std::vector<task_news>& news) {
    bool changed = false;
    for (const task_news& item : news) {
        job_record* job = table.find(item.job);
        if (job == nullptr || job->epoch != item.epoch || !may_run(job->state)) {
            continue;
        }
        const job_record before = *job;
        enter(*job, item);
        changed = changed || before != *job;
    }
    if (changed) {
        ++table.revision;
        trim_ended_jobs(table);
    }
    return changed;
}

} // namespace siskinpaddle
