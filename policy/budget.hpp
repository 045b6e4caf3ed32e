#pragma once

#include "policy/configuration.hpp"
#include "policy/fleet.hpp"
#include "policy/observations.hpp"

#include <map>
#include <set>
#include <string>

namespace siskinpaddle {

/// Maximum age of the VM list; with an older list no planned steps are started.
inline constexpr milliseconds max_list_age = 15s;
/// Time without a report from any entry of a zone after which the zone's VMs no longer count as available.
inline constexpr milliseconds zone_silence_timeout = 5s;

/// Known capacity of one pool, in VMs.
struct pool_availability {
    std::int64_t promised = 0;
    std::int64_t size = 0;
    std::int64_t held = 0;        ///< VMs whose record names the pool, in any state except lost.
    std::int64_t available = 0;   ///< VMs that are known to accept work.
    std::int64_t planned_out = 0; ///< VMs that are out of service because of the planner's own steps.
    std::int64_t lost = 0;

    /// Whether fewer VMs are available than promised. The planner's own steps never cause this.
    [[nodiscard]] bool breached() const noexcept { return available < promised; }
};

using availability_map = std::map<std::string, pool_availability>;

/// Returns the zones of which no registered entry has reported within `zone_silence_timeout`. The state of
/// their VMs is unknown.
[[nodiscard]] std::set<std::string> find_silent_zones(const fleet_record& fleet, const observations& observed,
                                                      timestamp now);

/// Counts the capacity of every pool. A VM counts as available only when it is serving, listed as live,
/// suspected by no entry and not in a silent zone. A VM with an outdated or uncertain state thus restricts
/// planned steps. Pure.
[[nodiscard]] availability_map measure_availability(const configuration& config, const fleet_record& fleet,
                                                    const observations& observed, timestamp now);

/// Whether `count` more VMs of the pool may be made unavailable while `reserve` VMs above the promised number
/// stay available.
[[nodiscard]] bool can_take_out_of_service(const pool_availability& pool, std::int64_t count,
                                           std::int64_t reserve);

} // namespace siskinpaddle
