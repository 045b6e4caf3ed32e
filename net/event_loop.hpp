#pragma once

#include "core/core.hpp"
#include "net/lifetime.hpp"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

struct event_base;
struct event;

namespace siskinpaddle {

/// A one-shot timer on an event loop that can be started again. Its destruction cancels it.
class timer {
  public:
    timer(event_base* base, std::function<void()> action);
    ~timer();
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires once after `delay`; replaces a pending start.
    void start(milliseconds delay);
    void cancel();

  private:
    std::function<void()> m_action;
    event* m_event;
};

/// One libevent loop: clock, timers, posted callbacks and signal handlers.
class event_loop {
  public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Runs until stop() is called. Not re-entrant.
    void run();
    void stop();

    /// Calls `action` from the loop, after the current callback has returned.
    void post(std::function<void()> action);

    [[nodiscard]] std::unique_ptr<timer> make_timer(std::function<void()> action);

    /// Calls `action` each time the signal arrives.
    void on_signal(int signal_number, std::function<void()> action);

    /// Monotonic time that also advances while the machine or this process is suspended.
    [[nodiscard]] static timestamp now();

    [[nodiscard]] event_base* base() const noexcept { return m_base; }

  private:
    struct signal_handler;

    void run_posted();

    event_base* m_base;
    event* m_posted_event;
    std::deque<std::function<void()>> m_posted;
    std::vector<std::unique_ptr<signal_handler>> m_signals;
};

} // namespace siskinpaddle
