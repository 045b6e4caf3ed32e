#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

resources cores(std::int64_t amount) {
    return {amount * 1000, unlimited_amount, unlimited_amount};
}

/// A pool whose jobs belong to accounts.
struct account_pool : scheduler_fixture {
    using scheduler_fixture::scheduler_fixture;

    void add_job_of(const std::string& account, const std::string& id, std::vector<step_spec> steps) {
        job_record item = record(id, std::move(steps));
        item.account = account;
        pool().add_job(item, now());
    }

    void restore_job_of(const std::string& account, const std::string& id, std::vector<step_spec> steps) {
        job_record item = record(id, std::move(steps));
        item.account = account;
        pool().restore_job(item, {}, now());
    }

    std::int64_t used_cores(const std::string& account) {
        return pool().accounts().used(account).cpu_millicores / 1000;
    }
};

} // namespace

TEST_CASE("tasks beyond the account's ceiling wait, and other accounts' tasks start") {
    account_pool p;
    p.add_vm("v1");
    p.pool().accounts().set_ceilings({{"a", cores(3)}});
    p.add_job_of("a", "j1", {p.step(8)});
    p.add_job_of("b", "j2", {p.step(4)});
    p.add_job("j3", {p.step(4)});
    CHECK(p.start_all().size() == 11);
    CHECK(p.used_cores("a") == 3);
    CHECK(p.pool().accounts().demand_of("a").blocked.cpu_millicores == 5000);
    p.pool().accounts().set_ceilings({{"a", cores(6)}});
    CHECK(p.start_all().size() == 3);
    CHECK(p.used_cores("a") == 6);
}

// Guards against a stopped run whose capacity an account uses again before the run has ended.
TEST_CASE("a run counts from its start order until its end is certain") {
    account_pool p;
    p.add_vm("v1");
    p.add_job_of("a", "j1", {p.step(2)});
    const std::vector<start_order> starts = p.decide().starts;
    REQUIRE(starts.size() == 2);
    CHECK(p.used_cores("a") == 2); // In flight.
    p.accept(starts[0]);
    p.pool().handle_start_answer(starts[1], order_outcome::unknown, 0, p.now());
    CHECK(p.used_cores("a") == 2); // Unanswered.
    p.pool().cancel("j1", p.now());
    p.decide();
    CHECK(p.used_cores("a") == 2); // Being stopped.
    p.advance_clock(2s);
    p.report("v1", {}, {p.end(1, starts[0], run_end::stopped), p.end(2, starts[1], run_end::stopped)});
    CHECK(p.used_cores("a") == 0);
}

TEST_CASE("a gang starts only if its account may run the whole gang") {
    account_pool p;
    p.add_vm("v1");
    p.pool().accounts().set_ceilings({{"a", cores(5)}});
    step_spec gang = p.step(6);
    gang.gang = true;
    p.add_job_of("a", "j1", {gang});
    CHECK(p.start_all().empty());
    CHECK(p.used_cores("a") == 0);
    CHECK(p.pool().accounts().demand_of("a").blocked.cpu_millicores == 6000);
    p.pool().accounts().set_ceilings({{"a", cores(6)}});
    CHECK(p.start_all().size() == 6);
}

TEST_CASE("tasks that use idle processor time count with their full need") {
    account_pool p;
    p.add_vm("v1");
    p.pool().accounts().set_ceilings({{"a", cores(3)}});
    step_spec filler = p.step(8);
    filler.best_effort = true;
    p.add_job_of("a", "j1", {filler});
    CHECK(p.start_all().size() == 3);
}

// Guards against a new owner that starts as much as its predecessor may still have running.
TEST_CASE("until all runs of the previous owner are known, its allowance counts as used") {
    account_pool p(1);
    p.pool().expect_vm(p.info("v1"));
    p.pool().expect_vm(p.info("v2"));
    p.restore_job_of("a", "j1", {p.step(8)});
    p.pool().accounts().set_inherited({{"a", {8000, 0, 0}}});
    p.pool().accounts().set_ceilings({{"a", cores(10)}});
    p.pool().add_or_update_vm(p.info("v3"));
    p.report("v3", {});
    p.add_job_of("a", "j2", {p.step(4)});
    CHECK(p.start_all().size() == 2);
    CHECK(p.used_cores("a") == 10);
    p.report("v1", {{{"j1", 0, 0, 0}, 1, "", 100, 0}, {{"j1", 0, 0, 1}, 1, "", 100, 0}});
    CHECK(p.start_all().empty());
    CHECK(p.used_cores("a") == 10);
    p.report("v2", {});
    // Two runs were found and two were started: six of ten cores are free.
    CHECK(p.start_all().size() == 6);
    CHECK(p.used_cores("a") == 10);
}

// Guards against runs of a cancelled job, whose account is not known any more, that nobody counts.
TEST_CASE("while runs of unknown jobs are being stopped, the previous owner's allowance counts as used") {
    account_pool p(1);
    p.pool().expect_vm(p.info("v1"));
    p.pool().accounts().set_inherited({{"a", {8000, 0, 0}}});
    p.pool().accounts().set_ceilings({{"a", cores(8)}});
    p.add_job_of("a", "j2", {p.step(4)});
    p.pool().add_or_update_vm(p.info("v1"));
    p.report("v1", {{{"gone", 0, 0, 0}, 1, "", 100, 0}});
    CHECK(p.start_all().empty());
    p.advance_clock(1s);
    p.report("v1", {});
    CHECK(p.start_all().size() == 4);
}

// Guards against a hot account whose waiting jobs keep other accounts' jobs out of the pool.
TEST_CASE("work that waits for its account's limit delays and refuses no job of another account") {
    account_pool p;
    p.add_vm("v1");
    p.pool().accounts().set_ceilings({{"a", cores(2)}});
    for (int i = 0; i < 20; ++i) {
        p.add_job_of("a", "j" + std::to_string(i), {p.step(20)});
    }
    p.start_all();
    p.pool().accounts().set_limited({"a"});
    p.start_all();
    const job_record next = p.record("next", {p.step(4)});
    CHECK(p.pool().check_admission(next.spec, "b").accepted);
    CHECK(p.pool().check_admission(next.spec, "b").queue_time == 0ms);
    CHECK_FALSE(p.pool().check_admission(next.spec, "a").accepted);
    CHECK(p.pool().demand(p.now()).need_millicores < 4000);
}

// Guards against jobs that are accepted while the pool has few VMs, and late once it has more, because their
// account's limit is used up by then.
TEST_CASE("a job that its account's limit makes late is refused before the limit is used up") {
    struct limit_case {
        const char* description;
        std::string account;
        resources limit;
        bool accepted;
    };
    const std::vector<limit_case> cases{
        {"the work that waits is more than the limit can do", "a", cores(4), false},
        {"another account", "b", cores(4), true},
        {"a limit that suffices", "a", cores(24), true},
        {"a limit of memory alone", "a", {unlimited_amount, 1000, unlimited_amount}, true}};
    for (const limit_case& item : cases) {
        INFO(item.description);
        account_pool p;
        p.add_vm("v1");
        p.pool().accounts().set_limits({{"a", item.limit}});
        p.pool().accounts().set_ceilings({{"a", cores(4)}});
        p.add_job_of("a", "j1", {p.step(28)});
        p.start_all();
        CHECK(p.pool().check_admission(p.record("next", {p.step(1)}).spec, item.account).accepted ==
              item.accepted);
    }
}

TEST_CASE("a job that can never fit an account's limit is found") {
    struct limit_case {
        const char* description;
        std::vector<step_spec> steps;
        resources limit;
        std::size_t problems;
    };
    step_spec gang = account_pool::step(4, 1000);
    gang.gang = true;
    const std::vector<limit_case> cases{
        {"many small tasks", {account_pool::step(100, 1000)}, cores(1), 0},
        {"one large task", {account_pool::step(1, 3000)}, cores(2), 1},
        {"too much memory", {account_pool::step(1)}, {unlimited_amount, 99, unlimited_amount}, 1},
        {"a gang that fits", {gang}, cores(4), 0},
        {"a gang that doesn't", {gang}, cores(3), 1},
        {"a later step", {account_pool::step(1, 500), account_pool::step(1, 3000)}, cores(2), 1},
        {"no limit", {account_pool::step(1, 3000)}, unlimited_resources, 0}};
    for (const limit_case& item : cases) {
        INFO(item.description);
        job_spec spec;
        spec.steps = item.steps;
        CHECK(check_limit(spec, item.limit).items().size() == item.problems);
    }
}
