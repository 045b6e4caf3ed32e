#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace siskinpaddle::jobs {

/// What one availability zone has for the waiting tasks of a step.
struct zone_capacity {
    std::string zone;
    bool holds_data = false;               ///< A VM on the rack of the step's data can host a task.
    std::uint32_t running_tasks = 0;       ///< Tasks of the same job that run there.
    std::uint32_t fitting_tasks = 0;       ///< Tasks of the step that its VMs can host.
    std::uint32_t fitting_beside = 0;      ///< The part of these on VMs that run something already.
    std::int64_t short_run_millicores = 0; ///< Capacity that short runs of all jobs use.
    std::uint32_t vms_in_use = 0;          ///< Number of VMs that run something.
};

/// Least number of VMs in use per zone from which zones are ranked. Each zone keeps VMs that are partly
/// filled; with fewer VMs in use these cost a pool more capacity than a lost zone costs its jobs.
constexpr std::size_t min_used_vms_per_zone = 8;

/// Availability zones in the order in which the tasks of one step fill them.
class zone_ranking {
  public:
    zone_ranking() = default;
    explicit zone_ranking(std::vector<std::string> zones) : m_zones(std::move(zones)) {}

    /// Number of zones that are filled before this one; all of them for an unknown zone.
    [[nodiscard]] std::size_t position_of(const std::string& zone) const;
    [[nodiscard]] const std::vector<std::string>& zones() const noexcept { return m_zones; }

  private:
    std::vector<std::string> m_zones;
};

/// Ranks the zones for a step of which `tasks` tasks wait. Pure; thread-safe.
///
/// Answers the load of a zone that is cut off while jobs run: a task there starts again only when its VM's
/// lease has run out, and a job is as late as its last task. Spread over six zones, nearly every job of eight
/// tasks has one in the lost zone; kept together, one job in six has. So tasks that run at the same time go
/// where their job runs already, else to a zone that can host all of them. Among such zones VMs that are in
/// use anyway come first, so that whole VMs stay free for other pools, then the zone with the least short
/// work, so that the jobs are spread evenly. A step that no zone can host alone takes as few zones as it can.
/// Returns no zones, and so no preference, if fewer than `min_used_vms_per_zone` VMs are in use on average.
[[nodiscard]] zone_ranking rank_zones(std::vector<zone_capacity> zones, std::uint32_t tasks);

} // namespace siskinpaddle::jobs
