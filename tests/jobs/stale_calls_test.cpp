#include "jobs/stale_calls_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a run that starts elsewhere while a deadline on the previous incarnation's clock holds it.
TEST_CASE("a run that the next incarnation took over lasts as long as the VM's longest lease") {
    for (const lease_case& item : lease_cases) {
        INFO(std::string(item.name));
        stale_calls_fixture b(item.max_vm_lease);
        const start_order order = b.start_task(item.long_lived);
        const timestamp taken_at =
            b.now(); // By the next incarnation, which shortens the lease to its longest.
        b.advance_clock(100ms);
        b.pool().add_restarted_vm(first_life, second_start_ms);
        b.report_from(second_life, second_clock, {b.running(order)});
        b.list(second_life);
        CHECK(b.decide().starts.empty());
        const milliseconds before_cut = b.now() - taken_at;
        CHECK(before_cut + b.time_to_next_start(second_life) >= longest_end(item.max_vm_lease));
    }
}

// Guards against a run that starts elsewhere while an incarnation that the owner doesn't know of runs it.
TEST_CASE("a run that no report has listed may be at an incarnation that is not known") {
    for (const lease_case& item : lease_cases) {
        INFO(std::string(item.name));
        stale_calls_fixture b(item.max_vm_lease);
        static_cast<void>(b.start_task(item.long_lived));
        b.advance_clock(50ms);
        CHECK(b.time_to_next_start(first_life) + 50ms >= longest_end(item.max_vm_lease));
    }
}

// Guards against a lease that a late call extends after the last answer of an incarnation.
TEST_CASE("until an incarnation refuses calls for earlier ones, its runs may outlast late calls") {
    constexpr milliseconds latest_call = 12s;
    for (const lease_case& item : lease_cases) {
        INFO(std::string(item.name));
        stale_calls_fixture b(item.max_vm_lease);
        const start_order order = b.start_task(item.long_lived);
        b.pool().add_restarted_vm(first_life, second_start_ms);
        b.report_from(second_life, second_clock, {b.running(order)}, false);
        b.list(second_life);
        CHECK(b.time_to_next_start(second_life) >= latest_call + longest_end(item.max_vm_lease));
    }
}

// Guards against work that is given to an incarnation before it refuses calls for earlier ones.
TEST_CASE("an incarnation gets no tasks until it refuses calls for earlier ones") {
    stale_calls_fixture b(10'000ms);
    b.pool().add_restarted_vm(first_life, second_start_ms);
    b.report_from(second_life, second_clock, {}, false);
    b.list(second_life);
    b.add_job("j", {b.step(1)});
    CHECK(b.decide().starts.empty());
    b.report_from(second_life, second_clock + 10);
    CHECK(b.decide().starts.size() == 1);
}

// Guards against tasks that wait for the longest lease although their VM's own lease has expired.
TEST_CASE("a run that its VM has listed ends with the lease that its owner granted") {
    for (const lease_case& item : lease_cases) {
        INFO(std::string(item.name));
        stale_calls_fixture b(item.max_vm_lease);
        const start_order order = b.start_task(item.long_lived);
        b.advance_clock(item.max_vm_lease);
        b.report_from(first_life, first_clock + item.max_vm_lease.count(), {b.running(order)});
        CHECK(b.pool().grant_lease_renewal(first_life, b.now()) > 0);
        const milliseconds lease = scheduler_settings().lease;
        const milliseconds waited = b.time_to_next_start(first_life);
        CHECK(waited >= lease);
        CHECK(waited <= longest_end(lease) + 100ms);
    }
}
