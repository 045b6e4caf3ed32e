#pragma once

#include "policy/configuration.hpp"
#include "policy/fleet.hpp"
#include "policy/observations.hpp"

#include <map>
#include <set>
#include <string>

namespace siskinpaddle {

/// How old the VM list may be before planned steps stop.
inline constexpr milliseconds max_list_age = 15s;
/// How long a zone's entries may all be silent before its VMs count as doubtful.
inline constexpr milliseconds zone_silence_timeout = 5s;

/// One pool's capacity as far as it is known.
struct pool_availability {
    std::int64_t promised = 0;
    std::int64_t size = 0;
    std::int64_t held = 0;        ///< VMs whose record names the pool, in any state but lost.
    std::int64_t available = 0;   ///< Known to take work now.
    std::int64_t planned_out = 0; ///< Out of service by our own planned steps.
    std::int64_t lost = 0;

    /// Whether failures, not we, hold the pool below its promise.
    [[nodiscard]] bool breached() const noexcept { return available < promised; }
};

using availability_map = std::map<std::string, pool_availability>;

/// Zones whose registered entries have all been silent for `zone_silence_bound`. What happens there is
/// unknown.
[[nodiscard]] std::set<std::string> find_silent_zones(const fleet_record& fleet, const observations& seen,
                                                      timestamp now);

/// Counts every pool's capacity. A VM counts as available only when it is serving, listed as live, suspected
/// by no entry and not in a silent zone: lag and doubt count against planned steps. Pure.
[[nodiscard]] availability_map measure_availability(const configuration& config, const fleet_record& fleet,
                                                    const observations& seen, timestamp now);

/// Whether a planned step may make `count` more VMs of the pool unavailable and leave `reserve` spare ones.
[[nodiscard]] bool can_take_out_of_service(const pool_availability& pool, std::int64_t count,
                                           std::int64_t reserve);

} // namespace siskinpaddle
