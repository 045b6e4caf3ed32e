#include "jobs/pool_bench.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::uint32_t budget = 1;

/// Two long-running tasks on two VMs, as their reports tell a new owner.
struct taken_over_pool {
    pool_bench bench{1};
    std::vector<start_order> runs;

    taken_over_pool() {
        step_spec step = pool_bench::step(2);
        step.endless = true;
        step.disruption_budget = budget;
        bench.pool().restore_job(pool_bench::record("j", {step}), std::nullopt, bench.now());
        for (std::uint32_t index = 0; index < 2; ++index) {
            const std::string vm = "v" + std::to_string(index);
            bench.pool().expect_vm(pool_bench::info(vm));
            bench.pool().list_vm(pool_bench::info(vm));
            runs.push_back({vm, {"j", 0, 0, index}, 1, 0, {}, {}});
            bench.report(vm, {pool_bench::running(runs.back())});
        }
        bench.pool().cordon("v0", true);
    }
};

} // namespace

TEST_CASE("a new owner stops no long-running task while stops of the one before may still take effect") {
    // A service loses more of its tasks at a time than it allows, when nodes restart in turn during upkeep.
    // The earlier owner has just ordered three to stop, which takes up to a second, and their VMs list them
    // as running at full share until then. The new owner takes them for at work, and stops as many others for
    // the same upkeep.
    taken_over_pool p;
    CHECK(p.bench.decide().stops.empty());
    p.bench.pass(500ms);
    p.bench.report("v0", {pool_bench::running(p.runs[0])});
    p.bench.report("v1", {},
                   {pool_bench::end(1, p.runs[1], run_end::stopped)}); // Ordered by the earlier owner.
    p.bench.pass(600ms);
    p.bench.report("v0", {pool_bench::running(p.runs[0])});
    CHECK(p.bench.decide().stops.empty()); // The other one is away.
}

TEST_CASE("a new owner goes on emptying VMs once no stop of the one before can take effect any more") {
    taken_over_pool p;
    p.bench.pass(scheduler_settings{}.stop_time + 1ms);
    for (const start_order& order : p.runs) {
        p.bench.report(order.vm, {pool_bench::running(order)});
    }
    CHECK(p.bench.decide().stops.size() == 1);
}
