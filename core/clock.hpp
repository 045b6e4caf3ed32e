#pragma once

#include <chrono>
#include <cstdint>

namespace siskinpaddle {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Monotonic time since an arbitrary origin that is fixed for one process. It is a duration so that pure
/// decisions can be fed any clock, a real one or a test's.
using timestamp = std::chrono::milliseconds;

/// Time of day, ms since 1970. It may jump and differs between machines; only for times that clients state or
/// that must be understood by another process.
[[nodiscard]] inline std::int64_t wall_clock_ms() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace siskinpaddle
