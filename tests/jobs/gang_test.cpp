#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("a gang starts whole or not at all, under one attempt number") {
    scheduler_fixture b;
    b.add_vm("v1", 2);
    step_spec gang = scheduler_fixture::step(3);
    gang.gang = true;
    b.add_job("j", {gang});
    CHECK(b.decide().starts.empty());
    b.add_vm("v2", 1);
    const auto starts = b.start_all();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].attempt == starts[2].attempt);
    b.report("v1", {}, {b.end(1, starts[0], run_end::done)});
    CHECK(b.pool().find_job("j")->phase() == job_phase::completed);
}

TEST_CASE("a gang that needs one rack starts there if a rack has capacity for all of it") {
    // Guards against a gang that takes twice as long as expected: its members are placed on the fullest VMs,
    // which are on two racks, although one rack has free capacity for all of them.
    struct layout {
        const char* name;
        std::int64_t cores_of_b; // Rack a: 2 + 1 cores; rack b: this many on one VM.
        const char* data_rack;
        const char* expected; // The rack of all starts.
    };
    constexpr layout layouts[] = {
        {"a fuller VM is on another rack", 1, "", "a"},
        {"the rack with least free capacity", 8, "", "a"},
        {"the rack of the data", 8, "b", "b"},
        {"the data's rack is too small", 2, "b", "a"},
    };
    for (const layout& item : layouts) {
        INFO(item.name);
        scheduler_fixture b;
        b.add_vm_on_rack("a", "v1", 2);
        b.add_vm_on_rack("b", "v2", item.cores_of_b);
        b.add_vm_on_rack("a", "v3", 1);
        step_spec gang = scheduler_fixture::step(3);
        gang.gang = true;
        gang.same_rack = true;
        gang.data_rack = item.data_rack;
        b.add_job("j", {gang});
        const auto starts = b.start_all();
        REQUIRE(starts.size() == 3);
        for (const start_order& order : starts) {
            CHECK(b.pool().vms().at(order.vm).info().rack == item.expected);
        }
    }
}

TEST_CASE("a gang that fits on no single rack is spread rather than kept waiting") {
    scheduler_fixture b;
    b.add_vm_on_rack("a", "v1", 2);
    b.add_vm_on_rack("b", "v2", 2);
    step_spec gang = scheduler_fixture::step(3);
    gang.gang = true;
    gang.same_rack = true;
    b.add_job("j", {gang});
    CHECK(b.start_all().size() == 3);
}
