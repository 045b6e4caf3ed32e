#pragma once

#include "core/core.hpp"

#include <span>
#include <string>
#include <vector>

namespace siskinpaddle::soak {

/// A submit that a pool's owner accepted or refused for load.
struct judged_submit {
    std::size_t account = 0;
    std::int64_t owner = 0; ///< Fencing token of the pool's owner.
    timestamp answered{0};
    std::size_t tasks = 0;
    bool is_accepted = false;
    bool may_be_limited = false; ///< The account's own limit may be the reason for the refusal.
};

/// Returns accounts that an owner refused for load, though they asked for less than their share, in each of
/// `seconds` successive seconds in which it accepted another account's jobs beyond that one's share. What was
/// accepted in a second counts as the pool's room; an account's share of it goes by weight. `seconds` covers
/// the time in which an owner measures what the accounts ask for. Pure; thread-safe.
[[nodiscard]] std::vector<std::string> check_shares(std::span<const judged_submit> submits,
                                                    std::span<const double> weights, std::int64_t seconds);

} // namespace siskinpaddle::soak
