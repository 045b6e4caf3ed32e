#include "policy/worker_health_tracker.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

constexpr int failures_to_quarantine = 3;
constexpr milliseconds initial_quarantine = 1min;
constexpr int max_doublings = 6;

} // namespace

std::vector<std::string> worker_health_tracker::update(const std::string& pool, const job_table& table,
                                                       timestamp now) {
    std::vector<std::string> newly_quarantined;
    std::map<std::string, seen_job> next;
    for (const job_record& job : table.jobs) {
        const seen_job before = m_seen_jobs[pool].contains(job.id) ? m_seen_jobs[pool][job.id] : seen_job{};
        next[job.id] = {job.failures, job.state};
        if (job.state == job_state::done && before.state != job_state::done) {
            m_workers[job.vm] = {};
            m_quarantine_counts[job.vm] = 0;
            m_last_failed_job.erase(job.vm);
        }
        if (job.failures <= before.failures || m_last_failed_job[job.failed_on] == job.id) {
            continue;
        }
        m_last_failed_job[job.failed_on] = job.id;
        worker_health& health = m_workers[job.failed_on];
        if (++health.consecutive_failures >= failures_to_quarantine) {
            int& quarantine_count = m_quarantine_counts[job.failed_on];
            health.quarantined_until =
                now + initial_quarantine * (1 << std::min(quarantine_count, max_doublings));
            ++quarantine_count;
            newly_quarantined.push_back(job.failed_on);
        }
    }
    m_seen_jobs[pool] = std::move(next);
    return newly_quarantined;
}

} // namespace siskinpaddle
