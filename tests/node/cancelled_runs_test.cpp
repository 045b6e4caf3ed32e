#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_a = "00000000000000aa";
/// Below the deadline that a start carries, above the time after which its owner abandons and stops it.
constexpr milliseconds late_start_delay = 1000ms;
constexpr milliseconds long_run = 60'000ms;
/// More stops than one owner sends, so that all of them are lost.
constexpr int many_stops = 1000;

std::string body_of(int tasks, bool gang, bool long_lived) {
    jobs::job_spec spec;
    spec.payload = long_lived ? fakes::task_vm::long_lived_payload : "s";
    spec.steps.resize(1);
    spec.steps[0].count = static_cast<std::uint32_t>(tasks);
    spec.steps[0].need = {500, 64, 0};
    spec.steps[0].estimate_ms = 200;
    spec.steps[0].gang = gang;
    spec.steps[0].long_lived = long_lived;
    return platform::encode_job(spec);
}

/// A job of two occurrences that are both due.
std::string body_of_occurrences() {
    jobs::job_spec spec;
    spec.payload = "s";
    spec.steps.resize(1);
    spec.steps[0].need = {500, 64, 0};
    spec.steps[0].estimate_ms = 200;
    spec.occurrences = 2;
    spec.has_due_times = true;
    spec.start_at_ms = wall_clock_ms() - 1000;
    spec.period_ms = 100;
    return platform::encode_job(spec);
}

struct job_kind {
    const char* description = "";
    std::string body;
};

/// Each job has two tasks.
std::vector<job_kind> job_kinds() {
    return {{"short tasks", body_of(2, false, false)},
            {"a gang", body_of(2, true, false)},
            {"long-lived tasks", body_of(2, false, true)},
            {"occurrences", body_of_occurrences()}};
}

bool all_ended(const node_deployment& d) {
    return std::ranges::all_of(d.vms[0]->runs(),
                               [](const auto& run) { return run.ended_at != timestamp(0); });
}

/// Checks that every run was stopped by an order, not by the end of its lease.
void check_stopped(const node_deployment& d) {
    for (const auto& run : d.vms[0]->runs()) {
        INFO(run.task, " attempt ", run.attempt);
        CHECK(run.outcome == "stopped");
    }
}

/// Repeats the cancellation through the node until it is confirmed.
bool cancel(node_deployment& d, const std::string& node) {
    return d.until([&] { return d.call(node, "DELETE", "/quotes/" + job_a).code == 200; });
}

} // namespace

TEST_CASE("a task that a VM started late, after its job was cancelled, is stopped") {
    // Guards against a cancelled job that keeps running. The start order and the stops get no answer, the job
    // is cancelled, and the VM executes the delayed start afterwards.
    for (const job_kind& kind : job_kinds()) {
        INFO(std::string(kind.description));
        node_deployment d;
        d.serve_with_one_vm(long_run);
        d.vms[0]->delay_starts(2, late_start_delay);
        d.vms[0]->lose_stops(many_stops);
        CHECK(d.call("n1", "POST", "/quotes/" + job_a, kind.body).code == 200);
        REQUIRE(d.until([&] { return d.vms[0]->pending_late_calls() == 2; }));
        CHECK(cancel(d, "n1"));
        REQUIRE(d.until_started(2));
        d.vms[0]->lose_stops(0);
        CHECK(d.until([&] { return all_ended(d); }));
        check_stopped(d);
        CHECK(d.reaches_phase("n1", job_a, "cancelled"));
        CHECK(d.vms[0]->runs().size() == 2);
    }
}

TEST_CASE("a task that a VM started late is stopped by its owner's successor") {
    // Guards against a cancelled job that keeps running. Its owner dies before the VM executes the delayed
    // start, and has neither seen the run nor stopped it.
    for (const job_kind& kind : job_kinds()) {
        INFO(std::string(kind.description));
        node_deployment d;
        d.serve_with_one_vm(long_run);
        d.vms[0]->delay_starts(2, late_start_delay);
        d.vms[0]->lose_stops(many_stops);
        CHECK(d.call("n1", "POST", "/quotes/" + job_a, kind.body).code == 200);
        REQUIRE(d.until([&] { return d.vms[0]->pending_late_calls() == 2; }));
        CHECK(cancel(d, "n1"));
        d.kill_node("n1");
        REQUIRE(d.until_started(2));
        d.vms[0]->lose_stops(0);
        d.start_node("n2");
        CHECK(d.until([&] { return all_ended(d); }));
        check_stopped(d);
        CHECK(d.reaches_phase("n2", job_a, "cancelled"));
        CHECK(d.vms[0]->runs().size() == 2);
    }
}

TEST_CASE("a successor stops the runs of a job that was cancelled around the change of owner") {
    // Guards against a cancelled job that keeps running. Its owner dies, only the VM knows the runs, and the
    // cancellation was stored by the previous owner, is in the inbox, or arrives at the successor.
    enum class cancel_time : std::uint8_t { before, inbox, during, after };
    struct change_case {
        const char* description = "";
        cancel_time cancelled_at = cancel_time::before;
        bool delisted = false; ///< The VM's entry is removed from the store meanwhile.
        bool silent = false;   ///< The VM responds to the successor only after the cancellation is reported.
        int lost_stops = 0;    ///< Stops of the successor that are lost.
    };
    const std::vector<job_kind> kinds = job_kinds();
    std::size_t number = 0;
    for (const change_case& item :
         {change_case{"before", cancel_time::before}, change_case{"in the inbox", cancel_time::inbox},
          change_case{"while no node owns the pool", cancel_time::during},
          change_case{"after", cancel_time::after},
          change_case{"before, VM no longer listed", cancel_time::before, true},
          change_case{"before, VM no longer listed, stops lost", cancel_time::before, true, false, 2},
          change_case{"inbox, VM no longer listed, stops lost", cancel_time::inbox, true, false, 2},
          change_case{"before, VM unresponsive for a while", cancel_time::before, false, true},
          change_case{"inbox, VM unresponsive for a while", cancel_time::inbox, false, true},
          change_case{"inbox, VM unresponsive and no longer listed", cancel_time::inbox, true, true}}) {
        const job_kind& kind = kinds[number++ % kinds.size()];
        INFO(std::string(item.description), ", ", std::string(kind.description));
        node_deployment d;
        d.serve_with_one_vm(long_run);
        fakes::task_vm& vm = *d.vms[0];
        vm.lose_stops(many_stops);
        CHECK(d.call("n1", "POST", "/quotes/" + job_a, kind.body).code == 200);
        REQUIRE(d.until_started(2));
        if (item.cancelled_at == cancel_time::before) {
            CHECK(cancel(d, "n1"));
        }
        d.kill_node("n1");
        vm.set_silent(item.silent);
        vm.lose_stops(item.lost_stops);
        if (item.cancelled_at == cancel_time::inbox) {
            d.store.put("sp/inbox/p/cancel/" + job_a, "1");
        }
        if (item.delisted) {
            d.store.remove(platform::vm_key("v1"));
        }
        d.start_node("n2");
        if (item.cancelled_at == cancel_time::after) {
            d.wait_until_serving("n2");
        }
        if (item.cancelled_at == cancel_time::during || item.cancelled_at == cancel_time::after) {
            CHECK(cancel(d, "n2"));
        }
        if (item.silent) {
            CHECK(d.reaches_phase("n2", job_a, "cancelled"));
            vm.set_silent(false);
        }
        CHECK(d.until([&] { return all_ended(d); }));
        CHECK(vm.remaining_lost_stops() == 0);
        check_stopped(d);
        CHECK(d.reaches_phase("n2", job_a, "cancelled"));
        CHECK(vm.runs().size() == 2);
    }
}
