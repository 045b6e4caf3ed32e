#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// A shape of a job of three tasks that is cancelled while its starts have no answer.
struct cancelled_job_case {
    const char* name = "";
    bool gang = false;
    bool long_lived = false;
    bool has_occurrences = false; ///< Two occurrences, both due.
};

constexpr cancelled_job_case cancelled_job_cases[] = {
    {"tasks that are not long-lived", false, false, false},
    {"a gang", true, false, false},
    {"long-lived tasks", false, true, false},
    {"occurrences", false, false, true},
};

job_record cancelled_record(const scheduler_fixture& b, const cancelled_job_case& shape) {
    step_spec step = scheduler_fixture::step(3);
    step.gang = shape.gang;
    step.long_lived = shape.long_lived;
    job_record record = scheduler_fixture::record("j", {step});
    if (shape.has_occurrences) {
        record.spec.occurrences = 2;
        record.spec.has_due_times = true;
        record.spec.start_at_ms = b.wall_ms() - 10;
        record.spec.period_ms = 5;
    }
    return record;
}

std::vector<running_report> running_all(const std::vector<start_order>& starts) {
    std::vector<running_report> rows;
    rows.reserve(starts.size());
    for (const start_order& order : starts) {
        rows.push_back(scheduler_fixture::running(order));
    }
    return rows;
}

/// Time after which an ended job may be removed.
constexpr milliseconds keep_ended = 3s;

} // namespace

TEST_CASE("a cancelled job is kept while one of its unanswered starts may still arrive") {
    // Guards against a run of a cancelled job that is never stopped: the answers to its starts are lost, no
    // run is seen, and the job would be removed before its VM carries the starts out.
    for (const cancelled_job_case& shape : cancelled_job_cases) {
        for (const bool cancelled_first : {true, false}) {
            INFO(std::string(shape.name), cancelled_first ? ", cancelled before" : ", cancelled after",
                 " the orders timed out");
            scheduler_fixture b;
            b.add_vm("v1");
            b.pool().add_job(cancelled_record(b, shape), b.now());
            const auto starts = b.decide().starts;
            REQUIRE(starts.size() == (shape.has_occurrences ? 6 : 3));
            if (cancelled_first) {
                b.pool().cancel("j", b.now());
            }
            b.advance_clock(800ms);
            for (const start_order& order : starts) {
                b.pool().handle_start_answer(order, order_outcome::unknown, 0, b.now());
            }
            if (!cancelled_first) {
                b.pool().cancel("j", b.now());
            }
            b.pool().mark_vm_delisted("v1");
            b.store_changes();
            b.decide(); // The stops are not answered.
            b.report("v1", {});
            CHECK(b.pool().remove_final_jobs(b.now() + 2 * keep_ended, keep_ended).empty());
            CHECK_FALSE(b.pool().is_releasable("v1"));

            b.advance_clock(600ms);
            b.report("v1", running_all(starts));
            CHECK(b.decide().stops.size() == starts.size());
            b.advance_clock(scheduler_fixture::settings().stop_retry_interval);
            b.report("v1", running_all(starts));
            CHECK(b.decide().stops.size() == starts.size());
            b.advance_clock(600ms);
            b.report("v1", {});
            CHECK(b.pool().remove_final_jobs(b.now() + 2 * keep_ended, keep_ended).size() == 1);
            CHECK(b.pool().is_releasable("v1"));
        }
    }
}

TEST_CASE("a late start of a job that its owner has removed is stopped until the run is gone") {
    // Guards against a run of a cancelled job that lasts until its lease expires: the VM carries its start
    // out late, when the owner has already removed the job, and the only stop that the owner sends is lost.
    struct late_case {
        const char* name = "";
        bool listed = true; ///< The platform still lists the VM.
    };
    for (const late_case& item : {late_case{"listed", true}, late_case{"no longer listed", false}}) {
        INFO(item.name);
        scheduler_fixture b;
        b.add_vm("v1", 4);
        b.add_job("j", {scheduler_fixture::step(1)});
        const start_order order = b.start_all().at(0);
        b.pool().cancel("j", b.now());
        b.decide();
        b.advance_clock(10ms);
        b.report("v1", {}, {b.end(1, order, run_end::stopped)});
        b.store_changes();
        REQUIRE(b.pool().remove_final_jobs(b.now() + 2 * keep_ended, keep_ended).size() == 1);
        if (!item.listed) {
            b.pool().mark_vm_delisted("v1");
        }
        b.advance_clock(1000ms);
        start_order late = order;
        ++late.attempt;
        b.report("v1", {b.running(late)});
        CHECK(b.decide().stops.size() == 1);
        CHECK_FALSE(b.pool().is_releasable("v1"));
        CHECK(b.pool().needs_frequent_polling("v1"));
        CHECK(b.decide().stops.empty());
        b.advance_clock(scheduler_fixture::settings().stop_retry_interval);
        CHECK(b.decide().stops.size() == 1);
        b.report("v1", {}, {b.end(2, late, run_end::stopped)});
        b.store_changes();
        CHECK(b.decide().stops.empty());
        CHECK(b.pool().is_releasable("v1"));
    }
}

TEST_CASE("a new owner stops runs of a job cancelled before the takeover and does not reuse their capacity") {
    // Guards against an overloaded VM and against runs that are never stopped. An owner is removed while it
    // stops the runs of a cancelled job; the job's record is gone, so the new owner doesn't know what the
    // runs use and starts others beside them. Runs whose stop was lost continue.
    scheduler_fixture b(1);
    b.pool().expect_vm(b.info("v1", 4));
    const task_id cancelled{"gone", 0, 0, 0};
    const running_report row{cancelled, 3, "", 100, 0};
    b.report("v1", {row});
    b.pool().add_or_update_vm(b.info("v1", 4));
    b.add_job("k", {scheduler_fixture::step(4)});
    const decisions first = b.decide();
    CHECK(first.starts.empty());
    REQUIRE(first.stops.size() == 1);
    CHECK(first.stops[0].task == cancelled);
    CHECK(first.stops[0].attempt == 3);
    b.advance_clock(scheduler_fixture::settings().stop_retry_interval);
    const decisions second = b.decide();
    CHECK(second.starts.empty());
    CHECK(second.stops.size() == 1);

    SUBCASE("the run has ended") {
        b.report("v1", {}, {{1, cancelled, 3, run_end::stopped, ""}});
        CHECK(b.decide().starts.size() == 4);
    }
    SUBCASE("the run is missing") {
        b.report("v1", {});
        CHECK(b.decide().starts.size() == 4);
    }
    SUBCASE("the run's lease has expired on a VM that does not respond") {
        b.pool().handle_vm_unreachable("v1", b.now());
        b.advance_clock(20'000ms);
        b.decide();
        CHECK(b.pool().is_releasable("v1"));
    }
    SUBCASE("nothing else runs on the VM: its lease is not renewed") {
        CHECK(b.pool().grant_lease_renewal("v1", b.now()) == 0);
    }
}

TEST_CASE("a cancelled job's run on a VM that reports late to its new owner is stopped") {
    // Guards against a run of a cancelled job that continues after its cancellation was confirmed: the job is
    // cancelled around a takeover while its VM is unresponsive, so the new owner knows of no run to stop, and
    // reports the job as cancelled, or removes it, before the VM responds.
    for (const cancelled_job_case& shape : cancelled_job_cases) {
        for (const bool forgotten : {false, true}) {
            INFO(std::string(shape.name), forgotten ? ", job removed" : ", job kept");
            scheduler_fixture b(1);
            b.pool().restore_job(cancelled_record(b, shape), std::nullopt, b.now());
            b.pool().expect_vm(b.info("v1"));
            b.pool().handle_vm_unreachable("v1", b.now());
            b.pool().cancel("j", b.now());
            b.store_changes();
            b.advance_clock(2 * keep_ended);
            if (forgotten) {
                REQUIRE(b.pool().remove_final_jobs(b.now(), keep_ended).size() == 1);
            }
            CHECK(b.decide().starts.empty());
            const std::vector<running_report> rows{{{"j", 0, 0, 0}, 2, "", 50, 0},
                                                   {{"j", 0, 0, 1}, 2, "", 50, 0}};
            b.report("v1", rows);
            CHECK(b.decide().stops.size() == 2);
            CHECK_FALSE(b.pool().is_releasable("v1"));
            b.advance_clock(scheduler_fixture::settings().stop_retry_interval);
            b.report("v1", rows);
            CHECK(b.decide().stops.size() == 2);
            b.advance_clock(10ms);
            b.report("v1", {});
            CHECK(b.decide().stops.empty());
            CHECK(b.pool().is_releasable("v1"));
        }
    }
}
