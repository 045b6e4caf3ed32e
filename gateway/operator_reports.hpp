#pragma once

#include "control/control.hpp"

#include <boost/json.hpp>

namespace siskinpaddle {

/// Builds the JSON bodies of the answers to operators. All functions are pure.
[[nodiscard]] boost::json::array findings_json(const findings& problems);
[[nodiscard]] boost::json::object job_json(const job_record& job, const std::string& pool);
[[nodiscard]] boost::json::array vms_json(const fleet_record& fleet, const std::string& pool);
[[nodiscard]] boost::json::array pools_json(const configuration& config, const availability_map& pools);
[[nodiscard]] boost::json::array waves_json(const configuration& config, const fleet_record& fleet,
                                            const std::vector<plan_wait>& waits);
[[nodiscard]] boost::json::object status_json(const entry_settings& settings, state_task& state,
                                              const planner_summary& summary, bool platform_reachable);

} // namespace siskinpaddle
