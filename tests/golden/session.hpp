#pragma once

#include "policy/fleet_builder.hpp"

#include <string>

namespace siskinpaddle::tests {

/// Plays a session script against the pure decisions and returns the script with every decision written under
/// the event that caused it. Events are one a line; lines that begin with '#' are kept as they are. Unknown
/// events end the session with a line that says so.
[[nodiscard]] std::string run_session(const std::string& script);

} // namespace siskinpaddle::tests
