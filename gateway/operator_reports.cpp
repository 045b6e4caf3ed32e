#include "gateway/operator_reports.hpp"

namespace siskinpaddle {

boost::json::array findings_json(const findings& problems) {
    boost::json::array items;
    for (const finding& item : problems.items()) {
        items.push_back({{"place", item.location}, {"message", item.message}});
    }
    return items;
}

boost::json::object job_json(const job_record& job, const std::string& pool) {
    return {{"id", job.id},
            {"pool", pool},
            {"team", job.team},
            {"kind", job.kind},
            {"urgency", name_of(job.urgency)},
            {"state", name_of(job.state)},
            {"vm", job.vm},
            {"epoch", job.epoch},
            {"failures", job.failures},
            {"moves", job.moves},
            {"reason", job.reason}};
}

boost::json::array vms_json(const fleet_record& fleet, const std::string& pool) {
    boost::json::array items;
    for (const vm_record& vm : fleet.vms) {
        if (pool.empty() || vm.pool == pool) {
            items.push_back({{"id", vm.id},
                             {"pool", vm.pool},
                             {"state", name_of(vm.state)},
                             {"reason", name_of(vm.reason)},
                             {"availability_zone", vm.availability_zone},
                             {"rack", vm.rack},
                             {"epoch", vm.epoch},
                             {"wave", vm.completed_wave}});
        }
    }
    return items;
}

boost::json::array pools_json(const configuration& config, const availability_map& pools) {
    boost::json::array items;
    for (const auto& [name, settings] : config.pools) {
        const auto found = pools.find(name);
        const pool_availability pool = found == pools.end() ? pool_availability{} : found->second;
        items.push_back({{"pool", name},
                         {"member", settings.member},
                         {"promised", settings.promised},
                         {"size", settings.size},
                         {"held", pool.held},
                         {"available", pool.available},
                         {"planned_out", pool.planned_out},
                         {"lost", pool.lost}});
    }
    return items;
}

boost::json::array waves_json(const configuration& config, const fleet_record& fleet,
                              const std::vector<plan_wait>& waits) {
    boost::json::array items;
    for (const auto& [name, wave] : config.waves) {
        std::int64_t done = 0;
        std::int64_t in_progress = 0;
        std::int64_t pending = 0;
        const auto order = static_cast<std::uint64_t>(wave.order);
        for (const vm_record& vm : fleet.vms) {
            if (wave.pool != "*" && vm.pool != wave.pool) {
                continue;
            }
            const bool is_in_progress = vm.active_wave == order;
            in_progress += is_in_progress ? 1 : 0;
            done += vm.completed_wave >= order ? 1 : 0;
            pending += vm.completed_wave < order && !is_in_progress ? 1 : 0;
        }
        boost::json::array reasons;
        for (const plan_wait& wait : waits) {
            if (wait.subject == "wave " + name) {
                reasons.emplace_back(wait.reason);
            }
        }
        items.push_back({{"wave", name},
                         {"pool", wave.pool},
                         {"order", wave.order},
                         {"done", done},
                         {"out", in_progress},
                         {"left", pending},
                         {"paused", wave.paused},
                         {"waits", std::move(reasons)}});
    }
    return items;
}

boost::json::object status_json(const entry_settings& settings, state_task& state,
                                const planner_summary& summary, bool platform_reachable) {
    boost::json::array entries;
    const std::set<std::string> silent = state.find_silent_entries();
    const auto& reports = state.reports();
    for (const entry_record& entry : state.fleet().entries) {
        const auto found = reports.find(entry.id);
        const entry_report report = found == reports.end() ? entry_report{} : found->second;
        entries.push_back({{"id", entry.id},
                           {"availability_zone", entry.availability_zone},
                           {"incarnation", entry.incarnation},
                           {"config", report.applied_config},
                           {"fleet", report.applied_fleet},
                           {"silent", silent.contains(entry.id)}});
    }
    boost::json::array waits;
    for (const plan_wait& wait : summary.waits) {
        waits.push_back({{"what", wait.subject}, {"reason", wait.reason}});
    }
    return {{"entry", settings.id},
            {"planner", state.fleet().planner},
            {"in_control", summary.holds_control_lease},
            {"platform_reachable", platform_reachable},
            {"config", state.config().number},
            {"fleet", state.fleet().revision},
            {"entries", std::move(entries)},
            {"waits", std::move(waits)}};
}

} // namespace siskinpaddle
