#pragma once

#include "net/net.hpp"

#include <functional>

namespace siskinpaddle::tests {

/// Runs the loop until `condition` holds. The condition is checked between iterations and may run the loop
/// itself. Returns false when `timeout` expires first. The timeout is long enough that only a fault or a
/// stalled machine reaches it, so no check depends on the speed of the machine.
inline bool loop_until(event_loop& loop, const std::function<bool()>& condition, milliseconds timeout = 60s) {
    const timestamp deadline = event_loop::now() + timeout;
    const std::unique_ptr<timer> poll_timer = loop.make_timer([&loop] { loop.stop(); });
    while (!condition()) {
        if (event_loop::now() > deadline) {
            return false;
        }
        poll_timer->start(2ms);
        loop.run();
    }
    return true;
}

} // namespace siskinpaddle::tests
