#pragma once

#include "jobs/fleet_configuration.hpp"
#include "jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace siskinpaddle::jobs {

/// Room of a pool for new jobs, as its owner tells it to the nodes that send it jobs.
struct pool_room {
    milliseconds queue_wait{0};  ///< Time that the pool needs for the waiting work.
    milliseconds refuses_for{0}; ///< How much longer other jobs are likely to be refused; 0 if unlikely.
    std::int64_t millicores = 0; ///< Capacity of the pool's VMs.
};

/// A pool that has refused a job for load is likely to refuse others for this long. It is also the time in
/// which an owner that has died is replaced.
inline constexpr milliseconds refusal_ttl = 2s;

/// Decides at an entry what happens to a job whose pool's owner can't be asked: whether it may be left in
/// the pool's inbox, from where it is accepted without the owner's admission. Keeps what the owner has told
/// last. Not thread-safe.
///
/// Answers the load of an owner that dies, is cut off, or answers late while jobs go on arriving: left in
/// the inbox regardless, they would be accepted by the hundred, far beyond what the pool can still do in
/// time.
class known_room {
  public:
    /// Records what the owner told with an answer. Jobs left before count as part of it.
    void record(const pool_room& told, timestamp now) noexcept;
    /// Records that the owner refused a job for load and sends others back for `retry_after`.
    void record_refusal(milliseconds retry_after, timestamp now) noexcept;
    /// Records that a job was left in the inbox.
    void record_left(const job_spec& spec);

    /// Whether the owner refused a job of this entry within refusal_ttl; also if it has accepted others
    /// since.
    [[nodiscard]] bool has_refused(timestamp now) const noexcept { return now < m_refused_until; }
    /// Returns after which delay the client should send the job again if it may not be left in the inbox;
    /// nothing if it may. `entries`: number of nodes that receive jobs; each is taken to leave as many as
    /// this one. Precondition: entries >= 1.
    [[nodiscard]] std::optional<milliseconds> refusal_of(const job_spec& spec, const queue_settings& queue,
                                                         std::size_t entries, timestamp now) const;

  private:
    [[nodiscard]] milliseconds expected_wait(std::size_t entries, timestamp now) const;

    std::optional<pool_room> m_told;
    timestamp m_told_at{0};
    std::int64_t m_left_work = 0; ///< Left in the inbox since m_told_at, millicore-milliseconds.
    timestamp m_refused_until{0};
    milliseconds m_retry_after{0};
};

} // namespace siskinpaddle::jobs
