#pragma once

#include "policy/fleet_builder.hpp"

#include <string>

namespace siskinpaddle::tests {

/// Runs a session script against the policy library and returns the script with every decision written below
/// the event that caused it. Each line has one event; lines that begin with '#' are copied unchanged. An
/// unknown event ends the session with an error line.
[[nodiscard]] std::string run_session(const std::string& script);

} // namespace siskinpaddle::tests
