#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// A job whose first occurrence is due `first_in` from now.
job_record timed_record(const scheduler_fixture& b, const std::string& id, std::vector<step_spec> steps,
                        std::uint32_t occurrences, milliseconds first_in, milliseconds period) {
    job_record item = scheduler_fixture::record(id, std::move(steps));
    item.spec.has_due_times = true;
    item.spec.occurrences = occurrences;
    item.spec.start_at_ms = b.wall_ms() + first_in.count();
    item.spec.period_ms = period.count();
    return item;
}

} // namespace

TEST_CASE("occurrences that are not due yet don't cause refusals") {
    // Guards against refusals by an idle pool. If all six occurrences of a job that runs every ten seconds
    // count as waiting work at once, although most are due half a minute later, every new job seems too late.
    scheduler_fixture b;
    b.add_vm("v1");
    const job_record nightly =
        timed_record(b, "nightly", {scheduler_fixture::step(64, 1000, 2000)}, 6, 10s, 10s);
    b.pool().add_job(nightly, b.now());
    const job_spec quote = scheduler_fixture::record("quote", {scheduler_fixture::step(6)}).spec;
    CHECK(b.pool().check_admission(quote).accepted);
    CHECK(b.decide().starts.empty());
    CHECK(b.pool().load().waiting_work == 0);
    CHECK(b.pool().check_admission(quote).accepted);

    b.advance_clock(10s);
    b.report("v1", {});
    CHECK(b.start_all().size() == 32); // The first occurrence, as far as capacity allows.
    CHECK(b.pool().load().waiting_work == 32LL * 1000 * 2000);
    CHECK_FALSE(b.pool().check_admission(quote).accepted);
}

TEST_CASE("an occurrence's objective counts from its due time") {
    // Guards against late occurrences of scheduled jobs. If the objective counts from the job's submission,
    // it has passed when the second occurrence is due, so that occurrence ranks behind all jobs submitted in
    // between.
    scheduler_fixture b;
    b.add_vm("v1", 1);
    b.pool().add_job(timed_record(b, "report", {scheduler_fixture::step(1)}, 2, 0s, 60s), b.now());
    const auto first = b.start_all();
    REQUIRE(first.size() == 1);
    b.report("v1", {}, {b.end(1, first[0], run_end::done)});
    b.advance_clock(60s);
    b.add_job("other", {scheduler_fixture::step(1, 1000, 2000)});
    b.report("v1", {});
    const auto second = b.start_all();
    REQUIRE(second.size() == 1);
    CHECK(second[0].task == task_id{"report", 1, 0, 0});
}

TEST_CASE("machines are requested before an occurrence is due") {
    // Guards against scheduled jobs that start two seconds late: machines take that long to arrive, so
    // requesting them when the occurrence is due is too late.
    scheduler_fixture b;
    b.add_vm("v1");
    b.pool().add_job(timed_record(b, "report", {scheduler_fixture::step(96)}, 3, 5s, 60s), b.now());
    struct moment {
        milliseconds before_due{0};
        std::int64_t need_millicores = 0;
    };
    for (const moment& item : {moment{4000ms, 0}, moment{2000ms, 96'000}, moment{500ms, 96'000}}) {
        INFO(item.before_due.count());
        b.advance_clock(100'000ms + 5000ms - item.before_due - b.now());
        CHECK(b.decide().starts.empty());
        CHECK(b.pool().demand(b.now()).need_millicores == item.need_millicores);
    }
}
