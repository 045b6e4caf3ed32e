#include "jobs/demand_peak_replay.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

queue_settings quote_queue() {
    queue_settings queue;
    queue.name = "q";
    queue.pool = "p";
    queue.stretch_factor = 1.6;
    queue.target_latency = 600ms;
    queue.max_attempts = 3;
    return queue;
}

pool_load load(std::int64_t waiting_core_s, std::int64_t usable_cores, std::int64_t arriving_cores = 0) {
    pool_load result;
    result.waiting_work = waiting_core_s * 1'000'000;
    result.usable_millicores = usable_cores * 1000;
    result.arriving_millicores = arriving_cores * 1000;
    return result;
}

} // namespace

TEST_CASE("a job is accepted if it can end within its objective after the waiting work") {
    // Objective of a job of one second: 1.6 s + 0.6 s, so 1.2 s may be spent waiting.
    struct admission_case {
        const char* what = "";
        pool_load load;
        bool accepted = false;
    };
    const job_spec job = scheduler_fixture::record("j", {scheduler_fixture::step(8)}).spec;
    for (const admission_case& item :
         {admission_case{"nothing waits", load(0, 64), true},
          admission_case{"one second of work waits", load(64, 64), true},
          admission_case{"three seconds of work wait", load(192, 64), false},
          admission_case{"the same, with twice the capacity arriving", load(192, 64, 128), true},
          admission_case{"no usable VM", load(0, 0), false}}) {
        INFO(item.what);
        const admission_verdict verdict = admit(job, quote_queue(), 1000, item.load);
        CHECK(verdict.accepted == item.accepted);
        CHECK((verdict.accepted || (verdict.retry_after >= 1s && verdict.retry_after <= 5s)));
    }
}

TEST_CASE("long-lived jobs are accepted whatever the load") {
    job_record record = scheduler_fixture::record("j", {scheduler_fixture::step(2)});
    record.spec.steps[0].long_lived = true;
    CHECK(admit(record.spec, quote_queue(), 0, load(1000, 64)).accepted);
}

TEST_CASE("jobs that can still end in time rank before late jobs") {
    const queue_settings queue = quote_queue();
    const job_state early(scheduler_fixture::record("a", {scheduler_fixture::step(1)}).spec, timestamp(0));
    const job_state late(scheduler_fixture::record("b", {scheduler_fixture::step(1)}).spec, timestamp(2000));
    CHECK(rank_of(early, queue, early.accepted_at(), timestamp(2100)) <
          rank_of(late, queue, late.accepted_at(), timestamp(2100)));
    CHECK(rank_of(late, queue, late.accepted_at(), timestamp(2500)) <
          rank_of(early, queue, early.accepted_at(), timestamp(2500)));
    CHECK(rank_of(early, queue, early.accepted_at(), timestamp(7000)).group == 3);
}

TEST_CASE("accepted jobs end in time during a demand peak of five times the capacity") {
    // Guards against first-come, first-served order in a peak of ten seconds at five times the capacity of 64
    // cores: with jobs of eight tasks of one second, every job would end late after two seconds.
    demand_peak_replay replay;
    for (int step = 0; step < 180; ++step) {
        replay.advance(step < 100 ? 4 : 0); // Forty jobs of eight core-seconds per second.
    }
    const demand_peak_replay::result ended = replay.results();
    MESSAGE("submitted ", ended.submitted, ", in time ", ended.in_time, ", late ", ended.late);
    // The pool can finish eight jobs per second: 80 during the peak, plus those waiting when it ends.
    CHECK(ended.in_time >= 65);
    CHECK(ended.late <= ended.in_time / 3);
    CHECK(ended.too_late == 0);
}

TEST_CASE("at the start of a demand peak no job is refused if machines for it are obtainable") {
    // Guards against refusals while two dozen machines are idle: a peak begins at three times the capacity of
    // a pool with two VMs, and further machines take two seconds to arrive. Admission must count them, since
    // a refused client has no time to retry.
    constexpr int machines_arrive_at = 25; // In steps of 100 ms.
    constexpr int peak_ends_at = 60;
    struct outcome {
        demand_peak_replay::result ended;
        int refused = 0;
    };
    const auto run_replay = [](std::size_t obtainable) {
        demand_peak_replay replay;
        replay.fixture().pool().set_expected_vms(0, obtainable);
        for (int step = 0; step < 120; ++step) {
            if (step == machines_arrive_at) {
                for (int i = 0; i < 6; ++i) {
                    replay.add_vm("w" + std::to_string(i));
                }
                replay.fixture().pool().set_expected_vms(0,
                                                         obtainable - std::min<std::size_t>(obtainable, 6));
            }
            // 25 jobs of eight core-seconds per second.
            replay.advance(step < peak_ends_at ? 2 + step % 2 : 0);
        }
        return outcome{replay.results(), replay.refused()};
    };
    const outcome without = run_replay(0);
    const outcome with = run_replay(24);
    MESSAGE("refused ", without.refused, " and ", with.refused, ", in time ", without.ended.in_time, " and ",
            with.ended.in_time, ", late ", with.ended.late);
    CHECK(without.refused > 0);
    CHECK(with.refused == 0);
    CHECK(with.ended.too_late == 0);
    CHECK(with.ended.in_time >= without.ended.in_time);
}

TEST_CASE("a job that will be late is accepted only if unneeded machines let it end while still useful") {
    // Objective of a job of one second: 2.2 s; its result is useful up to three times that.
    struct admission_case {
        const char* what = "";
        std::int64_t waiting_core_s = 0;
        std::int64_t obtainable_cores = 0;
        bool accepted = false;
    };
    const job_spec job = scheduler_fixture::record("j", {scheduler_fixture::step(8)}).spec;
    for (const admission_case& item :
         {admission_case{"no machines obtainable", 192, 0, false},
          admission_case{"as much capacity again obtainable", 192, 64, true},
          admission_case{"too few machines obtainable for the waiting work", 640, 16, false},
          admission_case{"enough machines obtainable to end all waiting", 640, 512, true},
          admission_case{"it ends in time without further machines", 64, 0, true}}) {
        INFO(item.what);
        pool_load present = load(item.waiting_core_s, 64);
        present.obtainable_millicores = item.obtainable_cores * 1000;
        CHECK(admit(job, quote_queue(), 1000, present).accepted == item.accepted);
    }
}

TEST_CASE("late work reserves a share of the capacity against new jobs") {
    // Guards against accepted jobs that never run: after a burst, each new job that can still end in time
    // ranks before the late jobs.
    const job_spec job = scheduler_fixture::record("j", {scheduler_fixture::step(8)}).spec;
    pool_load present = load(70, 64); // With all capacity, 1.1 s of waiting out of 1.2 s allowed.
    CHECK(admit(job, quote_queue(), 1000, present).accepted);
    present.late_work = 1'000'000'000;
    CHECK(!admit(job, quote_queue(), 1000, present).accepted);
    present.waiting_work = 48 * 1'000'000; // One second for three quarters of the capacity.
    CHECK(admit(job, quote_queue(), 1000, present).accepted);
}

TEST_CASE("machines are requested ahead for a demand peak that rises over seconds") {
    // Guards against late jobs in the first seconds of a peak: the rate rises from nothing to 160 jobs per
    // second in four seconds and machines take two seconds to arrive, so requesting them by the rate of the
    // last 1.5 s is too late.
    demand_meter meter;
    int number = 0;
    timestamp now(10'000);
    std::map<int, double> need; // By tenth of a second, in cores.
    const auto rate_at = [](int tenth) { return std::clamp(4.0 * (tenth - 10), 2.0, 160.0); };
    double arrivals_due = 0;
    for (int tenth = 0; tenth < 100; ++tenth) {
        arrivals_due += rate_at(tenth) / 10;
        for (; arrivals_due >= 1; arrivals_due -= 1) {
            meter.record_arrival("j" + std::to_string(number++), 30'000'000, now); // Thirty core-seconds.
        }
        now += 100ms;
        meter.update(0, 0, now);
        need[tenth] = static_cast<double>(meter.current_need()) / 1000;
    }
    // The need follows the rate two seconds ahead. By the current rate it would be 0.3 of that at 30 tenths.
    CHECK(need[30] >= 0.75 * 30 * rate_at(50));
    CHECK(need[30] <= 1.3 * 30 * rate_at(50));
    CHECK(need[9] <= 1.5 * 30 * rate_at(9)); // Constant before the peak,
    CHECK(need[90] <= 1.1 * 30 * 160);       // and at its maximum.
}
