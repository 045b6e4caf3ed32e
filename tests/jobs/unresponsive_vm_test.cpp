#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

step_spec long_lived_step(std::uint32_t count, std::uint32_t budget) {
    step_spec item = scheduler_fixture::step(count);
    item.long_lived = true;
    item.disruption_budget = budget;
    return item;
}

} // namespace

TEST_CASE("an unresponsive VM loses its runs when its lease has expired, and no sooner") {
    // Guards against a task that never restarts: its VM goes dark, and the owner repeats the renewal, records
    // a new deadline with each attempt, and so never sees the lease expire.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto first = b.start_all();
    REQUIRE(first.size() == 1);
    CHECK(b.pool().grant_lease_renewal("v1", b.now()) == b.vm_clock() + 6000);
    b.pool().handle_vm_unreachable("v1", b.now());
    b.pool().add_or_update_vm(b.info("v2"));
    for (int i = 0; i < 11; ++i) {
        b.advance_clock(500ms);
        CHECK(b.pool().grant_lease_renewal("v1", b.now()) == 0);
        b.report("v2", {});
        CHECK(b.decide().starts.empty());
    }
    b.advance_clock(800ms); // The VM's clock may be 2 % slow.
    b.report("v2", {});
    CHECK(b.decide().starts.empty()); // The crash evidence is stored before the task starts again.
    b.store_changes();
    const auto again = b.decide().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].vm == "v2");
    CHECK(again[0].attempt == 2);
}

TEST_CASE("an owner whose ownership is not confirmed ends no unresponsive VM") {
    // Guards against a task that runs twice: an availability zone is cut off with the pool's owner inside,
    // and a new owner in another zone renews the leases of the VMs there. The previous owner no longer
    // reaches these VMs, takes their leases for expired, and starts their tasks on VMs of its own zone.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    REQUIRE(b.start_all().size() == 1);
    b.pool().handle_vm_unreachable("v1", b.now());
    b.pool().add_or_update_vm(b.info("v2"));
    b.advance_clock(20'000ms);
    b.report("v2", {});
    CHECK(b.decide(false).starts.empty());
    CHECK(b.decide(false).ended_vms.empty());
    CHECK(b.decide(true).ended_vms.size() == 1);
    b.store_changes();
    CHECK(b.decide(true).starts.size() == 1);
}

// Guards against a task that runs again after it is done: its VM has listed the end, but answers wait on the
// owner's full link until the lease has run out.
TEST_CASE("an owner whose answers are late ends no unresponsive VM") {
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto starts = b.start_all();
    REQUIRE(starts.size() == 1);
    b.pool().handle_vm_unreachable("v1", b.now());
    b.pool().add_or_update_vm(b.info("v2"));
    b.advance_clock(20'000ms);
    b.report("v2", {});
    CHECK(b.decide(true, false).ended_vms.empty());
    CHECK(b.decide(true, false).starts.empty());
    b.report("v1", {}, {scheduler_fixture::end(1, starts[0], run_end::done)});
    CHECK(b.decide().starts.empty());
    b.store_changes();
    CHECK(b.pool().phase_of("j") == job_phase::completed);
}

TEST_CASE("runs on a VM that does not respond count against the disruption budget") {
    // Guards against an exceeded disruption budget: a rack goes dark with one task, the task's run counts as
    // available until its lease expires, and maintenance moves another task.
    scheduler_fixture b;
    b.add_vm("v1", 1);
    b.add_vm("v2", 1);
    b.add_vm("v3", 1);
    b.add_job("j", {long_lived_step(2, 1)});
    const auto starts = b.start_all();
    REQUIRE(starts.size() == 2);
    for (const start_order& order : starts) {
        b.report(order.vm, {b.running(order)});
    }
    b.pool().handle_vm_unreachable(starts[0].vm, b.now());
    b.pool().cordon(starts[1].vm, true);
    CHECK(b.decide().stops.empty());
    b.report(starts[0].vm, {b.running(starts[0])});
    CHECK(b.decide().stops.size() == 1);
}
