#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::uint32_t budget = 1;

/// Two long-lived tasks on two VMs, as reported to a new owner.
struct taken_over_pool {
    scheduler_fixture fixture{1};
    std::vector<start_order> runs;

    taken_over_pool() {
        step_spec step = scheduler_fixture::step(2);
        step.long_lived = true;
        step.disruption_budget = budget;
        fixture.pool().restore_job(scheduler_fixture::record("j", {step}), std::nullopt, fixture.now());
        for (std::uint32_t index = 0; index < 2; ++index) {
            const std::string vm = "v" + std::to_string(index);
            fixture.pool().expect_vm(scheduler_fixture::info(vm));
            fixture.pool().add_or_update_vm(scheduler_fixture::info(vm));
            runs.push_back({vm, {"j", 0, 0, index}, 1, 0, {}, {}});
            fixture.report(vm, {scheduler_fixture::running(runs.back())});
        }
        fixture.pool().cordon("v0", true);
    }
};

} // namespace

TEST_CASE("a new owner stops no long-lived task while stops of the previous owner may still take effect") {
    // Guards against an exceeded disruption budget when nodes restart in turn during maintenance: stops of
    // the previous owner take up to a second, and the VMs list these runs as running at full share until
    // then. If the new owner counts them as available, it stops as many others.
    taken_over_pool p;
    CHECK(p.fixture.decide().stops.empty());
    p.fixture.advance_clock(500ms);
    p.fixture.report("v0", {scheduler_fixture::running(p.runs[0])});
    p.fixture.report(
        "v1", {}, {scheduler_fixture::end(1, p.runs[1], run_end::stopped)}); // Ordered by the previous owner.
    p.fixture.advance_clock(600ms);
    p.fixture.report("v0", {scheduler_fixture::running(p.runs[0])});
    CHECK(p.fixture.decide().stops.empty()); // The other task is unavailable.
}

TEST_CASE(
    "a new owner continues to evacuate VMs once no stop of the previous owner can take effect any more") {
    taken_over_pool p;
    p.fixture.advance_clock(scheduler_settings{}.max_stop_time + 1ms);
    for (const start_order& order : p.runs) {
        p.fixture.report(order.vm, {scheduler_fixture::running(order)});
    }
    CHECK(p.fixture.decide().stops.size() == 1);
}
