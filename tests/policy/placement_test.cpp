#include "policy/fleet_builder.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::fleet_builder;

namespace {

struct placement_fixture {
    fleet_builder b;
    job_table table;
    usage_estimates usage;
    std::map<std::string, worker_health> workers;
    std::map<std::string, std::uint32_t> ended;
    placement_options options;
    std::vector<placement_decision> decisions;

    placement_fixture() {
        b.pool("p", 1, 2).pool("q", 1, 1).entry("e1");
        b.vm("w1", "p", "a", "r1").vm("w2", "p", "a", "r2").vm("w9", "q");
        b.config.teams["t"] = {"m", 100'000, 0};
    }

    job_record& add(const std::string& id, std::uint32_t cpu, job_urgency urgency = job_urgency::daily) {
        job_record job;
        job.id = id;
        job.team = "t";
        job.kind = "k-" + id;
        job.urgency = urgency;
        job.size = {cpu, 100, 0};
        table.jobs.push_back(job);
        return table.jobs.back();
    }

    bool place() {
        const placement_input input{b.config, b.fleet, "p", table, usage, workers, {}, ended, b.now, options};
        placement_plan plan = place_jobs(input);
        table = plan.next;
        decisions = plan.decisions;
        return plan.changed;
    }

    job_record& job(const std::string& id) { return *table.find(id); }
};

} // namespace

TEST_CASE("jobs are placed on serving VMs of their own pool only") {
    placement_fixture j;
    j.add("j1", 30'000);
    j.add("j2", 30'000);
    j.add("j3", 30'000);
    j.place();
    CHECK(j.job("j1").state == job_state::assigned);
    CHECK(j.job("j2").state == job_state::assigned);
    CHECK(j.job("j1").vm != j.job("j2").vm);
    CHECK(j.job("j3").state == job_state::queued);
    CHECK(j.job("j3").reason == "no VM has room");
    for (const job_record& job : j.table.jobs) {
        CHECK(job.vm != "w9");
    }
    CHECK_FALSE(j.place()); // Without changes, no decision is repeated.
    CHECK(j.decisions.empty());
}

TEST_CASE("a job that fits no VM is parked with its reason until a VM is large enough") {
    placement_fixture j;
    j.add("big", 90'000);
    j.place();
    CHECK(j.job("big").state == job_state::parked);
    CHECK(j.job("big").reason == "no VM of pool p is large enough");
    CHECK_FALSE(j.place());
    vm_record large = *j.b.fleet.find_vm("w1");
    large.cores = 128;
    j.b.fleet.put_vm(large);
    j.place();
    CHECK(j.job("big").state == job_state::assigned);
}

TEST_CASE("one patient job is stopped for an urgent job that fits on no VM") {
    placement_fixture j;
    j.add("sweep1", 30'000, job_urgency::patient);
    j.add("sweep2", 30'000, job_urgency::patient);
    j.place();
    for (job_record& job : j.table.jobs) {
        job.state = job_state::running;
    }
    j.add("quick", 20'000, job_urgency::urgent);
    j.place();
    const bool exactly_one_stops =
        (j.job("sweep1").state == job_state::stopping) != (j.job("sweep2").state == job_state::stopping);
    CHECK(exactly_one_stops);
    CHECK_FALSE(j.place()); // No second patient job is stopped for the same urgent job.
    job_record& stopped = j.job("sweep1").state == job_state::stopping ? j.job("sweep1") : j.job("sweep2");
    const std::string vm = stopped.vm;
    REQUIRE(apply_task_updates(j.table, {{stopped.id, stopped.epoch, task_result::stopped, vm}}));
    j.place();
    CHECK(j.job("quick").state == job_state::assigned);
    CHECK(j.job("quick").vm == vm);
}

TEST_CASE("on a leaving VM a patient job is stopped and a daily job finishes") {
    // A wave cordons w1. The patient job is stopped at a checkpoint so that it can move; the daily job, which
    // is nearly finished, keeps running.
    placement_fixture j;
    j.add("sweep", 1'000, job_urgency::patient);
    j.add("digest", 1'000, job_urgency::daily);
    j.b.fleet.find_vm("w2")->state = vm_state::free;
    j.place();
    for (job_record& job : j.table.jobs) {
        REQUIRE(job.vm == "w1");
        job.state = job_state::running;
    }
    j.b.fleet.find_vm("w1")->state = vm_state::cordoned;
    j.place();
    CHECK(j.job("sweep").state == job_state::stopping);
    CHECK(j.job("digest").state == job_state::running);
}

TEST_CASE("a job is reassigned only when its task is confirmed to have ended") {
    // Guards against two runs of one task, here a bill that would be charged twice. The VM is lost but may
    // only be partitioned and still run the task, so the job stays assigned to it until the lease has
    // expired.
    placement_fixture j;
    j.add("bill", 1'000);
    j.place();
    const std::string vm = j.job("bill").vm;
    j.job("bill").state = job_state::running;
    vm_record& lost = *j.b.fleet.find_vm(vm);
    lost.state = vm_state::lost;
    ++lost.epoch;
    CHECK_FALSE(j.place());
    j.ended[vm] = lost.epoch - 1;
    CHECK_FALSE(j.place());
    j.ended[vm] = lost.epoch;
    j.place();
    CHECK(j.job("bill").state == job_state::assigned);
    CHECK(j.job("bill").vm != vm);
    CHECK(j.job("bill").epoch == 2);
}

TEST_CASE("a patient job waits for its last VM when moves outweigh idle VMs; a daily job does not") {
    // A VM restarts and returns within minutes. The patient job can continue there from its last state; on
    // another VM it would have to start again.
    placement_fixture j;
    j.options = placement_options_for({1, 4});
    j.add("sweep", 1'000, job_urgency::patient);
    j.add("digest", 1'000, job_urgency::daily);
    j.place();
    for (job_record& job : j.table.jobs) {
        job.state = job_state::running;
        job.vm = "w1";
    }
    vm_record& vm = *j.b.fleet.find_vm("w1");
    vm.state = vm_state::returning;
    ++vm.epoch;
    j.ended["w1"] = vm.epoch;
    j.place();
    CHECK(j.job("digest").vm == "w2");
    CHECK(j.job("digest").moves == 1);
    CHECK(j.job("sweep").state == job_state::queued);
    CHECK(j.job("sweep").reason == "waits for w1 to come back");
    vm.state = vm_state::serving;
    j.place();
    CHECK(j.job("sweep").vm == "w1");
    CHECK(j.job("sweep").moves == 0);
    CHECK(j.job("sweep").epoch == 2);
}

TEST_CASE("a patient job that waits for its last VM moves when the VM leaves the pool") {
    placement_fixture j;
    j.options = placement_options_for({1, 4});
    job_record& sweep = j.add("sweep", 1'000, job_urgency::patient);
    sweep.last_vm = "w1";
    j.b.fleet.find_vm("w1")->state = vm_state::lost;
    j.place();
    CHECK(j.job("sweep").state == job_state::queued);
    j.b.fleet.find_vm("w1")->pool.clear();
    j.place();
    CHECK(j.job("sweep").vm == "w2");
    CHECK(j.job("sweep").moves == 1);
}

TEST_CASE("a worker's report on an older epoch is ignored") {
    placement_fixture j;
    j.add("bill", 1'000);
    j.place();
    j.job("bill").epoch = 4;
    for (const auto result :
         {task_result::done, task_result::failed, task_result::stopped, task_result::running}) {
        CHECK_FALSE(apply_task_updates(j.table, {{"bill", 3, result, "w1"}}));
    }
    CHECK(apply_task_updates(j.table, {{"bill", 4, task_result::done, "w1"}}));
    CHECK_FALSE(apply_task_updates(j.table, {{"bill", 4, task_result::done, "w1"}}));
    CHECK(j.job("bill").state == job_state::done);
}

TEST_CASE("a team's running jobs stay within its quota") {
    placement_fixture j;
    j.b.config.teams["t"].cpu_millicores = 5'000;
    j.add("j1", 3'000);
    j.add("j2", 3'000);
    j.add("j3", 2'000);
    j.place();
    CHECK(j.job("j1").state == job_state::assigned);
    CHECK(j.job("j2").reason == "quota of team t is used up");
    CHECK(j.job("j3").state == job_state::assigned);
}

TEST_CASE("estimated usage replaces declared sizes") {
    placement_fixture j;
    job_record& job = j.add("j1", 31'000);
    job.kind = "digest";
    for (int i = 0; i < 2; ++i) {
        j.usage.record_usage("digest", {1'000, 50, 0});
        CHECK(j.usage.planned_size(job).cpu_millicores == 31'000);
    }
    j.usage.record_usage("digest", {1'000, 50, 0});
    CHECK(j.usage.planned_size(job).cpu_millicores == 1'200);
    for (int i = 0; i < 3; ++i) {
        j.add("d" + std::to_string(i), 9'000).kind = "sweep";
    }
    job_record next = j.job("d0");
    next.state = job_state::queued;
    CHECK(j.usage.planned_size(next).cpu_millicores == 9'000);
    j.place();
    for (job_record& running : j.table.jobs) {
        (void)apply_task_updates(j.table,
                                 {{running.id, running.epoch, task_result::done, "w1", {2'000, 10, 0}}});
    }
    j.usage.update_from_table("p", j.table);
    j.usage.update_from_table("p", j.table); // A second call with the same table counts no job again.
    CHECK(j.usage.planned_size(next).cpu_millicores == 2'400);
}

TEST_CASE("a VM on which every task fails is quarantined; a job that fails repeatedly ends as failed") {
    placement_fixture j;
    worker_health_tracker tracker;
    std::vector<std::string> quarantined;
    for (int i = 0; i < 3; ++i) {
        const std::string id = "j" + std::to_string(i);
        j.add(id, 1'000);
        j.job(id).failures = 1;
        j.job(id).failed_on = "w1";
        quarantined = tracker.update("p", j.table, j.b.now);
    }
    CHECK(quarantined == std::vector<std::string>{"w1"});
    j.workers = tracker.workers();
    j.place();
    for (const job_record& job : j.table.jobs) {
        CHECK(job.vm == "w2");
    }
    j.add("broken", 1'000).failures = 3;
    j.place();
    CHECK(j.job("broken").state == job_state::failed);
}

TEST_CASE("mass cancellation ends every job in any state") {
    placement_fixture j;
    for (int i = 0; i < 50; ++i) {
        j.add("j" + std::to_string(i), 1'000);
    }
    j.place();
    std::vector<task_update> updates;
    for (job_record& job : j.table.jobs) {
        job.state = may_be_running(job.state) ? job_state::cancelling : job_state::cancelled;
        updates.push_back({job.id, job.epoch, task_result::stopped, job.vm});
    }
    j.place();
    apply_task_updates(j.table, updates);
    for (const job_record& job : j.table.jobs) {
        CHECK(job.state == job_state::cancelled);
    }
}
