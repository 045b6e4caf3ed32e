#pragma once

#include "platform/platform.hpp"

namespace siskinpaddle::node {

/// The store counts as failing when a call has had no answer for this long. The value lies above the response
/// time of a slow store (a hundred times its usual four milliseconds) and well below a client's deadline.
inline constexpr milliseconds store_failing_after = 500ms;

/// Returns whether the store currently fails, so that requests that need it are refused at once instead of
/// waiting for a call's timeout. In an outage in which calls get no answer each client would otherwise wait
/// for its whole deadline and then retry.
[[nodiscard]] inline bool store_is_failing(const platform::store_client& store, timestamp now) {
    return store.unresponsive_for(now) >= store_failing_after;
}

/// The store counts as unresponsive, rather than slow or losing single answers, after this long without any
/// answer. The value lies above the interval of lease renewals (600 ms), which a responding store answers.
inline constexpr milliseconds store_unresponsive_after = 800ms;

/// Returns whether the store has sent no answer at all for so long that the outcome of pending writes should
/// be reported to their clients as unknown, while the clients can still retry. Guards against outages that
/// begin during a demand peak. While only single answers are lost, the write is repeated and its client waits
/// for the outcome.
[[nodiscard]] inline bool store_is_unresponsive(const platform::store_client& store, timestamp now) {
    return store.unresponsive_for(now) >= store_unresponsive_after;
}

} // namespace siskinpaddle::node
