#pragma once

#include "core/core.hpp"

#include <cstddef>

/// How often the fleet's owner looks at a fleet of the given number of machines. All functions are pure and
/// thread-safe.
namespace siskinpaddle::node {

/// Returns the time from the beginning of one round to the beginning of the next.
///
/// Answers the load of pools' owners whose answers name each of their VMs: beyond some thousand machines
/// rounds are rarer, so that a second of rounds costs the same at every size.
[[nodiscard]] milliseconds round_interval(std::size_t machines);

/// Returns the time from the beginning of one list of machines to the beginning of the next while no
/// maintenance wave runs.
///
/// Answers the load of a platform whose list grows with its machines: read as a whole in every round, it
/// makes the fleet's owner the node with the most traffic. Read at a constant number of pages a second, it
/// costs the same at every size, less than the calls of a busy pool's owner. What an old list delays is the
/// next move of a machine that has just arrived; whether a VM is empty is known from its pool's owner.
[[nodiscard]] milliseconds list_interval(std::size_t machines);

/// Returns the age from which a list is too old to plan by it.
[[nodiscard]] milliseconds max_list_age(std::size_t machines, bool is_wave_running);

} // namespace siskinpaddle::node
