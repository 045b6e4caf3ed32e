#pragma once

#include "jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace siskinpaddle::jobs {

struct start_window_settings {
    /// Maximum bytes of start orders in flight: what the owner's link carries in a fraction of the timeouts
    /// of all calls that share the link.
    std::size_t max_bytes_in_flight = 32UL * 1024;
    std::size_t overhead_bytes = 400; ///< Per start order, beside its payload: header fields, names, numbers.
    /// How long a start without an answer counts as in flight. After this time the VM is probably
    /// unresponsive rather than the link slow, and a few unresponsive VMs must not delay all other starts.
    milliseconds answer_timeout = 300ms;
    milliseconds rate_window = 1s; ///< Time over which the rate of starts is computed.
    /// Minimum time that starts must have been throttled before a rate is reported: a burst that is sent at
    /// once gives no information about the sustainable rate.
    milliseconds min_throttled_time = 400ms;
};

/// Limits the start orders in flight to a pool's VMs. If a pool gets a hundred VMs within a second and its
/// owner has a narrow link or a slow processor, sending hundreds of starts at once delays their answers, the
/// renewals of the VMs' leases and the renewals of the owner's own lease beyond their timeouts. Unanswered
/// starts are then stopped and sent again, running VMs are treated as failed, and the next owner fails the
/// same way. Not thread-safe.
class start_window {
  public:
    explicit start_window(start_window_settings settings = {}) : m_settings(settings) {}

    /// Records that a start order was sent. `work`: the task's work in millicore-milliseconds.
    void record_sent(const task_id& task, std::uint32_t attempt, std::size_t payload_bytes, std::int64_t work,
                     timestamp now);
    /// Removes a start from the window once it is answered or abandoned.
    void release(const task_id& task, std::uint32_t attempt);
    /// Whether another start may be sent; drops timed-out starts first. Once full, the window stays closed
    /// until half of it is free, so that starts are sent in batches rather than one per answer.
    [[nodiscard]] bool can_send(timestamp now);
    /// Ends the throttling period. Must be called once every waiting task that fits is placed.
    void reset_throttling() noexcept { m_throttled_since.reset(); }
    /// Millicores that can be kept busy if starts are sent as fast as they are answered. Empty unless starts
    /// have been throttled for at least `min_throttled_time`.
    [[nodiscard]] std::optional<std::int64_t> sustained_millicores(timestamp now);
    /// Whether starts were throttled and half of the window is free again.
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
    std::deque<in_flight_start> m_in_flight; ///< Starts in flight in the order of sending.
    std::size_t m_bytes = 0;
    bool m_full = false;
    std::optional<timestamp> m_throttled_since; ///< Start of the current throttling period.
    std::deque<started_work> m_started;         ///< Starts within `rate_window`, oldest first.
};

} // namespace siskinpaddle::jobs
