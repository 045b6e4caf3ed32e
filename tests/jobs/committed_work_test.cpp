#include "jobs/scheduler_fixture.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr int vm_cores = 32;

/// A pool whose turn ends beside one whose turn begins; both have VMs of 32 cores, and none is spare.
struct ending_turn {
    scheduler_fixture ending;
    std::vector<balance_machine> machines;

    void add_vms(const std::string& pool, int count) {
        for (int index = 0; index < count; ++index) {
            balance_machine item;
            item.machine = pool + std::to_string(index);
            item.pool = pool;
            item.vm = "vm-" + item.machine;
            item.is_up = true;
            item.millicores = vm_cores * 1000;
            machines.push_back(item);
            if (pool == "ending") {
                ending.add_vm(item.vm, vm_cores);
            }
        }
    }

    /// Number of VMs that stay in the pool whose turn ends, if the other needs `begun_cores`.
    [[nodiscard]] std::size_t kept_vms(std::int64_t begun_cores) {
        std::map<std::string, pool_demand> demands;
        demands["ending"] = ending.pool().demand(ending.now());
        pool_demand& begun = demands["begun"];
        begun.need_millicores = begun_cores * 1000;
        std::size_t held = 0;
        for (const balance_machine& machine : machines) {
            held += machine.pool == "ending" ? 1 : 0;
            if (machine.pool == "begun") {
                begun.vms.push_back({machine.vm, true, false, false, false, vm_cores * 1000});
            }
        }
        balance_state state;
        const balance_plan plan = plan_balance(machines, demands, "spare", {}, state, ending.now());
        const auto moved = std::ranges::count(plan.moves, "ending", &machine_move::from);
        const auto emptied = std::ranges::count_if(
            plan.vms_to_evacuate, [](const auto& vm) { return vm.starts_with("vm-ending"); });
        return held - static_cast<std::size_t>(moved + emptied);
    }
};

/// A short first step of one task, then steps of 16 tasks, each after the one before.
std::vector<step_spec> chain(std::uint32_t wide_steps) {
    std::vector<step_spec> steps{scheduler_fixture::step(1, 1000, 200)};
    for (std::uint32_t index = 0; index < wide_steps; ++index) {
        step_spec wide = scheduler_fixture::step(16, 1000, 500);
        wide.after = {index};
        steps.push_back(wide);
    }
    return steps;
}

} // namespace

TEST_CASE("a pool whose turn ends keeps the VMs for the later steps of accepted jobs") {
    // Guards against accepted jobs that end late because their pool gave its VMs away between two steps.
    struct turn_case {
        const char* what;
        int jobs;
        std::uint32_t wide_steps;
        std::size_t least;
        std::size_t most;
    };
    for (const turn_case& item :
         {turn_case{"nothing accepted", 0, 0, 2, 2}, turn_case{"only steps that run", 20, 0, 2, 3},
          turn_case{"few later steps", 5, 2, 2, 4}, turn_case{"many later steps", 20, 2, 5, 6},
          turn_case{"long chains", 20, 4, 5, 7}}) {
        INFO(item.what);
        ending_turn fleet;
        fleet.add_vms("ending", 18);
        fleet.add_vms("begun", 2);
        for (int index = 0; index < item.jobs; ++index) {
            fleet.ending.add_job("j" + std::to_string(index), chain(item.wide_steps));
        }
        fleet.ending.start_all();
        static_cast<void>(fleet.ending.decide());
        const std::size_t kept = fleet.kept_vms(2000);
        CHECK(kept >= item.least);
        CHECK(kept <= item.most);
    }
}

TEST_CASE("late work and work due before a machine could come ask for no machines beyond those held") {
    scheduler_fixture b;
    b.add_vm("v1", vm_cores);
    b.add_job("j", {scheduler_fixture::step(2000, 1000, 200)});
    b.start_all();
    static_cast<void>(b.decide());
    const std::int64_t work = 2000 * 200;
    CHECK(b.pool().demand(b.now()).committed_millicores <= work * 1000 / machine_lead_time.count());
    b.advance_clock(60s);
    static_cast<void>(b.decide());
    CHECK(b.pool().demand(b.now()).committed_millicores == 0);
}
