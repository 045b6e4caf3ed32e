#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("jobs that wait are listed in the order of placement, each with its reason") {
    scheduler_fixture b;
    b.add_vm("v1", 4);
    step_spec second = scheduler_fixture::step(1);
    second.after = {0};
    b.add_job("first", {scheduler_fixture::step(4, 1000, 2000), second});
    CHECK(b.start_all().size() == 4);
    b.advance_clock(100ms);
    b.add_job("later", {scheduler_fixture::step(8)});
    b.advance_clock(100ms);
    b.add_job("urgent", {scheduler_fixture::step(2, 1000, 100)});
    b.decide();
    const std::vector<waiting_job> rows = b.pool().waiting_jobs(10, b.now());
    REQUIRE(rows.size() == 3);
    CHECK(rows[0].job == "urgent");
    CHECK(rows[0].reason == wait_reason::capacity);
    CHECK(rows[0].until_objective == 760ms);
    CHECK(rows[1].job == "later");
    CHECK(rows[1].waiting == 100ms);
    CHECK(rows[1].waiting_tasks == 8);
    CHECK(rows[2].job == "first");
    CHECK(rows[2].reason == wait_reason::earlier_steps);
    CHECK(rows[2].running_tasks == 4);
    CHECK(b.pool().waiting_jobs(1, b.now()).size() == 1);
}

TEST_CASE("a task that its account's limit keeps waiting says so") {
    scheduler_fixture b;
    b.add_vm("v1");
    b.pool().accounts().set_ceilings({{"a", {1000, 1'000'000, 0}}});
    job_record record = scheduler_fixture::record("j", {scheduler_fixture::step(4)});
    record.account = "a";
    b.pool().add_job(record, b.now());
    CHECK(b.start_all().size() == 1);
    const std::vector<waiting_job> rows = b.pool().waiting_jobs(10, b.now());
    REQUIRE(rows.size() == 1);
    CHECK(rows[0].reason == wait_reason::account_limit);
    const std::vector<account_report> accounts = b.pool().describe_accounts();
    REQUIRE(accounts.size() == 1);
    CHECK(accounts[0].account == "a");
    CHECK(accounts[0].used.cpu_millicores == 1000);
    CHECK(accounts[0].ceiling.cpu_millicores == 1000);
    CHECK(accounts[0].waiting_jobs == 1);
}

TEST_CASE("a job's report shows its steps, its runs and what it waits for") {
    scheduler_fixture b;
    b.add_vm("v1", 2);
    b.add_job("j", {scheduler_fixture::step(3)});
    const std::vector<start_order> starts = b.start_all();
    REQUIRE(starts.size() == 2);
    b.report("v1", {scheduler_fixture::running(starts[0], 40), scheduler_fixture::running(starts[1], 10)});
    b.advance_clock(300ms);
    const std::optional<job_report> report = b.pool().describe_job("j", 10, b.now());
    REQUIRE(report);
    CHECK(report->phase == job_phase::running);
    CHECK(report->age == 300ms);
    REQUIRE(report->steps.size() == 1);
    const step_report& step = report->steps[0];
    CHECK(step.tasks == 3);
    CHECK(step.done == 0);
    CHECK(step.waiting == 1);
    CHECK(step.reason == wait_reason::capacity);
    REQUIRE(step.runs.size() == 2);
    CHECK(step.runs[0].vm == "v1");
    CHECK(step.runs[0].percent == 40);
    CHECK(step.runs[0].age == 300ms);
    CHECK_FALSE(b.pool().describe_job("unknown", 10, b.now()));
}
