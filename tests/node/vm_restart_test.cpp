#include "node/node_deployment.hpp"

#include <algorithm>
#include <array>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string first_job = "00000000000000aa";
const std::string second_job = "00000000000000bb";

/// A long-lived task must run again within three seconds where there is capacity for it, and its VM must
/// first be known to be back.
constexpr milliseconds restart_bound = 6s;

std::string long_lived_job_body() {
    jobs::job_spec spec = one_task_record({}).spec;
    spec.payload = fakes::task_vm::long_lived_payload;
    spec.steps[0].long_lived = true;
    return platform::encode_job(spec);
}

/// Clocks that are ahead of the previous start's and behind it.
constexpr std::int64_t clock_ahead_ms = 2 * fakes::task_machine::first_clock_ms;
constexpr std::int64_t clock_behind_ms = 0;

/// How the VM starts again.
struct restart_case {
    const char* name = "";
    std::int64_t clock_ms = clock_behind_ms;
    milliseconds silent_before{0}; ///< It answers nothing for this long before it ends.
    milliseconds down_time{0};
};

/// A machine whose VM keeps its id when it starts again.
fakes::task_machine& add_restarting_machine(node_deployment& d, const restart_case& item) {
    fakes::task_machine::settings options;
    options.name = "m1";
    options.restart_clock_ms = item.clock_ms;
    options.run_time = 150ms;
    options.down_time = 0ms;
    options.keeps_id = true;
    d.machines.push_back(std::make_unique<fakes::task_machine>(d.loop, d.store, options));
    REQUIRE(d.machines.back()->start());
    return *d.machines.back();
}

constexpr std::array restart_cases{
    restart_case{"at once, clock ahead", clock_ahead_ms, 0ms, 0ms},
    restart_case{"after a second, clock ahead", clock_ahead_ms, 0ms, 1s},
    restart_case{"at once, clock behind", clock_behind_ms, 0ms, 0ms},
    restart_case{"after silence for longer than a renewal waits", clock_behind_ms, 3s, 0ms}};

void restart(node_deployment& d, fakes::task_machine& machine, const restart_case& item) {
    const std::uint32_t before = machine.incarnation_count();
    machine.set_down_time(item.down_time);
    machine.vm()->set_silent(item.silent_before > 0ms);
    const timestamp silent_from = event_loop::now();
    REQUIRE(d.until([&] { return event_loop::now() - silent_from >= item.silent_before; }));
    machine.crash();
    REQUIRE(d.until([&] { return machine.incarnation_count() > before && machine.vm() != nullptr; }));
}

} // namespace

// Guards against ends of a VM's next start that are taken for known ones, since their numbers begin anew.
TEST_CASE("tasks that end on a VM that has started again under its id don't run again") {
    for (const restart_case& item : restart_cases) {
        INFO(std::string(item.name));
        node_deployment d;
        fakes::task_machine& machine = add_restarting_machine(d, item);
        d.start_node("n1");
        d.wait_until_serving("n1");
        CHECK(d.call("n1", "POST", "/quotes/" + first_job, d.job_body(30)).code == 200);
        CHECK(d.reaches_phase("n1", first_job, "completed"));
        restart(d, machine, item);
        // Jobs are refused until the VM answers again.
        CHECK(d.until(
            [&] { return d.call("n1", "POST", "/quotes/" + second_job, d.job_body(10)).code == 200; }));
        CHECK(d.reaches_phase("n1", second_job, "completed"));
        d.check_machine_runs_once();
    }
}

// Guards against a run that counts as active until the clock of the VM's next start has caught up.
TEST_CASE("a long-lived task runs again soon after its VM has started again under its id") {
    for (const restart_case& item : restart_cases) {
        INFO(std::string(item.name));
        node_deployment d;
        fakes::task_machine& machine = add_restarting_machine(d, item);
        d.start_node("n1");
        d.wait_until_serving("n1");
        CHECK(d.call("n1", "POST", "/quotes/" + first_job, long_lived_job_body()).code == 200);
        REQUIRE(d.until([&] { return machine.runs().size() == 1; }));
        restart(d, machine, item);
        const timestamp restarted = event_loop::now();
        const auto runs_again = [&] { return machine.runs().back().run.outcome.empty(); };
        REQUIRE(d.until([&] { return runs_again() || event_loop::now() - restarted > restart_bound; }));
        CHECK(runs_again());
        d.check_machine_runs_once();
    }
}

// Guards against a new owner that takes the present start of a VM for the one in its predecessor's record.
TEST_CASE("a new owner takes over from a VM that has started again under its id") {
    for (const restart_case& item : restart_cases) {
        INFO(std::string(item.name));
        node_deployment d;
        fakes::task_machine& machine = add_restarting_machine(d, item);
        d.start_node("n1");
        d.wait_until_serving("n1");
        CHECK(d.call("n1", "POST", "/quotes/" + first_job, long_lived_job_body()).code == 200);
        CHECK(d.call("n1", "POST", "/quotes/" + second_job, d.job_body(6)).code == 200);
        REQUIRE(d.until([&] { return machine.runs().size() >= 3; }));
        d.kill_node("n1");
        restart(d, machine, item);
        d.start_node("n2");
        CHECK(d.reaches_phase("n2", second_job, "completed"));
        CHECK(d.until([&] {
            return std::ranges::any_of(machine.runs(), [](const fakes::vm_run& run) {
                return run.run.long_lived && run.run.outcome.empty();
            });
        }));
        d.check_machine_runs_once();
    }
}

// Guards against a start order that reaches the VM's next start late, while the task runs again.
TEST_CASE("a start that is carried out late by the VM's next start does not run beside another") {
    constexpr milliseconds order_delay = 1500ms;
    node_deployment d;
    fakes::task_machine& machine = add_restarting_machine(d, restart_cases.front());
    d.start_node("n1");
    d.wait_until_serving("n1");
    machine.vm()->delay_starts(3, order_delay);
    CHECK(d.call("n1", "POST", "/quotes/" + first_job, d.job_body(3)).code == 200);
    REQUIRE(d.until([&] { return machine.vm()->pending_late_calls() == 3; }));
    restart(d, machine, restart_cases.front());
    CHECK(d.reaches_phase("n1", first_job, "completed"));
    const timestamp completed = event_loop::now();
    REQUIRE(d.until([&] { return event_loop::now() - completed > order_delay; }));
    d.check_machine_runs_once();
}

// Guards against a VM without a start time that is no longer used.
TEST_CASE("a VM that doesn't report its start serves beside one that does") {
    node_deployment d;
    fakes::task_machine& machine = add_restarting_machine(d, restart_cases.front());
    fakes::task_machine& plain = d.add_machine("m2", 150ms);
    d.start_node("n1");
    d.wait_until_serving("n1");
    for (const std::string& job : {first_job, second_job}) {
        CHECK(d.until([&] { return d.call("n1", "POST", "/quotes/" + job, d.job_body(30)).code == 200; }));
        CHECK(d.reaches_phase("n1", job, "completed"));
        restart(d, machine, restart_cases.front());
        plain.crash();
        REQUIRE(d.until([&] { return plain.vm() != nullptr; }));
    }
    const auto ran_on = [&](const std::string& name) {
        return std::ranges::any_of(d.machines, [&](const auto& one) {
            return std::ranges::any_of(one->runs(),
                                       [&](const fakes::vm_run& run) { return run.vm.starts_with(name); });
        });
    };
    CHECK(ran_on("m1/"));
    CHECK(ran_on("m2-"));
    d.check_machine_runs_once();
}
