#include "node/lease_timing.hpp"

namespace siskinpaddle::node {

namespace {

/// The renewal's timeout is above the response time of a store that is a hundred times slower than its usual
/// four milliseconds. A renewal that is lost, detected after its timeout and repeated, has no effect in
/// either case.
constexpr lease_timing fast_link_timing{1300ms, 300ms, 450ms, 100ms};
constexpr lease_timing narrow_link_timing{2000ms, 600ms, 700ms, 200ms};

/// Largest value of the store.
constexpr double largest_value_bytes = 1024.0 * 1024.0;
/// Longest time for which the largest value may occupy a fast link: a third of the renewal's timeout, since
/// other answers share the link.
constexpr double max_transfer_ms = 150;
constexpr double bytes_per_ms_of_mbps = 125;

} // namespace

lease_timing lease_timing_for(double link_mbps) noexcept {
    const bool is_fast = largest_value_bytes <= max_transfer_ms * bytes_per_ms_of_mbps * link_mbps;
    return is_fast ? fast_link_timing : narrow_link_timing;
}

} // namespace siskinpaddle::node
