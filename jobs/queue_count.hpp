#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <optional>

namespace siskinpaddle::jobs {

/// Maximum age of a queue's count of waiting jobs when it is reported, including the age of all copies it is
/// based on. Required by the platform.
inline constexpr milliseconds max_count_age = 2s;

/// What a pool's owner knows about the jobs of a queue that have not begun.
struct queue_count_inputs {
    std::size_t in_scheduler = 0;    ///< Jobs in the owner's scheduler.
    std::size_t unconfirmed = 0;     ///< Jobs whose record may be stored: its write has no answer yet.
    std::size_t in_inbox = 0;        ///< Jobs that entries accepted and the scheduler does not have yet.
    milliseconds inbox_age{0};       ///< Maximum age of the owner's copy of the inbox.
    bool is_confirmed_owner = false; ///< No other node can have claimed the pool.
    /// The configuration is not proved recent enough to state that the queue exists.
    bool may_be_dropped = false;
};

/// Returns the queue's count of waiting jobs, or nothing if jobs may be missing from it. Pure; thread-safe.
///
/// During a demand peak or a takeover, hundreds of accepted jobs can be in the inbox, so a count of the jobs
/// in the scheduler alone would be too low. An owner whose copy of the inbox is outdated, or whose pool may
/// have been taken over by another node, can't determine which jobs are missing and reports no count.
[[nodiscard]] constexpr std::optional<std::size_t>
complete_queue_count(const queue_count_inputs& known) noexcept {
    if (!known.is_confirmed_owner || known.may_be_dropped || known.inbox_age > max_count_age) {
        return std::nullopt;
    }
    return known.in_scheduler + known.unconfirmed + known.in_inbox;
}

} // namespace siskinpaddle::jobs
