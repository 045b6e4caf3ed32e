#pragma once

#include <chrono>

namespace siskinpaddle {

using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Monotonic time since an arbitrary origin that is fixed for one process. It is a duration so that pure
/// decisions can be fed any clock, a real one or a test's.
using timestamp = std::chrono::milliseconds;

} // namespace siskinpaddle
