#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// What a job of three tasks may look like that is cancelled while its starts have no answer.
struct cancelled_job_case {
    const char* name = "";
    bool gang = false;
    bool long_running = false;
    bool has_occurrences = false; ///< Two occurrences, both due.
};

constexpr cancelled_job_case cancelled_job_cases[] = {
    {"tasks that end by themselves", false, false, false},
    {"a gang", true, false, false},
    {"long-running tasks", false, true, false},
    {"occurrences", false, false, true},
};

job_record cancelled_record(const scheduler_fixture& b, const cancelled_job_case& shape) {
    step_spec step = scheduler_fixture::step(3);
    step.gang = shape.gang;
    step.long_running = shape.long_running;
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

/// Time after which an ended job may be forgotten.
constexpr milliseconds keep_ended = 3s;

} // namespace

TEST_CASE("a cancelled job stays known while a start of it without an answer may still come") {
    // A cancelled report still runs minutes later. The answers to its starts were lost and it was cancelled;
    // nothing of it was seen to run, so it would be forgotten and its VM left alone. Then the VM carried the
    // starts out, and nobody looked.
    for (const cancelled_job_case& shape : cancelled_job_cases) {
        for (const bool cancelled_first : {true, false}) {
            INFO(std::string(shape.name), cancelled_first ? ", cancelled before" : ", cancelled after",
                 " the orders were given up");
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
            b.decide(); // Stops, none of which is answered.
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

TEST_CASE("a late start of a job that its owner has forgotten is stopped until it is gone") {
    // A cancelled report runs on to the end of its lease. The VM carried its start out late, when the owner
    // had already forgotten the job; the one stop that the owner sent was lost.
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

TEST_CASE("a new owner stops what it finds of a job that was cancelled before, and gives nothing its room") {
    // A VM is loaded over its capacity and its tasks crawl. Its owner cancelled a job and was removed while
    // the runs were still being stopped; the record of a cancelled job is gone, so its successor knew nothing
    // of what they use and started others beside them. Where the stop was lost, they also ran on.
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

    SUBCASE("it has ended") {
        b.report("v1", {}, {{1, cancelled, 3, run_end::stopped, ""}});
        CHECK(b.decide().starts.size() == 4);
    }
    SUBCASE("it is missing") {
        b.report("v1", {});
        CHECK(b.decide().starts.size() == 4);
    }
    SUBCASE("its lease has run out on a VM that does not answer") {
        b.pool().handle_vm_unreachable("v1", b.now());
        b.advance_clock(20'000ms);
        b.decide();
        CHECK(b.pool().is_releasable("v1"));
    }
    SUBCASE("nothing else runs there: its lease is not renewed") {
        CHECK(b.pool().grant_lease_renewal("v1", b.now()) == 0);
    }
}

TEST_CASE("a cancelled job's run on a VM that answers its new owner late is stopped") {
    // A cancelled job runs on although its cancelling was confirmed. It was cancelled around a change of
    // owner while its VM was silent, so the new owner knew of no run to stop; by the time that the VM
    // answered, the job was long told as cancelled, or forgotten.
    for (const cancelled_job_case& shape : cancelled_job_cases) {
        for (const bool forgotten : {false, true}) {
            INFO(std::string(shape.name), forgotten ? ", job forgotten" : ", job known");
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
