#include "jobs/scheduler_fixture.hpp"

#include <array>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::int64_t first_start_ms = 1'700'000'000'000;
constexpr std::int64_t second_start_ms = first_start_ms + 60'000;
const std::string first_life = make_incarnation("v1", first_start_ms);
const std::string second_life = make_incarnation("v1", second_start_ms);

constexpr std::int64_t first_clock = 500'000;
constexpr std::int64_t second_clock = 100;

/// The VM's clock may be 2 % slow, and it ends a run shortly after its lease.
constexpr milliseconds longest_end(milliseconds lease) {
    return std::chrono::duration_cast<milliseconds>(lease * 1.021) + 150ms;
}

/// A pool with the VM "v1", which keeps its id when it starts again, and another VM with room for its tasks.
class stale_calls_fixture : public scheduler_fixture {
  public:
    explicit stale_calls_fixture(milliseconds max_vm_lease) : scheduler_fixture(0, options(max_vm_lease)) {
        list(first_life);
        report_from(first_life, first_clock);
    }

    static scheduler_settings options(milliseconds max_vm_lease) {
        scheduler_settings result;
        result.max_vm_lease = max_vm_lease;
        return result;
    }

    void list(const std::string& incarnation) {
        vm_info vm = info(incarnation);
        vm.machine = "m-v1";
        pool().add_or_update_vm(vm);
    }

    void report_from(const std::string& incarnation, std::int64_t clock_ms,
                     std::vector<running_report> running = {}, bool is_fenced = true) {
        pool().handle_report(incarnation,
                             {clock_ms, std::move(running), {}, start_time_of(incarnation), now(), is_fenced},
                             now());
    }

    /// Starts one task on v1; the answer to the start doesn't say which incarnation gave it.
    start_order start_task(bool long_lived) {
        step_spec item = step(1);
        item.long_lived = long_lived;
        add_job("j", {item});
        const auto starts = decide().starts;
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].vm == first_life);
        pool().handle_start_answer(starts[0], order_outcome::accepted, 0, now());
        add_vm("v2");
        return starts[0];
    }

    /// Time from now on until the task is started again, while v2 answers and v1 does not; at most 30 s.
    milliseconds time_to_next_start(const std::string& silent) {
        pool().handle_vm_unreachable(silent, now());
        const timestamp since = now();
        while (now() - since < 30s) {
            advance_clock(50ms);
            report("v2", {});
            if (!decide().starts.empty()) {
                return now() - since;
            }
            store_changes();
        }
        FAIL("the task is not started again");
        return 30s;
    }
};

struct lease_case {
    const char* name = "";
    milliseconds max_vm_lease{0};
    bool long_lived = false;
};

constexpr std::array lease_cases{
    lease_case{"the owner's lease is the longest", 6000ms, false},
    lease_case{"VMs grant longer leases", 10'000ms, false},
    lease_case{"VMs grant longer leases, long-lived task", 10'000ms, true},
};

} // namespace

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
