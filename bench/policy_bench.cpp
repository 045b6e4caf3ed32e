#include "bench/fleet_model.hpp"

#include <iostream>
#include <tclap/CmdLine.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::bench;

namespace {

/// Baseline: fixed spares in each pool, one VM of a pool in maintenance at a time, first-fit placement, and
/// all jobs of a VM stopped when its maintenance begins.
policy_choice make_baseline_policy() {
    policy_choice choice;
    choice.name = "baseline";
    choice.planning.share_free_vms = false;
    choice.planning.keep_replacement_vm = false;
    choice.planning.replacement_delay = 0ms;
    choice.planning.lend_spares = false;
    choice.planning.first_fit = true;
    choice.placing.first_fit = true;
    choice.placing.stop_all_on_leaving_vm = true;
    choice.placing.avoid_pending_wave = false;
    choice.spare_percent = 10;
    choice.min_spare_vms = 2;
    return choice;
}

/// The project's policy, with weights that favour a small buffer: one spare VM in each pool, the others
/// shared.
policy_choice make_association_policy(const fleet_shape& shape) {
    policy_choice choice;
    choice.name = "association";
    choice.planning = planner_options_for({4, 1});
    choice.min_spare_vms = 1;
    choice.shared_free_vms = shape.vms / 60;
    choice.wave_width_percent = 10;
    choice.has_single_wave = true;
    return choice;
}

/// The project's policy, with weights that favour few moves: spare VMs within the pools, and a longer delay
/// before a VM that may return is replaced.
policy_choice make_volta_policy(const fleet_shape& shape) {
    policy_choice choice = make_association_policy(shape);
    choice.name = "volta";
    choice.planning = planner_options_for({1, 4});
    choice.placing = placement_options_for({1, 4});
    choice.min_spare_vms = 2;
    return choice;
}

boost::json::object to_json(const policy_metrics& metrics) {
    return {{"buffer_ratio", metrics.buffer_ratio},
            {"job_moves", metrics.job_moves},
            {"vm_moves", metrics.vm_moves},
            {"wave_hours", metrics.wave_hours},
            {"planned_breaches", metrics.planned_breaches},
            {"failure_breaches", metrics.failure_breaches},
            {"late_urgent", metrics.late_urgent},
            {"cpu_us_per_decision", metrics.cpu_us_per_decision},
            {"failure_breach_vm_hours", metrics.failure_breach_vm_hours},
            {"vms", metrics.vms},
            {"promised", metrics.promised},
            {"vms_maintained", metrics.vms_maintained},
            {"jobs_done", metrics.jobs_done},
            {"jobs_urgent", metrics.jobs_urgent},
            {"jobs_refused", metrics.jobs_refused},
            {"jobs_left", metrics.jobs_left}};
}

} // namespace

/// Usage: bench_policy [--seed N] [--today]. The last line of the output is JSON.
int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("Five weeks of decisions over today's and the two-year fleet.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of failures and jobs.", false, 1, "N", line);
        TCLAP::SwitchArg only_today("", "today", "Leave the two-year fleet out.", line);
        line.parse(argc, argv);
        const fleet_shape current_shape;
        fleet_shape projected_shape;
        projected_shape.vms = 870;
        projected_shape.pools = 27;
        std::map<std::string, std::map<std::string, policy_metrics>> metrics;
        std::vector<std::thread> threads;
        for (const auto& [name, shape] :
             {std::pair("today", current_shape), std::pair("target", projected_shape)}) {
            if (only_today.getValue() && shape.vms > 100) {
                continue;
            }
            for (const policy_choice& choice :
                 {make_baseline_policy(), make_association_policy(shape), make_volta_policy(shape)}) {
                policy_metrics& result_metrics = metrics[name][choice.name];
                threads.emplace_back([&result_metrics, shape = shape, choice, number = seed.getValue()] {
                    result_metrics = fleet_model(shape, choice, number).run();
                });
            }
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        boost::json::object result;
        for (const auto& [fleet, policies] : metrics) {
            boost::json::object item;
            for (const auto& [name, values] : policies) {
                item[name] = to_json(values);
                std::cout << fleet << " " << name << " " << boost::json::serialize(to_json(values)) << "\n";
            }
            result[fleet] = std::move(item);
        }
        std::cout << boost::json::serialize(result) << "\n";
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "bench_policy: " << error.what() << "\n";
        return 1;
    }
}
