#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("the end of a VM has its cause and the age of each run that ended") {
    struct row {
        const char* name;
        vm_end_cause cause;
        milliseconds passed; ///< From the first missing answer to the end.
    };
    const std::array rows{row{"another incarnation at its address", vm_end_cause::replaced, 3600ms},
                          row{"machine moved by the platform", vm_end_cause::ordered, 100ms},
                          row{"unresponsive past its lease", vm_end_cause::lease_expired, 6500ms}};
    for (const row& item : rows) {
        INFO(std::string(item.name));
        scheduler_fixture b;
        b.add_vm("v1");
        b.add_job("j", {scheduler_fixture::step(2)});
        const auto starts = b.start_all();
        REQUIRE(starts.size() == 2);
        b.report("v1", {b.running(starts[0])});
        static_cast<void>(b.pool().grant_lease_renewal("v1", b.now()));
        b.advance_clock(12ms);
        b.pool().handle_vm_unreachable("v1", b.now());
        b.advance_clock(item.passed);
        if (item.cause != vm_end_cause::lease_expired) {
            b.pool().handle_vm_ended("v1", item.cause, b.now());
        }
        const std::vector<vm_end> ended = b.decide().ended_vms;
        REQUIRE(ended.size() == 1);
        CHECK(ended[0].vm == "v1");
        CHECK(ended[0].machine == "m-v1");
        CHECK(ended[0].cause == item.cause);
        CHECK(b.now() - ended[0].unresponsive_since == item.passed);
        REQUIRE(ended[0].runs.size() == 2);
        CHECK(ended[0].runs[0] == ended_run{starts[0].task, 1, 12ms, true});
    }
}
