#include "bench/fleet_model.hpp"

#include <iostream>
#include <tclap/CmdLine.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::bench;

namespace {

/// Fixed spare for each pool, one VM of it at a time, first fit, jobs stopped when their VM's turn comes.
policy_choice baseline() {
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
    choice.own_spare_percent = 10;
    choice.own_spare_least = 2;
    return choice;
}

/// Ours, with the buffer weighed most: one spare of its own for each pool, the rest shared.
policy_choice association(const fleet_shape& shape) {
    policy_choice choice;
    choice.name = "association";
    choice.planning = planner_options_for({4, 1});
    choice.own_spare_least = 1;
    choice.shared_free = shape.vms / 60;
    choice.width_percent = 10;
    choice.one_wave = true;
    return choice;
}

/// Ours, with moves weighed most: spares within the pools, patience with what may come back.
policy_choice volta(const fleet_shape& shape) {
    policy_choice choice = association(shape);
    choice.name = "volta";
    choice.planning = planner_options_for({1, 4});
    choice.placing = placement_options_for({1, 4});
    choice.own_spare_least = 2;
    return choice;
}

boost::json::object to_json(const policy_figures& f) {
    return {{"buffer_ratio", f.buffer_ratio},
            {"job_moves", f.job_moves},
            {"vm_moves", f.vm_moves},
            {"wave_hours", f.wave_hours},
            {"planned_breaches", f.planned_breaches},
            {"failure_breaches", f.failure_breaches},
            {"late_urgent", f.late_urgent},
            {"cpu_us_per_decision", f.cpu_us_per_decision},
            {"failure_breach_vm_hours", f.failure_breach_vm_hours},
            {"vms", f.vms},
            {"promised", f.promised},
            {"vms_maintained", f.vms_maintained},
            {"jobs_done", f.jobs_done},
            {"jobs_urgent", f.jobs_urgent},
            {"jobs_refused", f.jobs_refused},
            {"jobs_left", f.jobs_left}};
}

} // namespace

/// Usage: bench_policy [--seed N]. Ends with one line of JSON.
int main(int argc, char** argv) {
    try {
        TCLAP::CmdLine line("Five weeks of decisions over today's and the two-year fleet.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of failures and jobs.", false, 1, "N", line);
        TCLAP::SwitchArg only_today("", "today", "Leave the two-year fleet out.", line);
        line.parse(argc, argv);
        const fleet_shape today;
        fleet_shape target;
        target.vms = 870;
        target.pools = 27;
        std::map<std::string, std::map<std::string, policy_figures>> figures;
        std::vector<std::thread> threads;
        for (const auto& [name, shape] : {std::pair("today", today), std::pair("target", target)}) {
            if (only_today.getValue() && shape.vms > 100) {
                continue;
            }
            for (const policy_choice& choice : {baseline(), association(shape), volta(shape)}) {
                policy_figures& slot = figures[name][choice.name];
                threads.emplace_back([&slot, shape = shape, choice, number = seed.getValue()] {
                    slot = fleet_model(shape, choice, number).run();
                });
            }
        }
        for (std::thread& thread : threads) {
            thread.join();
        }
        boost::json::object result;
        for (const auto& [fleet, policies] : figures) {
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
