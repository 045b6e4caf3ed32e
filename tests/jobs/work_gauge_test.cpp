#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("a need counts by the resource that it takes the largest share of") {
    work_gauge gauge;
    gauge.record_vm_capacity({32'000, 64'000, 4});
    gauge.record_vm_capacity({16'000, 64'000, 4}); // A smaller one changes nothing.
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
    CHECK(work_gauge().equivalent_millicores({4000, 16'000, 2}) == 4000); // No VM is known yet.
}

TEST_CASE("the time factor follows what tasks really take, within bounds") {
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

TEST_CASE("a pool whose VMs are full by memory asks for machines and turns work away") {
    // Quotes of a pool wait four seconds while two hundred machines are spare. Long-running tasks hold the
    // memory of the pool's three VMs; their processors are idle, and the pool looked a third used.
    scheduler_fixture b;
    for (const char* vm : {"v1", "v2", "v3"}) {
        b.add_vm(vm);
    }
    step_spec sweep = scheduler_fixture::step(12, 4000);
    sweep.need.memory_mb = 16'384;
    sweep.long_running = true;
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
    CHECK(load.long_running_millicores == 96'000);
    // What is kept, and eight tasks that are worth a core each and wait.
    CHECK(b.pool().demand(b.now()).need_millicores == 104'000);
}

TEST_CASE("a turn asks for the machines that its tasks need, not for those that were declared") {
    // A turn of quotes whose tasks all take twice what they declare: for as long as it lasted the pool had
    // half the machines that it needed.
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
    for (int i = 0; i < 60;
         ++i) { // For three seconds, twenty jobs of eight core-seconds a second, as declared.
        b.pool().record_job_arrival(
            scheduler_fixture::record("n" + std::to_string(i), {scheduler_fixture::step(8)}).spec, b.now());
        b.advance_clock(50ms);
    }
    const std::int64_t need = b.pool().demand(b.now()).need_millicores;
    CHECK(need > 280'000);
    CHECK(need < 340'000);
}

TEST_CASE("a pool asks for all the VMs that its long-running tasks need, at once") {
    // A night's sweep of 25 tasks is accepted and half of it still does not run twenty seconds later, beside
    // two hundred spare machines; an upkeep waits for it in vain. Two tasks at most may share a VM, and a
    // pool of two asked for one more VM at a time.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_vm("v2");
    struct sweep_case {
        const char* what = "";
        std::uint32_t tasks = 0;
        std::uint32_t per_vm = 0;
        std::int64_t memory_mb = 0;
        std::uint64_t least_vms = 0;
    };
    int number = 0;
    std::map<std::string, std::int64_t> sequences;
    for (const sweep_case& item :
         {sweep_case{"all fit", 4, 2, 100, 0}, sweep_case{"spread", 25, 2, 100, 13},
          sweep_case{"spread, one each", 10, 1, 100, 10}, sweep_case{"room", 24, 0, 16'384, 6}}) {
        INFO(item.what);
        step_spec step = scheduler_fixture::step(item.tasks, 100, 0);
        step.long_running = true;
        step.max_per_vm = item.per_vm;
        step.need.memory_mb = item.memory_mb;
        const std::string id = "s" + std::to_string(number++);
        b.add_job(id, {step});
        const std::vector<start_order> starts = b.start_all();
        CHECK(b.pool().demand(b.now()).min_vms == item.least_vms);
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

TEST_CASE("a long-running task that left its VM for an upkeep gets a VM of its own") {
    // A sweep's task does not run for 35 seconds, beside two hundred spare machines. It was stopped on a VM
    // that was to have its upkeep; each other VM of its pool had a task of the same step, of which no two may
    // share one, and the pool's processors were mostly idle, so that it asked for no VM more.
    scheduler_fixture b;
    for (const char* vm : {"v1", "v2", "v3"}) {
        b.add_vm(vm);
    }
    step_spec step = scheduler_fixture::step(3, 100, 0);
    step.long_running = true;
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
    CHECK(b.pool().demand(b.now()).min_vms == 3); // The two that may take work, and one for the task.
}

TEST_CASE("a pool asks for VMs with the label that its tasks require, also for those that are late") {
    // A forecast waits for half a minute and is then given up by its partner. Its tasks need a label that
    // none of the pool's VMs has; the pool's cores were idle, and what is late counted as no demand at all.
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
