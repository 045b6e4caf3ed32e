#pragma once

#include "jobs/commitments.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace siskinpaddle::jobs {

/// What a pool's owner expects of the next seconds.
struct room_forecast {
    capacity_forecast capacity;
    std::int64_t waiting_work = 0; ///< Done before a job that can be in time, millicore-milliseconds.
    std::int64_t late_work = 0;    ///< Done, besides, before a job that can't; millicore-milliseconds.
};

/// A job that is refused.
struct refused_job {
    std::string id;
    std::int64_t work = 0;          ///< Millicore-milliseconds.
    milliseconds waited{0};         ///< Since the client's first attempt; 0 if this is the first.
    milliseconds latest_in_time{0}; ///< Time since the first attempt until which it can begin in time.
};

/// When a refused client is told to return.
struct return_time {
    milliseconds retry_after{0};
    bool has_room = false; ///< Room is promised; otherwise there is none within max_retry_after.
};

/// Tells refused clients when to return: in the first second in which the pool has room that is not promised
/// to others. Not thread-safe.
///
/// Answers the load of a demand peak that a pool can't do: told the same delay, all that were refused in one
/// second return together, are refused together, and return again.
class return_schedule {
  public:
    /// Promises room to the job, in place of an earlier promise.
    [[nodiscard]] return_time schedule(const refused_job& job, const room_forecast& forecast, timestamp now);
    /// Drops the promise to a job that has returned.
    void drop(const std::string& job);
    /// Work that is promised room in the second that contains `at`, millicore-milliseconds.
    [[nodiscard]] std::int64_t promised_work(timestamp at) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_promises.size(); }

    /// Clients receive the delay in whole seconds.
    static constexpr milliseconds min_retry_after = 1s;
    /// Clients' own objectives are a few seconds.
    static constexpr milliseconds max_retry_after = 5s;
    /// Most promises at a time.
    static constexpr std::size_t max_promises = 8192;

  private:
    struct promise {
        std::int64_t second = 0; ///< On the owner's clock.
        std::int64_t work = 0;
    };

    void drop_passed(timestamp now);

    std::map<std::string, promise> m_promises;   ///< By job.
    std::map<std::int64_t, std::int64_t> m_work; ///< Promised work by second.
};

} // namespace siskinpaddle::jobs
