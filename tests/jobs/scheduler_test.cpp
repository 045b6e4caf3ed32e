#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

step_spec long_running_step(std::uint32_t count, std::uint32_t budget) {
    step_spec item = scheduler_fixture::step(count);
    item.long_running = true;
    item.disruption_budget = budget;
    return item;
}

} // namespace

TEST_CASE("a job's tasks start step by step and its end is told once it is stored") {
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

TEST_CASE("an adopted run is not taken for lapsed before its VM's first renewal") {
    // A user sees a seat sold twice. A pool's owner dies while tasks run; its successor finds them on a VM
    // with its first look, has granted that VM nothing itself, and so took their lease for run out. It
    // started each of them a second time beside the first.
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

TEST_CASE("tasks of an earlier owner wait for every VM that may run them") {
    // A user is billed twice. The old owner had started a task on a VM that the new owner can't reach; the
    // new owner found it nowhere else and started it again at once.
    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("lost"));
    b.add_vm("v1");
    CHECK(b.decide().starts.empty());

    SUBCASE("until it answers") {
        b.report("lost", {});
    }
    SUBCASE("until its life has certainly ended") {
        b.pool().handle_vm_ended("lost", vm_end_cause::replaced, b.now());
    }
    SUBCASE("until the last lease of the old owner has run out") {
        b.advance_clock(scheduler_fixture::settings().takeover_timeout + 1ms);
        b.report("v1", {});
    }
    CHECK(b.decide().starts.size() == 1);
}

TEST_CASE("tasks don't wait for a VM whose machine answers as a later one") {
    // Reports start twelve seconds late and a second pool starves. VMs crashed while the store was away; the
    // new owner could not connect to them, and no list of machines showed them gone: their machines were up
    // and still in the pool, under later lives that answered.
    scheduler_fixture b(1);
    b.pool().restore_job(b.record("j", {scheduler_fixture::step(1)}), std::nullopt, b.now());
    b.pool().expect_vm(b.info("crashed"));
    b.pool().handle_vm_unreachable("crashed", b.now());
    vm_info later = b.info("later");
    later.machine = b.info("crashed").machine;
    b.pool().add_or_update_vm(later);
    b.add_vm("other");
    CHECK(b.decide().starts.empty()); // Listed alone proves nothing.
    b.report("later", {});
    CHECK(b.decide().starts.size() == 1);
    CHECK(!b.pool().vms().contains("crashed"));
}

TEST_CASE("a VM that is silent loses its runs when its lease has run out, and no sooner") {
    // A user's overnight run stands still for the rest of the night. Its VM went dark; the owner repeated the
    // renewal, booked a new deadline with each try, and so never saw the lease run out.
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
    CHECK(b.decide().starts.empty()); // That a VM ended under the task is stored first.
    b.store_changes();
    const auto again = b.decide().starts;
    REQUIRE(again.size() == 1);
    CHECK(again[0].vm == "v2");
    CHECK(again[0].attempt == 2);
}

TEST_CASE("an owner whose claim is not certain concludes nothing from silence") {
    // A user's task runs twice. A zone is cut off with its owner inside; a new owner outside renews the
    // leases of the VMs there. The old owner no longer reached them, took their leases for run out and
    // started their tasks on VMs of its own zone.
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

TEST_CASE("runs on a VM that does not answer count against the disruption budget") {
    // Two of a booking portal's five instances are away at once, though it allows one. A rack went dark with
    // one of them; its run still counted as at work until its lease ran out, and an upkeep moved another.
    scheduler_fixture b;
    b.add_vm("v1", 1);
    b.add_vm("v2", 1);
    b.add_vm("v3", 1);
    b.add_job("j", {long_running_step(2, 1)});
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

TEST_CASE("a failed run counts once, whoever counts it") {
    // A bill is shown as failed although its task failed once. An owner stored the failure and died before
    // the VM had forgotten it; its successor saw the same end listed and counted it again.
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
        b.advance_clock(20'000ms); // A VM that only fails is set aside for a while.
        b.report("v1", {});
        const auto starts = b.start_all();
        REQUIRE(starts.size() == 1);
        b.report("v1", {}, {b.end(i, starts[0], run_end::failed)});
    }
    CHECK(b.pool().find_job("j")->phase() == job_phase::failed);
    CHECK(b.decide().starts.empty());
}

TEST_CASE("a start without an answer is settled by the VM's own word") {
    // A task is lost or doubled when an order gets no answer: it may be there, may come, or may never come.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {scheduler_fixture::step(1)});
    const start_order order = b.decide().starts.at(0);
    b.advance_clock(800ms);
    b.pool().handle_start_answer(order, order_outcome::unknown, 0, b.now());
    const auto stops = b.decide().stops;
    REQUIRE(stops.size() == 1);
    CHECK(b.decide().starts.empty());

    SUBCASE("it is there: it is stopped and its end awaited") {
        b.report("v1", {b.running(order)});
        CHECK(b.decide().starts.empty());
        b.report("v1", {}, {b.end(1, order, run_end::stopped)});
        CHECK(b.decide().starts.size() == 1);
    }
    SUBCASE("it was done meanwhile") {
        b.report("v1", {}, {b.end(1, order, run_end::done)});
        CHECK(b.decide().starts.empty());
        CHECK(b.pool().find_job("j")->phase() == job_phase::completed);
    }
    SUBCASE("a report from before the start proves nothing") {
        b.report("v1", {});
        CHECK(b.decide().starts.empty());
    }
    SUBCASE("its time to start has passed") {
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
    CHECK(b.pool().phase_of("j") == job_phase::running); // Not told before it is stored.
    b.store_changes();
    CHECK(b.pool().phase_of("j") == job_phase::cancelled);
}

TEST_CASE("a long-running task starts again however it ends") {
    for (const run_end how : {run_end::done, run_end::failed, run_end::lease_expired, run_end::stopped}) {
        scheduler_fixture b;
        b.add_vm("v1");
        b.add_job("j", {long_running_step(1, 1)});
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

TEST_CASE("a gang that distance slows down starts on one rack where one has room for all of it") {
    // A user's model takes twice as long as promised. Its members were put on the fullest VMs with room,
    // which stood on two racks, although one rack had room for them all.
    struct layout {
        const char* story;
        std::int64_t cores_of_b; // Rack a: 2 + 1 cores; rack b: this many on one VM.
        const char* data_rack;
        const char* expected; // The rack of all starts.
    };
    constexpr layout layouts[] = {
        {"a fuller VM stands on another rack", 1, "", "a"},
        {"the rack with least to spare", 8, "", "a"},
        {"the rack of the data", 8, "b", "b"},
        {"the data's rack is too small", 2, "b", "a"},
    };
    for (const layout& item : layouts) {
        INFO(item.story);
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

TEST_CASE("work is packed, so that whole VMs stay idle") {
    scheduler_fixture b;
    for (const char* name : {"v1", "v2", "v3", "v4"}) {
        b.add_vm(name);
    }
    b.add_job("j", {long_running_step(4, 1)});
    b.start_all();
    b.add_job("k", {scheduler_fixture::step(8)});
    b.start_all();
    const pool_demand demand = b.pool().demand(b.now());
    CHECK(std::ranges::count_if(demand.vms, &vm_load::is_idle) == 3);
}

TEST_CASE("an adopted run that ends does not free its task while the old owner may still act elsewhere") {
    // A task runs twice for a second. A new owner adopts a run; it fails at once and both owners hear of it.
    // The old one, not yet aware of its successor, starts the task on a VM that the new one has not reached;
    // the new one starts it as well, since it had found the task's only run.
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

TEST_CASE("a VM whose ends are not stored yet is not free to go") {
    // A passenger is billed again after a restart of all nodes. A VM was moved to another pool as soon as
    // nothing ran there, while the ends that it had listed were not stored; with the VM they were gone, and
    // the next owner started the tasks once more.
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

TEST_CASE("a VM that a new owner has not heard of is not free to go") {
    // A quote runs again after a restart of all nodes. Its zone was cut off; a new owner outside could not
    // reach the VMs there, knew of no runs on them, and took them out of the record of VMs in use. The owner
    // after it then did not ask them, and started what had ended there.
    scheduler_fixture b(1);
    b.pool().expect_vm(b.info("v1"));
    CHECK_FALSE(b.pool().is_releasable("v1"));
    CHECK_FALSE(b.pool().demand(b.now()).vms.at(0).is_idle);
    b.report("v1", {});
    CHECK(b.pool().is_releasable("v1"));
}

TEST_CASE("a step of a queue with a policy runs only on VMs that the policy service approves") {
    // A carrier's job runs on a VM that its policy forbids, or never runs: VMs refuse starts without a
    // ticket.
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
    SUBCASE("a ticket runs out") {
        b.pool().handle_advice_answer(asked.advice_requests[0], {true, {{"v2", "t-2"}}, 3000ms}, b.now());
        b.advance_clock(2900ms);
        b.report("v1", {});
        b.report("v2", {});
        const decisions again = b.decide();
        CHECK(again.starts.empty());
        CHECK(again.advice_requests.size() == 1);
    }
    SUBCASE("an answer that never comes is asked for again") {
        b.advance_clock(1700ms);
        b.report("v1", {});
        b.report("v2", {});
        CHECK(b.decide().advice_requests.size() == 1);
    }
}

TEST_CASE("a long-running task whose start got no answer is not stopped, since it may be at work") {
    // Three of a portal's five instances are away, though it allows one. After a rack's loss they start
    // again; the answers to two starts are lost, and the runs, which are there and at work, are stopped for
    // it.
    scheduler_fixture b;
    b.add_vm("v1");
    b.add_job("j", {long_running_step(1, 1)});
    const start_order order = b.decide().starts.at(0);
    b.advance_clock(800ms);
    b.pool().handle_start_answer(order, order_outcome::unknown, 0, b.now());
    CHECK(b.decide().stops.empty());

    SUBCASE("it is there and goes on") {
        b.report("v1", {b.running(order)});
        b.advance_clock(2000ms);
        b.report("v1", {b.running(order)});
        const decisions later = b.decide();
        CHECK(later.stops.empty());
        CHECK(later.starts.empty());
    }
    SUBCASE("it is not there and its time to start has passed: it starts again") {
        b.report("v1", {});
        CHECK(b.decide().starts.empty());
        b.advance_clock(1000ms);
        b.report("v1", {});
        CHECK(b.decide().starts.size() == 1);
    }
}

TEST_CASE("a VM on which several tasks soon end is looked at closely") {
    // Agencies wait four seconds for quotes while a third of their pool's cores idle. One answer in twenty of
    // its VMs is lost; a look that waits long for an end is given up long after, and until then the pool
    // hears of no end on that VM and fills none of its room.
    struct polling_case {
        const char* name = "";
        std::uint32_t quotes = 0;
        std::uint32_t sweeps = 0;
        bool polled_frequently = false;
    };
    for (const polling_case& item :
         {polling_case{"nothing runs", 0, 0, false}, polling_case{"two quotes", 2, 0, false},
          polling_case{"three quotes", 3, 0, true}, polling_case{"long-running tasks only", 0, 6, false},
          polling_case{"both", 3, 2, true}}) {
        INFO(item.name);
        scheduler_fixture b;
        b.add_vm("v1");
        if (item.quotes > 0) {
            b.add_job("quotes", {scheduler_fixture::step(item.quotes)});
        }
        if (item.sweeps > 0) {
            b.add_job("sweeps", {long_running_step(item.sweeps, 1)});
        }
        std::vector<running_report> reports;
        for (const start_order& order : b.start_all()) {
            reports.push_back(scheduler_fixture::running(order));
        }
        b.report("v1", reports);
        CHECK(b.pool().needs_frequent_polling("v1") == item.polled_frequently);
    }
}
