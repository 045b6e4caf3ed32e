#pragma once

#include "jobs/scheduler_fixture.hpp"

#include <array>

namespace siskinpaddle::tests {

inline constexpr std::int64_t first_start_ms = 1'700'000'000'000;
inline constexpr std::int64_t second_start_ms = first_start_ms + 60'000;
inline const std::string first_life = make_incarnation("v1", first_start_ms);
inline const std::string second_life = make_incarnation("v1", second_start_ms);

inline constexpr std::int64_t first_clock = 500'000;
inline constexpr std::int64_t second_clock = 100;

/// The VM's clock may be 2 % slow, and it ends a run shortly after its lease.
inline constexpr milliseconds longest_end(milliseconds lease) {
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

inline constexpr std::array lease_cases{
    lease_case{"the owner's lease is the longest", 6000ms, false},
    lease_case{"VMs grant longer leases", 10'000ms, false},
    lease_case{"VMs grant longer leases, long-lived task", 10'000ms, true},
};

} // namespace siskinpaddle::tests
