#pragma once

#include "net/net.hpp"

#include <functional>

namespace siskinpaddle::tests {

/// Runs the loop until `condition` holds, which is asked between turns and may run the loop itself. Returns
/// false when a generous bound passes first, which only a fault or a stuck machine reaches: no check depends
/// on how fast things are.
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
