#pragma once

#include "telemetry/telemetry.hpp"

#include <cstdlib>

namespace siskinpaddle::tests {

/// Starts the event log once per test process. Logs errors only, or events from the level in the environment
/// variable SISKINPADDLE_TEST_LOG upwards. Not thread-safe.
inline void start_test_log() {
    static bool started = false;
    if (started) {
        return;
    }
    const char* level = std::getenv("SISKINPADDLE_TEST_LOG");
    start_event_log(
        "test", value_named<event_level>(level == nullptr ? "error" : level).value_or(event_level::error));
    started = true;
}

} // namespace siskinpaddle::tests
