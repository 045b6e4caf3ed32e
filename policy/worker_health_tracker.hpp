#pragma once

#include "policy/jobs.hpp"
#include "policy/placement.hpp"

#include <map>
#include <string>

namespace siskinpaddle {

/// Detects from the job tables which workers fail every task they start, and quarantines their VMs for a time
/// that doubles with each quarantine. Repeated failures of the same job indicate a fault of the job, so only
/// failures of different jobs count. Pure; not thread-safe.
class worker_health_tracker {
  public:
    /// Processes a newer table of a pool. Returns the VMs that are newly quarantined by this update.
    std::vector<std::string> update(const std::string& pool, const job_table& table, timestamp now);

    [[nodiscard]] const std::map<std::string, worker_health>& workers() const noexcept { return m_workers; }

  private:
    struct seen_job {
        std::uint32_t failures = 0;
        job_state state = job_state::queued;
    };

    std::map<std::string, std::map<std::string, seen_job>> m_seen_jobs;
    std::map<std::string, worker_health> m_workers;
    std::map<std::string, std::string> m_last_failed_job;
    std::map<std::string, int> m_quarantine_counts;
};

} // namespace siskinpaddle
