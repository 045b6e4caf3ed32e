#pragma once

#include <chrono>
#include <cstdint>

namespace siskinpaddle {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Monotonic time since an arbitrary origin that is fixed for one process. It is a duration, so that code
/// without I/O can be called with the time of a real or of a simulated clock.
using timestamp = std::chrono::milliseconds;

/// Time of day in ms since 1970. It may jump and differs between machines; use it only for times that clients
/// specify or that another process has to interpret.
[[nodiscard]] inline std::int64_t wall_clock_ms() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace siskinpaddle
