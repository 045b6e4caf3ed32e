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

TEST_CASE("an adopted run does not count as expired before its VM's first renewal") {
    // Guards against a task that runs twice after a takeover: the new owner has granted the VM no lease
    // itself when the VM's first report shows the run, takes the lease for expired, and starts the task
    // again.
    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("v1"));
    b.pool().add_or_update_vm(b.info("v1"));
    b.report("v1", {{{"j", 0, 0, 0}, 7, "", 50, 0}});
    b.advance_clock(50ms);
    CHECK(b.decide().starts.empty());
    b.advance_clock(3000ms);
    CHECK(b.decide().starts.empty());
}

TEST_CASE("tasks of a previous owner wait for every VM that may run them") {
    // Guards against a task that runs twice: the previous owner started it on a VM that the new owner can't
    // reach, and the new owner finds it nowhere else and starts it again at once.
    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("lost"));
    b.add_vm("v1");
    CHECK(b.decide().starts.empty());

    SUBCASE("until the VM reports") {
        b.report("lost", {});
    }
    SUBCASE("until the VM's incarnation has certainly ended") {
        b.pool().handle_vm_ended("lost", vm_end_cause::replaced, b.now());
    }
    SUBCASE("until the last lease of the previous owner has expired") {
        b.advance_clock(scheduler_fixture::settings().takeover_timeout + 1ms);
        b.report("v1", {});
    }
    CHECK(b.decide().starts.size() == 1);
}

TEST_CASE("tasks don't wait for a VM whose machine reports as a later incarnation") {
    // Guards against tasks that start twelve seconds late: VMs crash during an outage of the store, and the
    // new owner can't connect to them. No list of machines shows that they are gone, since the machines are
    // up and in the pool, under later incarnations that respond.
    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("crashed"));
    b.pool().handle_vm_unreachable("crashed", b.now());
    vm_info later = b.info("later");
    later.machine = b.info("crashed").machine;
    b.pool().add_or_update_vm(later);
    b.add_vm("other");
    CHECK(b.decide().starts.empty()); // Being listed proves nothing.
    b.report("later", {});
    CHECK(b.decide().starts.size() == 1);
    CHECK(!b.pool().vms().contains("crashed"));
}

TEST_CASE("an unresponsive VM loses its runs when its lease has expired, and no sooner") {
    // Guards against a task that never restarts: its VM goes dark, and the owner repeats the renewal, records
    // a new deadline with each attempt, and so never sees the lease expire.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto first = b.start_all();
    REQUIRE(first.size() == 1);
    CHECK(b.pool().grant_lease_renewal("v1", b.now()) == b.vm_clock() + 6000);
    b.pool().handle_vm_unreachable("v1", b.now());
    b.pool().add_or_update_vm(b.info("v2"));
    for (int i = 0; i < 11; ++i) {
        b.advance_clock(500ms);
        CHECK(b.pool().grant_lease_renewal("v1", b.now()) == 0);
        b.report("v2", {});
        CHECK(b.decide().starts.empty());
    }
    b.advance_clock(800ms); // The VM's clock may be 2 % slow.
    b.report("v2", {});
    CHECK(b.decide().starts.empty()); // The crash evidence is stored before the task starts again.
    b.store_changes();
    const auto again = b.decide().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].vm == "v2");
    CHECK(again[0].attempt == 2);
}

TEST_CASE("an owner whose ownership is not confirmed ends no unresponsive VM") {
    // Guards against a task that runs twice: an availability zone is cut off with the pool's owner inside,
    // and a new owner in another zone renews the leases of the VMs there. The previous owner no longer
    // reaches these VMs, takes their leases for expired, and starts their tasks on VMs of its own zone.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    REQUIRE(b.start_all().size() == 1);
    b.pool().handle_vm_unreachable("v1", b.now());
    b.pool().add_or_update_vm(b.info("v2"));
    b.advance_clock(20'000ms);
    b.report("v2", {});
    CHECK(b.decide(false).starts.empty());
    CHECK(b.decide(false).ended_vms.empty());
    CHECK(b.decide(true).ended_vms.size() == 1);
    b.store_changes();
    CHECK(b.decide(true).starts.size() == 1);
}

// Guards against a task that runs again after it is done: its VM has listed the end, but answers wait on the
// owner's full link until the lease has run out.
TEST_CASE("an owner whose answers are late ends no unresponsive VM") {
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const auto starts = b.start_all();
    REQUIRE(starts.size() == 1);
    b.pool().handle_vm_unreachable("v1", b.now());
    b.pool().add_or_update_vm(b.info("v2"));
    b.advance_clock(20'000ms);
    b.report("v2", {});
    CHECK(b.decide(true, false).ended_vms.empty());
    CHECK(b.decide(true, false).starts.empty());
    b.report("v1", {}, {scheduler_fixture::end(1, starts[0], run_end::done)});
    CHECK(b.decide().starts.empty());
    b.store_changes();
    CHECK(b.pool().phase_of("j") == job_phase::completed);
}

// Guards against the same after a takeover: the VM of a previous owner's run does not get through to the new
// owner until the longest lease has run out.
TEST_CASE("an owner whose answers are late starts no task that a previous owner's VM may have done") {
    scheduler_fixture b;
    b.pool().restore_job(scheduler_fixture::record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("v1"));
    b.add_vm("v2");
    b.advance_clock(20'000ms);
    b.report("v2", {});
    CHECK(b.decide(true, false).starts.empty());
    start_order previous;
    previous.task = {"j", 0, 0, 0};
    previous.attempt = 1;
    b.report("v1", {}, {scheduler_fixture::end(1, previous, run_end::done)});
    CHECK(b.decide().starts.empty());
    CHECK(b.pool().find_job("j")->phase() == job_phase::completed);
}

TEST_CASE("a takeover with all VMs known completes while answers are late") {
    scheduler_fixture b;
    b.pool().restore_job(scheduler_fixture::record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.add_vm("v2");
    CHECK(b.decide(true, false).starts.size() == 1);
}

TEST_CASE("runs on a VM that does not respond count against the disruption budget") {
    // Guards against an exceeded disruption budget: a rack goes dark with one task, the task's run counts as
    // available until its lease expires, and maintenance moves another task.
    scheduler_fixture b;
    b.add_vm("v1", 1);
    b.add_vm("v2", 1);
    b.add_vm("v3", 1);
    b.add_job("j", {long_lived_step(2, 1)});
    const auto starts = b.start_all();
    REQUIRE(starts.size() == 2);
    for (const start_order& order : starts) {
        b.report(order.vm, {b.running(order)});
    }
    b.pool().handle_vm_unreachable(starts[0].vm, b.now());
    b.pool().cordon(starts[1].vm, true);
    CHECK(b.decide().stops.empty());
    b.report(starts[0].vm, {b.running(starts[0])});
    CHECK(b.decide().stops.size() == 1);
}

TEST_CASE("a failed run counts once across owners") {
    // Guards against a failure that counts twice: an owner stores the failure and dies before the VM has
    // forgotten it, and its successor sees the same end listed.
    scheduler_fixture old_owner;
    old_owner.add_vm("v1");
    old_owner.add_job("j", {scheduler_fixture::step(1)});
    const start_order order = old_owner.start_all().at(0);
    old_owner.report("v1", {}, {old_owner.end(1, order, run_end::failed)});
    const job_progress stored = old_owner.pool().find_job("j")->progress();

    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), stored, b.now());
    b.add_vm("v1");
    for (int i = 0; i < 3; ++i) {
        b.report("v1", {}, {b.end(1, order, run_end::failed)});
    }
    CHECK(b.pool().find_job("j")->task({"j", 0, 0, 0}).failed_attempts.size() == 1);
    CHECK_FALSE(is_final(b.pool().find_job("j")->phase()));
    CHECK(b.decide().starts.size() == 1);
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

TEST_CASE("a gang starts whole or not at all, under one attempt number") {
    scheduler_fixture b;
    b.add_vm("v1", 2);
    step_spec gang = scheduler_fixture::step(3);
    gang.gang = true;
    b.add_job("j", {gang});
    CHECK(b.decide().starts.empty());
    b.add_vm("v2", 1);
    const auto starts = b.start_all();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].attempt == starts[2].attempt);
    b.report("v1", {}, {b.end(1, starts[0], run_end::done)});
    CHECK(b.pool().find_job("j")->phase() == job_phase::completed);
}

TEST_CASE("a gang that needs one rack starts there if a rack has capacity for all of it") {
    // Guards against a gang that takes twice as long as expected: its members are placed on the fullest VMs,
    // which are on two racks, although one rack has free capacity for all of them.
    struct layout {
        const char* name;
        std::int64_t cores_of_b; // Rack a: 2 + 1 cores; rack b: this many on one VM.
        const char* data_rack;
        const char* expected; // The rack of all starts.
    };
    constexpr layout layouts[] = {
        {"a fuller VM is on another rack", 1, "", "a"},
        {"the rack with least free capacity", 8, "", "a"},
        {"the rack of the data", 8, "b", "b"},
        {"the data's rack is too small", 2, "b", "a"},
    };
    for (const layout& item : layouts) {
        INFO(item.name);
        scheduler_fixture b;
        b.add_vm_on_rack("a", "v1", 2);
        b.add_vm_on_rack("b", "v2", item.cores_of_b);
        b.add_vm_on_rack("a", "v3", 1);
        step_spec gang = scheduler_fixture::step(3);
        gang.gang = true;
        gang.same_rack = true;
        gang.data_rack = item.data_rack;
        b.add_job("j", {gang});
        const auto starts = b.start_all();
        REQUIRE(starts.size() == 3);
        for (const start_order& order : starts) {
            CHECK(b.pool().vms().at(order.vm).info().rack == item.expected);
        }
    }
}

TEST_CASE("a gang that fits on no single rack is spread rather than kept waiting") {
    scheduler_fixture b;
    b.add_vm_on_rack("a", "v1", 2);
    b.add_vm_on_rack("b", "v2", 2);
    step_spec gang = scheduler_fixture::step(3);
    gang.gang = true;
    gang.same_rack = true;
    b.add_job("j", {gang});
    CHECK(b.start_all().size() == 3);
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

TEST_CASE("an adopted run that ends does not free its task while the previous owner may still order a run") {
    // Guards against a task that runs twice: a new owner adopts a run that fails at once, and both owners see
    // the end. The previous owner doesn't know its successor yet and starts the task on a VM that the new
    // owner has not reached, and the new owner starts the task as well.
    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("v1"));
    b.pool().expect_vm(b.info("v2"));
    b.pool().add_or_update_vm(b.info("v1"));
    b.pool().add_or_update_vm(b.info("v2"));
    const task_id task{"j", 0, 0, 0};
    b.report("v1", {{task, 1, "", 50, 0}});
    b.advance_clock(10ms);
    b.report("v1", {}, {{1, task, 1, run_end::failed, ""}});
    CHECK(b.decide().starts.empty());
    b.report("v2", {{task, 2, "", 0, 0}});
    CHECK(b.decide().starts.empty());
    b.advance_clock(10ms);
    b.report("v2", {}, {{1, task, 2, run_end::failed, ""}});
    CHECK(b.decide().starts.size() == 1);
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

TEST_CASE("a VM that has not reported to a new owner is not releasable") {
    // Guards against tasks that run again after a restart of all nodes: a new owner that can't reach VMs
    // knows of no runs on them and removes them from the record of VMs in use, so the next owner doesn't ask
    // them and starts what has ended there.
    scheduler_fixture b(1);
    b.pool().expect_vm(b.info("v1"));
    CHECK_FALSE(b.pool().is_releasable("v1"));
    CHECK_FALSE(b.pool().demand(b.now()).vms.at(0).is_idle);
    b.report("v1", {});
    CHECK(b.pool().is_releasable("v1"));
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
