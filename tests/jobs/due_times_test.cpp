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

TEST_CASE("occurrences that are not due yet keep nobody out") {
    // A passenger's quote is refused although the pool idles. A settlement that runs every ten seconds was
    // handed in a moment before; all its six occurrences counted as work that waits, most of them due in half
    // a minute, so every quote seemed to come too late.
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
    CHECK(b.start_all().size() == 32); // The first occurrence, as far as there is room.
    CHECK(b.pool().load().waiting_work == 32LL * 1000 * 2000);
    CHECK_FALSE(b.pool().check_admission(quote).accepted);
}

TEST_CASE("an occurrence's objective counts from its due time") {
    // Each later run of a scheduled report ends late. Its objective counted from when the job was handed in,
    // so from the second occurrence on it was long past, and the run stood behind all that came in between.
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

TEST_CASE("machines are asked for before an occurrence is due") {
    // The morning's reports start two seconds late each day, since the pool asks for machines only when they
    // are due, and machines take that long to come.
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
