#include "jobs/demand_peak_replay.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::int64_t core_seconds = 1'000'000; ///< In millicore-milliseconds.
constexpr std::int64_t cores = 64;
constexpr std::int64_t job_work = 8 * core_seconds;
constexpr int jobs_per_second = 8; ///< That the cores can do.
constexpr timestamp now(100'000);

room_forecast forecast(std::int64_t waiting_core_s, std::int64_t late_core_s = 0) {
    return {{cores * 1000, 0, 2s}, waiting_core_s * core_seconds, late_core_s * core_seconds};
}

refused_job job(int number, milliseconds waited = 0ms) {
    return {"j" + std::to_string(number), job_work, waited, 1200ms};
}

} // namespace

TEST_CASE("no second is promised to more clients than it has room for") {
    // Guards against one delay for all: those refused in one second return together.
    for (const int jobs : {2 * jobs_per_second, 5 * jobs_per_second}) {
        INFO(jobs, " jobs");
        return_schedule schedule;
        std::map<std::int64_t, int> told;
        for (int i = 0; i < jobs; ++i) {
            const return_time back = schedule.schedule(job(i, i % 2 == 0 ? 0ms : 1500ms), forecast(64), now);
            CHECK(back.retry_after >= return_schedule::min_retry_after);
            CHECK(back.retry_after <= return_schedule::max_retry_after);
            told[back.retry_after / 1s] += back.has_room ? 1 : 0;
        }
        for (const auto& [second, count] : told) {
            INFO("second ", second);
            CHECK(count <= jobs_per_second);
            CHECK(schedule.promised_work(now + second * 1s) == count * job_work);
        }
        CHECK(told.size() > 1);
    }
}

TEST_CASE("a refused client returns in the first second with room for its job") {
    struct return_case {
        const char* what = "";
        room_forecast forecast;
        milliseconds waited{0};
        milliseconds retry_after{0};
        bool has_room = true;
    };
    room_forecast joining = forecast(256);
    joining.capacity.joining_millicores = 4 * cores * 1000;
    room_forecast none;
    for (const return_case& item :
         {return_case{"one second of work waits", forecast(64), 0ms, 1s, true},
          return_case{"three seconds of work wait", forecast(192), 0ms, 3s, true},
          return_case{"late work is done before a job that can't be in time", forecast(64, 128), 1500ms, 3s,
                      true},
          return_case{"a job that can be in time goes before late work", forecast(64, 128), 0ms, 1s, true},
          return_case{"machines join after two seconds", joining, 0ms, 2s, true},
          return_case{"more waits than five seconds of work", forecast(640), 0ms, 5s, false},
          return_case{"no capacity", none, 0ms, 5s, false}}) {
        INFO(item.what);
        return_schedule schedule;
        const return_time back = schedule.schedule(job(1, item.waited), item.forecast, now);
        CHECK(back.retry_after == item.retry_after);
        CHECK(back.has_room == item.has_room);
    }
}

TEST_CASE("a job that was refused before is told to return sooner than one that comes first now") {
    return_schedule schedule;
    milliseconds last{0};
    for (int i = 0; i < jobs_per_second; ++i) {
        last = schedule.schedule(job(i), forecast(64), now).retry_after;
    }
    CHECK(last == 2s);
    CHECK(schedule.schedule(job(100, 1100ms), forecast(64), now).retry_after == 1s);
}

TEST_CASE("promises end when the job returns or their second has passed") {
    return_schedule schedule;
    CHECK(schedule.schedule(job(1), forecast(0), now).retry_after == 1s);
    CHECK(schedule.schedule(job(2), forecast(0), now).retry_after == 1s);
    CHECK(schedule.promised_work(now + 1s) == 2 * job_work);
    schedule.drop("j1");
    CHECK(schedule.promised_work(now + 1s) == job_work);
    CHECK(schedule.size() == 1);
    CHECK(schedule.schedule(job(3), forecast(0), now + 2s).retry_after == 1s);
    CHECK(schedule.size() == 1); // The second of j2 has passed.
    schedule.drop("j2");
    CHECK(schedule.promised_work(now + 3s) == job_work);
}

TEST_CASE("a job that needs more than a second of the pool asks for a whole second") {
    return_schedule schedule;
    refused_job large = job(1, 100ms);
    large.work = 3 * cores * core_seconds;
    CHECK(schedule.schedule(large, forecast(0), now).has_room);
    CHECK(schedule.promised_work(now + 1s) == cores * core_seconds);
}

namespace {

/// Replays three seconds at a multiple of what the pool can do, then 17 s at half of that. Clients that are
/// refused return up to three times.
void replay_peak(demand_peak_replay& replay, int load) {
    constexpr int peak_steps = 30;
    replay.let_clients_return(4);
    int sent = 0;
    for (int step = 1; step <= 200; ++step) {
        const int in_peak = std::min(step, peak_steps) * load * jobs_per_second / 10;
        const int wanted = in_peak + std::max(0, step - peak_steps) * jobs_per_second / 20;
        replay.advance(wanted - sent);
        sent = wanted;
    }
}

} // namespace

TEST_CASE("in a demand peak, clients that return take no room from jobs that can be in time") {
    // Guards against objectives that count from acceptance: jobs that can no longer be in time would be
    // placed before new ones.
    for (const int load : {2, 5}) {
        demand_peak_replay replay;
        replay_peak(replay, load);
        demand_peak_replay without;
        without.ignore_first_attempts();
        replay_peak(without, load);
        const demand_peak_replay::result ended = replay.results();
        const demand_peak_replay::result ended_without = without.results();
        MESSAGE("load ", load, ": submitted ", ended.submitted, ", in time ", ended.in_time, " and ",
                ended_without.in_time, ", late ", ended.late, " and ", ended_without.late, ", too late ",
                ended.too_late, " and ", ended_without.too_late, ", refusals ", replay.refused(), " and ",
                without.refused());
        for (const auto& [second, count] : replay.promised_returns()) {
            INFO("second ", second);
            CHECK(count <= jobs_per_second);
        }
        CHECK(ended.in_time > ended_without.in_time);
        CHECK(replay.refused() < without.refused());
    }
}
