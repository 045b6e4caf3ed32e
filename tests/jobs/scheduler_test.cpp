#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

step_spec long_lived_step(std::uint32_t count, std::uint32_t budget) {
    step_spec item = scheduler_fixture::step(count);
    item.long_lived = true;
    item.disruption_budget = budget;
    return item;
}

} // namespace

TEST_CASE("a job's tasks start step by step and its end is reported once it is stored") {
    scheduler_fixture b;
    b.add_vm("v1");
    step_spec second = scheduler_fixture::step(1);
    second.after = {0};
    b.add_job("j", {scheduler_fixture::step(2), second});
    const auto first = b.start_all();
    REQUIRE(first.size() == 2);
    CHECK(first[0].attempt == 1);
    CHECK(b.start_all().empty());

    b.report("v1", {}, {b.end(1, first[0], run_end::done), b.end(2, first[1], run_end::done)});
    const auto last = b.start_all();
    REQUIRE(last.size() == 1);
    CHECK(last[0].task.step == 1);
    b.report("v1", {}, {b.end(3, last[0], run_end::done)});
    CHECK(b.pool().phase_of("j") == job_phase::running);
    CHECK(b.pool().vms().at("v1").last_stored_end == 0);
    b.store_changes();
    CHECK(b.pool().phase_of("j") == job_phase::completed);
    CHECK(b.pool().vms().at("v1").last_stored_end == 3);
}

TEST_CASE("a job fails when a task has failed as often as its queue allows") {
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    for (std::int64_t i = 1; i <= 3; ++i) {
        b.advance_clock(20'000ms); // A VM that only fails is quarantined for a while.
        b.report("v1", {});
        const auto starts = b.start_all();
        REQUIRE(starts.size() == 1);
        b.report("v1", {}, {b.end(i, starts[0], run_end::failed)});
    }
    CHECK(b.pool().find_job("j")->phase() == job_phase::failed);
    CHECK(b.decide().starts.empty());
}

TEST_CASE("a start without an answer is resolved by the VM's report") {
    // Guards against a lost or doubled task: the run of a start without an answer may be there, may start
    // later, or may never start.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const start_order order = b.decide().starts.at(0);
    b.advance_clock(800ms);
    b.pool().handle_start_answer(order, order_outcome::unknown, 0, b.now());
    const auto stops = b.decide().stops;
    REQUIRE(stops.size() == 1);
    CHECK(b.decide().starts.empty());

    SUBCASE("the run is there: it is stopped and its end awaited") {
        b.report("v1", {b.running(order)});
        CHECK(b.decide().starts.empty());
        b.report("v1", {}, {b.end(1, order, run_end::stopped)});
        CHECK(b.decide().starts.size() == 1);
    }
    SUBCASE("the run is done already") {
        b.report("v1", {}, {b.end(1, order, run_end::done)});
        CHECK(b.decide().starts.empty());
        CHECK(b.pool().find_job("j")->phase() == job_phase::completed);
    }
    SUBCASE("a report from before the start proves nothing") {
        b.report("v1", {});
        CHECK(b.decide().starts.empty());
    }
    SUBCASE("the start's deadline has passed") {
        b.advance_clock(1000ms);
        b.report("v1", {});
        CHECK(b.decide().starts.size() == 1);
    }
}

TEST_CASE("a cancelled job's runs are stopped and nothing of it starts") {
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(2)});
    const auto starts = b.start_all();
    CHECK(b.pool().cancel("j", b.now()) == cancel_outcome::cancelled);
    CHECK(b.decide().stops.size() == 2);
    b.report("v1", {}, {b.end(1, starts[0], run_end::stopped)});
    CHECK(b.decide().starts.empty());
    CHECK(b.pool().phase_of("j") == job_phase::running); // Not reported to the client before it is stored.
    b.store_changes();
    CHECK(b.pool().phase_of("j") == job_phase::cancelled);
}

TEST_CASE("a long-lived task starts again however it ends") {
    for (const run_end how : {run_end::done, run_end::failed, run_end::lease_expired, run_end::stopped}) {
        scheduler_fixture b;
        b.add_vm("v1");
        b.add_job("j", {long_lived_step(1, 1)});
        const start_order order = b.start_all().at(0);
        b.report("v1", {}, {b.end(1, order, how)});
        CHECK(b.decide().starts.size() == 1);
    }
}

TEST_CASE("tasks are packed, so that whole VMs stay idle") {
    scheduler_fixture b;
    for (const char* name : {"v1", "v2", "v3", "v4"}) {
        b.add_vm(name);
    }
    b.add_job("j", {long_lived_step(4, 1)});
    b.start_all();
    b.add_job("k", {scheduler_fixture::step(8)});
    b.start_all();
    const pool_demand demand = b.pool().demand(b.now());
    CHECK(std::ranges::count_if(demand.vms, &vm_load::is_idle) == 3);
}

TEST_CASE("a VM whose ends are not stored yet is not releasable") {
    // Guards against tasks that run again after a restart of all nodes: a VM is moved to another pool while
    // the ends that it has listed are not stored, and the ends are lost with the VM.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const start_order order = b.start_all().at(0);
    CHECK_FALSE(b.pool().is_releasable("v1"));
    b.report("v1", {}, {b.end(1, order, run_end::done)});
    CHECK_FALSE(b.pool().is_releasable("v1"));
    CHECK_FALSE(b.pool().demand(b.now()).vms.at(0).is_idle);
    b.store_changes();
    CHECK(b.pool().is_releasable("v1"));
    CHECK(b.pool().demand(b.now()).vms.at(0).is_idle);
}

TEST_CASE("a step of a queue with a policy runs only on VMs that the policy service approves") {
    // Guards against a run on a VM that the queue's policy forbids, and against a job that never runs because
    // VMs refuse starts without a ticket.
    scheduler_fixture b;
    queue_settings queue;
    queue.name = "q";
    queue.pool = "p";
    queue.max_attempts = 3;
    queue.advice = advice_settings{20ms, 5ms, 3000ms};
    b.pool().configure({queue});
    b.add_vm("v1");
    b.add_vm("v2");
    b.add_job("j", {scheduler_fixture::step(2)});
    const decisions asked = b.decide();
    CHECK(asked.starts.empty());
    REQUIRE(asked.advice_requests.size() == 1);
    CHECK(asked.advice_requests[0].vms.size() == 2);
    CHECK(b.decide().advice_requests.empty());

    SUBCASE("approved VMs get the starts, with their ticket") {
        b.pool().handle_advice_answer(asked.advice_requests[0], {true, {{"v2", "t-2"}}, 3000ms}, b.now());
        const auto starts = b.start_all();
        REQUIRE(starts.size() == 2);
        CHECK(starts[0].vm == "v2");
        CHECK(starts[0].ticket == "t-2");
    }
    SUBCASE("a ticket expires") {
        b.pool().handle_advice_answer(asked.advice_requests[0], {true, {{"v2", "t-2"}}, 3000ms}, b.now());
        b.advance_clock(2900ms);
        b.report("v1", {});
        b.report("v2", {});
        const decisions again = b.decide();
        CHECK(again.starts.empty());
        CHECK(again.advice_requests.size() == 1);
    }
    SUBCASE("a request without an answer is repeated") {
        b.advance_clock(1700ms);
        b.report("v1", {});
        b.report("v2", {});
        CHECK(b.decide().advice_requests.size() == 1);
    }
}

TEST_CASE("a long-lived task whose start got no answer is not stopped, since it may be running") {
    // Guards against an exceeded disruption budget: long-lived tasks start again after the loss of a rack,
    // the answers to two starts are lost, and their runs are stopped although they are available.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {long_lived_step(1, 1)});
    const start_order order = b.decide().starts.at(0);
    b.advance_clock(800ms);
    b.pool().handle_start_answer(order, order_outcome::unknown, 0, b.now());
    CHECK(b.decide().stops.empty());

    SUBCASE("the run is there and continues") {
        b.report("v1", {b.running(order)});
        b.advance_clock(2000ms);
        b.report("v1", {b.running(order)});
        const decisions later = b.decide();
        CHECK(later.stops.empty());
        CHECK(later.starts.empty());
    }
    SUBCASE("the run is not there and the start's deadline has passed: the task starts again") {
        b.report("v1", {});
        CHECK(b.decide().starts.empty());
        b.advance_clock(1000ms);
        b.report("v1", {});
        CHECK(b.decide().starts.size() == 1);
    }
}

TEST_CASE("a VM on which several tasks end soon is polled frequently") {
    // Guards against jobs that wait four seconds while a third of the pool's cores are idle: with one answer
    // in twenty lost, a poll that waits long for an end is abandoned only long after, and until then no end
    // on that VM is known and its free capacity isn't used.
    struct polling_case {
        const char* name = "";
        std::uint32_t quotes = 0;
        std::uint32_t sweeps = 0;
        bool polled_frequently = false;
    };
    for (const polling_case& item :
         {polling_case{"nothing runs", 0, 0, false}, polling_case{"two quotes", 2, 0, false},
          polling_case{"three quotes", 3, 0, true}, polling_case{"long-lived tasks only", 0, 6, false},
          polling_case{"both", 3, 2, true}}) {
        INFO(item.name);
        scheduler_fixture b;
        b.add_vm("v1");
        if (item.quotes > 0) {
            b.add_job("quotes", {scheduler_fixture::step(item.quotes)});
        }
        if (item.sweeps > 0) {
            b.add_job("sweeps", {long_lived_step(item.sweeps, 1)});
        }
        std::vector<running_report> reports;
        for (const start_order& order : b.start_all()) {
            reports.push_back(scheduler_fixture::running(order));
        }
        b.report("v1", reports);
        CHECK(b.pool().needs_frequent_polling("v1") == item.polled_frequently);
    }
}
