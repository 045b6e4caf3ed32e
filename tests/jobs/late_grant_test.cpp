#include "jobs/stale_calls_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a renewal that is carried out late, at an incarnation that the owner never reached.
TEST_CASE("a run that no report has listed may outlast a late renewal at an incarnation that is not known") {
    constexpr milliseconds latest_call = 12s;
    for (const lease_case& item : lease_cases) {
        INFO(std::string(item.name));
        stale_calls_fixture b(item.max_vm_lease);
        static_cast<void>(b.start_task(item.long_lived));
        CHECK(b.pool().grant_lease_renewal(first_life, b.now()) > 0);
        CHECK(b.time_to_next_start(first_life) >= latest_call + longest_end(item.max_vm_lease));
    }
}
