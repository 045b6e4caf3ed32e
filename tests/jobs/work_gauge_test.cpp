#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("a need counts by the resource of which it takes the largest share") {
    work_gauge gauge;
    gauge.record_vm_capacity({32'000, 64'000, 4});
    gauge.record_vm_capacity({16'000, 64'000, 4}); // A smaller VM changes nothing.
    struct need_case {
        const char* what = "";
        resources need;
        std::int64_t millicores = 0;
    };
    for (const need_case& item :
         {need_case{"processor", {4000, 2000, 0}, 4000}, need_case{"memory", {4000, 16'000, 0}, 8000},
          need_case{"accelerators", {4000, 2000, 2}, 16'000}}) {
        INFO(item.what);
        CHECK(gauge.equivalent_millicores(item.need) == item.millicores);
    }
    CHECK(work_gauge().equivalent_millicores({4000, 16'000, 2}) == 4000); // No VM recorded yet.
}

TEST_CASE("the time factor follows the observed durations of tasks, within bounds") {
    work_gauge gauge;
    CHECK(gauge.time_factor("q") == 1);
    gauge.record_task("q", 1000, 1500ms);
    CHECK(gauge.time_factor("q") == doctest::Approx(11'500.0 / 11'000));
    for (int i = 0; i < 1000; ++i) {
        gauge.record_task("q", 1000, 1500ms);
        gauge.record_task("slow", 100, 5000ms);
    }
    CHECK(gauge.time_factor("q") == doctest::Approx(1.5).epsilon(0.05));
    CHECK(gauge.time_factor("slow") == 2.5);
    CHECK(gauge.time_factor("other") == 1);
}

TEST_CASE("a pool whose VMs are out of memory requests machines and refuses jobs") {
    // Guards against jobs that wait four seconds beside two hundred spare machines: if long-lived tasks use
    // all memory of the pool's three VMs while their processors are mostly idle, the pool appears one third
    // used.
    scheduler_fixture b;
    for (const char* vm : {"v1", "v2", "v3"}) {
        b.add_vm(vm);
    }
    step_spec sweep = scheduler_fixture::step(12, 4000);
    sweep.need.memory_mb = 16'384;
    sweep.long_lived = true;
    b.add_job("sweep", {sweep});
    CHECK(b.start_all().size() == 12);
    step_spec quote = scheduler_fixture::step(8, 1000);
    quote.need.memory_mb = 2048;
    const job_record first = scheduler_fixture::record("q1", {quote});
    b.add_job("q1", first.spec.steps);
    CHECK(b.start_all().empty());
    CHECK_FALSE(b.pool().check_admission(first.spec).accepted);
    const pool_load load = b.pool().load();
    CHECK(load.used_millicores == 96'000);
    CHECK(load.long_lived_millicores == 96'000);
    // The capacity in use, and eight waiting tasks that count as one core each.
    CHECK(b.pool().demand(b.now()).need_millicores == 104'000);
}

TEST_CASE("a demand peak requests machines by observed task durations, not by declared ones") {
    // Guards against a pool with half the machines that it needs throughout a demand peak because all tasks
    // take twice the declared time.
    scheduler_fixture b;
    b.add_vm("v1");
    for (int i = 0; i < 40; ++i) {
        b.add_job("j" + std::to_string(i), {scheduler_fixture::step(8)});
        const std::vector<start_order> starts = b.start_all();
        b.advance_clock(2000ms);
        std::vector<end_report> ended;
        ended.reserve(starts.size());
        for (const start_order& order : starts) {
            ended.push_back(scheduler_fixture::end(i * 8 + static_cast<std::int64_t>(ended.size()) + 1, order,
                                                   run_end::done));
        }
        b.report("v1", {}, ended);
    }
    // For three seconds, twenty jobs per second of eight core-seconds each, as declared.
    for (int i = 0; i < 60; ++i) {
        b.pool().record_job_arrival(
            scheduler_fixture::record("n" + std::to_string(i), {scheduler_fixture::step(8)}).spec, b.now());
        b.advance_clock(50ms);
    }
    const std::int64_t need = b.pool().demand(b.now()).need_millicores;
    CHECK(need > 280'000);
    CHECK(need < 340'000);
}

TEST_CASE("a pool requests all VMs for its long-lived tasks at once") {
    // Guards against a job of 25 long-lived tasks of which half still wait after twenty seconds beside two
    // hundred spare machines, which also blocks maintenance: at most two tasks may share a VM, and a pool of
    // two VMs requested one more at a time.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_vm("v2");
    struct sweep_case {
        const char* what = "";
        std::uint32_t tasks = 0;
        std::uint32_t per_vm = 0;
        std::int64_t memory_mb = 0;
        std::uint64_t min_vms = 0;
    };
    int number = 0;
    std::map<std::string, std::int64_t> sequences;
    for (const sweep_case& item :
         {sweep_case{"all fit", 4, 2, 100, 0}, sweep_case{"spread", 25, 2, 100, 13},
          sweep_case{"spread, one per VM", 10, 1, 100, 10}, sweep_case{"room", 24, 0, 16'384, 6}}) {
        INFO(item.what);
        step_spec step = scheduler_fixture::step(item.tasks, 100, 0);
        step.long_lived = true;
        step.max_per_vm = item.per_vm;
        step.need.memory_mb = item.memory_mb;
        const std::string id = "s" + std::to_string(number++);
        b.add_job(id, {step});
        const std::vector<start_order> starts = b.start_all();
        CHECK(b.pool().demand(b.now()).min_vms == item.min_vms);
        b.pool().cancel(id, b.now());
        std::map<std::string, std::vector<end_report>> ended;
        for (const start_order& order : starts) {
            ended[order.vm].push_back(scheduler_fixture::end(++sequences[order.vm], order, run_end::stopped));
        }
        for (const auto& [vm, ends] : ended) {
            b.report(vm, {}, ends);
        }
    }
}

TEST_CASE("a long-lived task stopped for maintenance gets an additional VM") {
    // Guards against a task that waits 35 seconds beside two hundred spare machines: it was stopped for
    // maintenance of its VM, no two tasks of its step may share a VM, each other VM has one, and the mostly
    // idle pool requests no further VM.
    scheduler_fixture b;
    for (const char* vm : {"v1", "v2", "v3"}) {
        b.add_vm(vm);
    }
    step_spec step = scheduler_fixture::step(3, 100, 0);
    step.long_lived = true;
    step.max_per_vm = 1;
    step.disruption_budget = 1;
    b.add_job("sweep", {step});
    const std::vector<start_order> starts = b.start_all();
    REQUIRE(starts.size() == 3);
    for (const start_order& order : starts) {
        b.report(order.vm, {scheduler_fixture::running(order)});
    }
    CHECK(b.pool().demand(b.now()).min_vms == 0);
    b.pool().cordon(starts[0].vm, true);
    CHECK(b.decide().stops.size() == 1);
    b.report(starts[0].vm, {}, {scheduler_fixture::end(1, starts[0], run_end::stopped)});
    CHECK(b.decide().starts.empty());
    CHECK(b.pool().demand(b.now()).min_vms == 3); // The two usable VMs and one for the task.
}

TEST_CASE("a pool requests VMs with a label that its tasks require, including late tasks") {
    // Guards against a job that waits for half a minute until its client abandons it: its tasks require a
    // label that none of the pool's VMs has, the pool's cores are idle, and late work counts as no demand.
    scheduler_fixture b;
    b.add_vm("v1");
    step_spec labelled = scheduler_fixture::step(8, 4000);
    labelled.required_label = "gpu";
    b.add_job("forecast", {labelled});
    CHECK(b.decide().starts.empty());
    for (const milliseconds later : {0ms, 3000ms, 20'000ms}) {
        INFO(later.count());
        b.advance_clock(later);
        CHECK(b.decide().starts.empty());
        const pool_demand demand = b.pool().demand(b.now());
        REQUIRE(demand.labels.size() == 1);
        CHECK(demand.labels[0].label == "gpu");
        CHECK(demand.labels[0].need_millicores == 32'000);
    }
    b.pool().cancel("forecast", b.now());
    b.advance_clock(21'000ms);
    CHECK(b.pool().demand(b.now()).labels.empty());
}
