#pragma once

#include "net/event_loop.hpp"

#include <memory>

namespace siskinpaddle {

/// Measures time in which the loop kept turning: while it runs it advances with the steady clock, but by one
/// tick at most for each turn of the loop. Not thread-safe.
///
/// Guards against a busy process that takes its own delay for another's silence: an answer that lies in the
/// socket for three turns of 200 ms looks like one that never came. By this clock these turns are 150 ms.
class loop_clock {
  public:
    /// Step of the clock. Short against the times that are measured with it, from 500 ms on; twenty wake-ups
    /// a second while it runs.
    static constexpr milliseconds tick{50};

    explicit loop_clock(event_loop& loop);

    /// Runs from now on; harmless if it does already.
    void start();
    /// Stands still from now on.
    void stop();
    /// Time that has passed on this clock, at the steady clock's `now`.
    [[nodiscard]] milliseconds read(timestamp now) const;

  private:
    void advance();

    std::unique_ptr<timer> m_timer;
    milliseconds m_elapsed{0};   ///< Up to the latest tick.
    timestamp m_last_tick_at{0}; ///< 0: it stands still.
};

} // namespace siskinpaddle
