#pragma once

#include "jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace siskinpaddle::jobs {

/// Figures of the window.
struct start_window_settings {
    /// Bytes of starts that may be on their way at a time: what the owner's link carries in a fraction of the
    /// timeouts of all that shares it.
    std::size_t max_bytes_in_flight = 32UL * 1024;
    std::size_t overhead_bytes = 400; ///< Of a start beside its payload: header fields, names, numbers.
    /// A start without an answer counts for this long. Beyond it the VM is silent rather than the link slow,
    /// and a few silent VMs must not hold up the starts of all others.
    milliseconds answer_timeout = 300ms;
    milliseconds rate_window = 1s; ///< Over which the rate of starts is taken ...
    /// ... and how long starts must have been held back for it to mean anything: a burst that goes out at
    /// once says nothing about a rate.
    milliseconds min_throttled_time = 400ms;
};

/// Bounds the starts that are on their way to a pool's VMs. Answers an owner on a narrow link or a slow
/// processor whose pool gets a hundred VMs within a second: with hundreds of starts sent at once their
/// answers, the renewals of the VMs' leases and those of its own lease wait behind them for longer than their
/// timeouts. Starts without an answer are then stopped and sent again, VMs are given up that run, and whoever
/// takes the pool over fails the same way. Not thread-safe.
class start_window {
  public:
    explicit start_window(start_window_settings settings = {}) : m_settings(settings) {}

    /// `work`: of the task, millicore-milliseconds.
    void record_sent(const task_id& task, std::uint32_t attempt, std::size_t payload_bytes, std::int64_t work,
                     timestamp now);
    /// The start was answered, or given up.
    void release(const task_id& task, std::uint32_t attempt);
    /// Whether another start may be sent. After it was full once it opens again when half of it is free, so
    /// that starts go out in batches rather than one with each answer.
    [[nodiscard]] bool can_send(timestamp now);
    /// To be called when all that waited was placed, as far as there is room.
    void reset_throttling() noexcept { m_throttled_since.reset(); }
    /// Millicores that starts keep at work when they go out as fast as they are answered; nothing while the
    /// window does not hold any back, or has done so only for a moment.
    [[nodiscard]] std::optional<std::int64_t> sustained_millicores(timestamp now);
    /// Starts were held back, and there is room for the next ones.
    [[nodiscard]] bool can_resume() const noexcept {
        return m_full && m_bytes < m_settings.max_bytes_in_flight / 2;
    }

  private:
    struct in_flight_start {
        task_id task;
        std::uint32_t attempt = 0;
        std::size_t bytes = 0;
        timestamp sent_at{0};
    };

    struct started_work {
        std::int64_t work = 0;
        timestamp started_at{0};
    };

    void drop_timed_out(timestamp now);

    start_window_settings m_settings;
    std::deque<in_flight_start> m_in_flight; ///< By the time at which they were sent.
    std::size_t m_bytes = 0;
    bool m_full = false;
    std::optional<timestamp> m_throttled_since; ///< Starts have been held back ever since.
    std::deque<started_work> m_started;         ///< Of the last moments, by time.
};

} // namespace siskinpaddle::jobs
