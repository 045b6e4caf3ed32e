#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// One VM with a serving task and a best-effort task.
struct shared_vm_fixture {
    scheduler_fixture b;
    start_order serving;
    start_order best_effort;

    shared_vm_fixture() {
        b.add_vm("v1");
        step_spec first = scheduler_fixture::step(1);
        first.long_lived = true;
        first.target_tail_latency_ms = 100;
        step_spec second = scheduler_fixture::step(1, 20'000);
        second.long_lived = true;
        second.best_effort = true;
        b.add_job("s", {first});
        serving = b.start_all().at(0);
        b.add_job("l", {second});
        best_effort = b.start_all().at(0);
    }

    /// Reports the serving task's tail latency; returns the pace ordered for the best-effort task, or -1 if
    /// none.
    int report_tail(std::int64_t ms) {
        b.advance_clock(400ms);
        running_report report = scheduler_fixture::running(serving);
        report.usage = ms;
        b.report("v1", {report, scheduler_fixture::running(best_effort)});
        const decisions wanted = b.decide();
        return wanted.paces.empty() ? -1 : wanted.paces.front().percent;
    }
};

} // namespace

TEST_CASE(
    "best-effort work is slowed before a serving task on its VM misses its target, and sped up gradually") {
    // Guards against a serving task that takes twice its target latency while a batch runs on the same VM.
    shared_vm_fixture n;
    CHECK(n.report_tail(20) == -1);
    CHECK(n.report_tail(80) == 50);
    CHECK(n.report_tail(80) == 25);
    CHECK(n.report_tail(120) == 0);
    CHECK(n.report_tail(60) == -1);
    CHECK(n.report_tail(20) == 20);
    CHECK(n.report_tail(20) == 40);
}

TEST_CASE("best-effort work reserves no processor capacity of its VM") {
    shared_vm_fixture n;
    CHECK(n.b.pool().vms().at("v1").used().cpu_millicores == 1000);
}
