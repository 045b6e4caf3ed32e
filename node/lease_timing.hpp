#pragma once

#include "net/net.hpp"

namespace siskinpaddle::node {

/// How long a node's lease lasts, and how it is renewed.
struct lease_timing {
    milliseconds ttl;
    milliseconds renew_interval;
    milliseconds renew_timeout;  ///< A renewal without an answer for this long is repeated.
    milliseconds retry_interval; ///< Pause before a failed renewal is repeated.
};

/// Returns the timing for a node with this link. The duties of a lost node have no owner until its lease has
/// expired: a pool accepts nothing, and its tasks that end are not followed by others. A fast link allows the
/// shorter lease, since an answer waits behind the largest value of the store for less than a renewal's
/// timeout; on a narrow link a node would lose its duties to each large answer. Pure; thread-safe.
[[nodiscard]] lease_timing lease_timing_for(double link_mbps) noexcept;

} // namespace siskinpaddle::node
