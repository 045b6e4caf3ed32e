#pragma once

#include "net/event_loop.hpp"

#include <memory>

namespace siskinpaddle {

/// Measures the time in which the event loop makes progress: while the clock runs, it advances with the
/// steady clock, but by at most one tick per iteration of the loop. Not thread-safe.
///
/// Prevents a busy process from mistaking its own delay for an unresponsive peer: an answer that stays unread
/// in the socket for three iterations of 200 ms looks like one that never came. By this clock these
/// iterations take 150 ms.
class loop_clock {
  public:
    /// Step of the clock. Short compared with the times that this clock is used for, which start at 500 ms;
    /// causes twenty wake-ups per second while the clock runs.
    static constexpr milliseconds tick{50};

    explicit loop_clock(event_loop& loop);

    /// Starts the clock; has no effect while the clock runs.
    void start();
    /// Stops the clock until the next start().
    void stop();
    /// Returns the time that has elapsed on this clock, at the steady clock's `now`.
    [[nodiscard]] milliseconds read(timestamp now) const;

  private:
    void advance();

    std::unique_ptr<timer> m_timer;
    milliseconds m_elapsed{0};   ///< Until the last tick.
    timestamp m_last_tick_at{0}; ///< 0 while the clock is stopped.
};

} // namespace siskinpaddle
