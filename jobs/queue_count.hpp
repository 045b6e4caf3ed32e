#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <optional>

namespace siskinpaddle::jobs {

/// A queue's count of waiting jobs may be this old when it is told, all copies included; the platform's
/// bound.
inline constexpr milliseconds max_count_age = 2s;

/// What an owner knows of the jobs of a queue that have not begun.
struct queue_count_inputs {
    std::size_t in_scheduler = 0; ///< Jobs that it decides about.
    std::size_t unconfirmed = 0;  ///< Jobs whose record may be stored: the store has not answered its write.
    std::size_t in_inbox = 0;     ///< Jobs that entries accepted and that it has not taken yet.
    milliseconds inbox_age{0};    ///< How old its copy of the inbox may be.
    bool is_confirmed_owner = false; ///< No other node can have claimed the pool.
};

/// The queue's count of waiting jobs, or nothing if jobs may be missing. Pure; thread-safe.
///
/// Answers the peak of a turn at a busy owner, and a change of owner: hundreds of jobs lie in the inbox,
/// their clients told that they are accepted. An owner that counts only what it has taken tells a
/// part of them. One that follows the inbox late, or that another node may have replaced, can't know what is
/// missing and tells nothing.
[[nodiscard]] constexpr std::optional<std::size_t>
complete_queue_count(const queue_count_inputs& known) noexcept {
    if (!known.is_confirmed_owner || known.inbox_age > max_count_age) {
        return std::nullopt;
    }
    return known.in_scheduler + known.unconfirmed + known.in_inbox;
}

} // namespace siskinpaddle::jobs
