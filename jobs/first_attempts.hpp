#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace siskinpaddle::jobs {

/// When jobs that were refused were first asked for. Clients' objectives count from their first attempt, so a
/// job that returns has less time left than one that is asked for now. Lost with the pool's owner: that costs
/// order among jobs, never a job. Not thread-safe.
class first_attempts {
  public:
    /// Records a refusal at `now`. The first refusal of a job counts. It is forgotten at the latest of its
    /// `keep_until`, by when its client returns: forgotten sooner, an old job would pass for a new one.
    void record_refusal(const std::string& job, timestamp keep_until, timestamp now);
    /// When the job was first asked for; nothing if it was not refused, or long ago.
    [[nodiscard]] std::optional<timestamp> find(const std::string& job, timestamp now) const;
    /// Time that the client of the job has waited until `now`; 0 if the job was not refused.
    [[nodiscard]] milliseconds waited(const std::string& job, timestamp now) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_attempts.size(); }

    /// Most jobs recorded; beyond it the oldest are forgotten.
    static constexpr std::size_t max_jobs = 8192;

  private:
    struct attempt {
        timestamp at{0};
        timestamp keep_until{0};
    };

    void remove_expired(timestamp now);

    std::map<std::string, attempt> m_attempts;                   ///< By job.
    std::set<std::pair<timestamp, std::string>> m_by_time;       ///< First attempt and job, oldest first.
    std::set<std::pair<timestamp, std::string>> m_by_keep_until; ///< Time to forget and job, soonest first.
};

} // namespace siskinpaddle::jobs
