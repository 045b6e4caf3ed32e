#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::size_t task_millicores = 500; ///< Of each task in node_deployment's jobs.

/// The most tasks that ran on the VM at the same time, counted at each start after `from`.
std::size_t max_concurrent_runs(const std::vector<fakes::vm_run>& runs, timestamp from) {
    std::size_t max_runs = 0;
    for (const fakes::vm_run& began : runs) {
        if (began.run.started_at < from) {
            continue;
        }
        max_runs =
            std::max(max_runs, static_cast<std::size_t>(std::ranges::count_if(runs, [&](const auto& item) {
                         const bool ended =
                             item.run.ended_at != timestamp(0) && item.run.ended_at <= began.run.started_at;
                         return item.run.started_at <= began.run.started_at && !ended;
                     })));
    }
    return max_runs;
}

} // namespace

// Guards against a VM that is filled by the capacity that it had when it registered.
TEST_CASE("a VM whose capacity shrinks and grows while it runs is never filled beyond it") {
    node_deployment d;
    fakes::task_machine& machine = d.add_machine("m1", 300ms);
    d.start_node("n1");
    d.wait_until_serving("n1");
    const auto submit_job = [&](const std::string& digit) {
        CHECK(d.call("n1", "POST", "/quotes/" + std::string(16, digit[0]), d.job_body(24)).code == 200);
    };
    submit_job("1");
    REQUIRE(d.until([&] { return machine.runs().size() >= 8; }));
    machine.set_capacity({1000, 8192, 0});
    const timestamp shrunk = event_loop::now() + 1s; // The owner's copy of the registration may be that old.
    CHECK(d.reaches_phase("n1", std::string(16, '1'), "completed"));
    CHECK(max_concurrent_runs(machine.runs(), shrunk) <= 1000 / task_millicores);
    machine.set_capacity({3000, 8192, 0});
    submit_job("2");
    CHECK(d.reaches_phase("n1", std::string(16, '2'), "completed"));
    CHECK(max_concurrent_runs(machine.runs(), shrunk) == 3000 / task_millicores);
}
