#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <optional>

namespace siskinpaddle::jobs {

/// A queue's count of waiting jobs may be this old when it is told, all copies included; the platform's
/// bound.
inline constexpr milliseconds oldest_count = 2s;

/// What an owner knows of the jobs of a queue that have not begun.
struct count_basis {
    std::size_t taken = 0;      ///< Jobs that it decides about.
    std::size_t unsettled = 0;  ///< Jobs whose record may be stored: the store has not answered its write.
    std::size_t in_inbox = 0;   ///< Jobs that entries accepted and that it has not taken yet.
    milliseconds inbox_age{0};  ///< How old its copy of the inbox may be.
    bool certain_owner = false; ///< No other node can have claimed the pool.
};

/// The queue's count of waiting jobs, or nothing if jobs may be missing. Pure; thread-safe.
///
/// Answers the peak of a turn at a busy owner, and a change of owner: hundreds of jobs lie in the inbox,
/// their clients told that they are accepted. An owner that counts only what it has taken tells a
/// part of them. One that follows the inbox late, or that another node may have replaced, can't know what is
/// missing and tells nothing.
[[nodiscard]] constexpr std::optional<std::size_t> whole_count(const count_basis& known) noexcept {
    if (!known.certain_owner || known.inbox_age > oldest_count) {
        return std::nullopt;
    }
    return known.taken + known.unsettled + known.in_inbox;
}

} // namespace siskinpaddle::jobs
