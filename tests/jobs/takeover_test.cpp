#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

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
