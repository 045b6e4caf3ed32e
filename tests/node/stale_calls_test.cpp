#include "node/node_deployment.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string first_job = "00000000000000aa";
const std::string second_job = "00000000000000bb";

/// Longest lease of the VMs, above the lease that an owner grants.
constexpr milliseconds max_lease = 10s;
/// When the platform carries a call out that it left unanswered.
constexpr milliseconds call_delay = 2500ms;

/// A machine whose VM keeps its id when it starts again, then with a clock far behind.
fakes::task_machine& add_restarting_machine(node_deployment& d, milliseconds run_time) {
    fakes::task_machine::settings options;
    options.name = "m1";
    options.run_time = run_time;
    options.down_time = 0ms;
    options.keeps_id = true;
    options.max_lease = max_lease;
    d.machines.push_back(std::make_unique<fakes::task_machine>(d.loop, d.store, options));
    REQUIRE(d.machines.back()->start());
    return *d.machines.back();
}

void start_node(node_deployment& d) {
    d.start_node("n1", [](node::node_settings& settings) { settings.vm_lease = max_lease; });
    d.wait_until_serving("n1");
}

/// Leaves one renewal unanswered and starts the VM again, which then carries the renewal out late.
void restart_with_late_renewal(node_deployment& d, fakes::task_machine& machine) {
    machine.vm()->delay_renewals(1, call_delay);
    REQUIRE(d.until([&] { return machine.vm()->pending_late_calls() == 1; }));
    const std::uint32_t before = machine.incarnation_count();
    machine.restart();
    REQUIRE(d.until([&] { return machine.incarnation_count() > before && machine.vm() != nullptr; }));
}

/// Submits a job and waits until its tasks run on the VM.
void run_job(node_deployment& d, const fakes::task_machine& machine, const std::string& job, int tasks) {
    CHECK(d.until([&] { return d.call("n1", "POST", "/quotes/" + job, d.job_body(tasks)).code == 200; }));
    REQUIRE(d.until([&] { return machine.vm()->runs().size() == static_cast<std::size_t>(tasks); }));
}

bool has_ended(const fakes::vm_run& item) {
    return item.run.ended_at != timestamp(0);
}

} // namespace

// Guards against a renewal for the previous incarnation that extends the lease of the next one unseen.
TEST_CASE("a renewal that reaches the VM's next incarnation late keeps no run alive") {
    constexpr milliseconds run_time = 30s;
    node_deployment d;
    fakes::task_machine& machine = add_restarting_machine(d, run_time);
    start_node(d);
    restart_with_late_renewal(d, machine);
    run_job(d, machine, first_job, 1);
    const fakes::task_machine& other = d.add_machine("m2", run_time);
    REQUIRE(d.until([&] { return machine.vm()->pending_late_calls() == 0; }));
    machine.vm()->set_silent(true);
    REQUIRE(d.until([&] { return !other.runs().empty() && std::ranges::all_of(machine.runs(), has_ended); }));
    d.check_machine_runs_once();
}

// Guards against a renewal for the previous incarnation that makes the next one forget ends nobody has read.
TEST_CASE("a renewal that reaches the VM's next incarnation late acknowledges none of its ends") {
    constexpr milliseconds run_time = 600ms;
    constexpr int tasks = 3;
    node_deployment d;
    fakes::task_machine& machine = add_restarting_machine(d, run_time);
    start_node(d);
    run_job(d, machine, first_job, tasks);
    CHECK(d.reaches_phase("n1", first_job, "completed"));
    restart_with_late_renewal(d, machine);
    run_job(d, machine, second_job, tasks);
    machine.vm()->set_silent(true);
    REQUIRE(d.until([&] { return machine.vm()->pending_late_calls() == 0; }));
    REQUIRE(std::ranges::all_of(machine.runs(), has_ended));
    machine.vm()->set_silent(false);
    CHECK(d.reaches_phase("n1", second_job, "completed"));
    d.check_machine_runs_once();
}
