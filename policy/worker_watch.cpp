#include "policy/worker_watch.hpp"

#include <algorithm>

namespace siskinpaddle {

namespace {

constexpr int failures_to_set_aside = 3;
constexpr milliseconds first_time_aside = 1min;
constexpr int most_doublings = 6;

} // namespace

std::vector<std::string> worker_watch::look(const std::string& pool, const job_table& table, timestamp now) {
    std::vector<std::string> newly_aside;
    std::map<std::string, seen_job> next;
    for (const job_record& job : table.jobs) {
        const seen_job before = m_seen[pool].contains(job.id) ? m_seen[pool][job.id] : seen_job{};
        next[job.id] = {job.failures, job.state};
        if (job.state == job_state::done && before.state != job_state::done) {
            m_workers[job.vm] = {};
            m_times_aside[job.vm] = 0;
            m_last_failed_job.erase(job.vm);
        }
        if (job.failures <= before.failures || m_last_failed_job[job.failed_on] == job.id) {
            continue;
        }
        m_last_failed_job[job.failed_on] = job.id;
        worker_health& health = m_workers[job.failed_on];
        if (++health.failures_in_row >= failures_to_set_aside) {
            int& times = m_times_aside[job.failed_on];
            health.aside_until = now + first_time_aside * (1 << std::min(times, most_doublings));
            ++times;
            newly_aside.push_back(job.failed_on);
        }
    }
    m_seen[pool] = std::move(next);
    return newly_aside;
}

} // namespace siskinpaddle
