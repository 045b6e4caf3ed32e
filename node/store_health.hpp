#pragma once

#include "platform/platform.hpp"

namespace siskinpaddle::node {

/// The store counts as failing when a call has gone without an answer for this long: above what a slow store
/// takes (a hundred times its usual four milliseconds), well below a client's patience.
inline constexpr milliseconds store_failing_after = 500ms;

/// Whether the store fails just now, so that what needs it can be refused at once instead of waiting for a
/// call's timeout. Answers outages that swallow calls: each client would wait out its whole deadline and then
/// come again.
[[nodiscard]] inline bool store_is_failing(const platform::store_client& store, timestamp now) {
    return store.unresponsive_for(now) >= store_failing_after;
}

/// The store counts as silent, not just late or losing single answers, after this long: above the interval of
/// lease renewals (600 ms), which are answered meanwhile.
inline constexpr milliseconds store_unresponsive_after = 800ms;

/// Whether nothing at all has been heard of the store for so long that what was sent to it is better given
/// up: its client can still come back. Answers outages that begin in a turn of demand; while single answers
/// are lost, the write is repeated and its client waits for the outcome.
[[nodiscard]] inline bool store_is_unresponsive(const platform::store_client& store, timestamp now) {
    return store.unresponsive_for(now) >= store_unresponsive_after;
}

} // namespace siskinpaddle::node
