#pragma once

#include "jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace siskinpaddle::jobs {

/// Figures of the window.
struct start_window_settings {
    /// Bytes of starts that may be on their way at a time. A link of 2 Mbit/s carries them in an eighth of a
    /// second; with answers after 5 ms they allow thousands of starts a second.
    std::size_t most_bytes = 32UL * 1024;
    std::size_t overhead_bytes = 400; ///< Of a start beside its payload: header fields, names, numbers.
    /// A start without an answer counts for this long. Beyond it the VM is silent rather than the link slow,
    /// and a few silent VMs must not hold up the starts of all others.
    milliseconds answer_patience = 300ms;
};

/// Bounds the starts that are on their way to a pool's VMs. Answers an owner on a narrow link or a slow
/// processor whose pool gets a hundred VMs within a second: with hundreds of starts sent at once their
/// answers, the renewals of the VMs' leases and those of its own lease wait behind them for longer than their
/// timeouts. Starts without an answer are then stopped and sent again, VMs are given up that run, and whoever
/// takes the pool over fails the same way. Not thread-safe.
class start_window {
  public:
    explicit start_window(start_window_settings settings = {}) : m_settings(settings) {}

    void sent(const task_id& task, std::uint32_t attempt, std::size_t payload_bytes, timestamp now);
    /// The start was answered, or given up.
    void settled(const task_id& task, std::uint32_t attempt);
    /// Whether another start may be sent. After it was full once it opens again when half of it is free, so
    /// that starts go out in batches rather than one with each answer.
    [[nodiscard]] bool open(timestamp now);
    /// Starts were held back, and there is room for the next ones.
    [[nodiscard]] bool reopens() const noexcept { return m_full && m_bytes < m_settings.most_bytes / 2; }

  private:
    struct entry {
        task_id task;
        std::uint32_t attempt = 0;
        std::size_t bytes = 0;
        timestamp sent_at{0};
    };

    void forget_silent(timestamp now);

    start_window_settings m_settings;
    std::deque<entry> m_entries; ///< By the time at which they were sent.
    std::size_t m_bytes = 0;
    bool m_full = false;
};

} // namespace siskinpaddle::jobs
