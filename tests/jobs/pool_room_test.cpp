#include "jobs/jobs.hpp"

#include <doctest/doctest.h>
#include <string>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

constexpr std::size_t entries = 9;

queue_settings quotes() {
    queue_settings queue;
    queue.name = "quotes";
    queue.stretch_factor = 1.5;
    queue.target_latency = 500ms;
    return queue;
}

/// Two steps of eight tasks each, 16 core-seconds in all; its objective is 2 s, and its longest chain 1 s.
job_spec quote() {
    job_spec spec;
    spec.queue = "quotes";
    spec.steps.resize(2);
    for (step_spec& step : spec.steps) {
        step.count = 8;
        step.need = {2000, 64, 0};
        step.estimate_ms = 500;
    }
    spec.steps[1].after = {0};
    return spec;
}

struct replay_result {
    int left = 0;
    int refused = 0;
};

/// Replays jobs that arrive at one entry at an even rate, beginning `begin_after` the owner's last answer,
/// while nobody answers.
replay_result replay(known_room room, int jobs_per_s, milliseconds begin_after, milliseconds length) {
    replay_result result;
    const milliseconds interval = 1000ms / jobs_per_s;
    for (milliseconds at(0); at < length; at += interval) {
        if (room.refusal_of(quote(), quotes(), entries, timestamp(1000) + begin_after + at)) {
            ++result.refused;
        } else {
            room.record_left(quote());
            ++result.left;
        }
    }
    return result;
}

} // namespace

// Guards against jobs that are accepted by the hundred through the inbox of a pool whose owner dies or
// answers late, and never done, and against jobs that are refused although their pool has room.
TEST_CASE("while an owner doesn't answer, jobs are left in its inbox as far as its pool can do them") {
    constexpr std::int64_t cores = 1000;
    struct load_case {
        const char* name;
        pool_room told;
        int jobs_per_s;
        milliseconds begin_after;
        milliseconds length;
        int min_left;
        int max_left;
    };
    const std::vector<load_case> cases{
        {"a wide pool loses its owner at the onset of a peak",
         {.queue_wait = 255ms, .millicores = 3264 * cores},
         20,
         0ms,
         2000ms,
         40,
         40},
        {"a narrow pool loses its owner at the onset of a peak",
         {.queue_wait = 255ms, .millicores = 480 * cores},
         20,
         0ms,
         2000ms,
         17,
         17},
        {"an owner with 7 s of waiting work answers late",
         {.queue_wait = 7542ms, .millicores = 384 * cores},
         10,
         900ms,
         1500ms,
         0,
         0},
        {"an owner with 75 s of waiting work is silent for long",
         {.queue_wait = 74716ms, .millicores = 384 * cores},
         10,
         10s,
         5000ms,
         0,
         0},
        {"work that waited when the owner died is nearly done",
         {.queue_wait = 4500ms, .millicores = 3264 * cores},
         10,
         3000ms,
         1000ms,
         10,
         10},
        {"the owner refused jobs shortly before",
         {.queue_wait = 100ms, .refuses_for = 2s, .millicores = 3264 * cores},
         10,
         0ms,
         2000ms,
         0,
         0},
        {"the owner refused jobs some time ago",
         {.queue_wait = 100ms, .refuses_for = 500ms, .millicores = 3264 * cores},
         10,
         1000ms,
         1000ms,
         10,
         10},
        {"a pool that has no VMs yet", {}, 10, 0ms, 2000ms, 20, 20},
        {"what the owner told is old",
         {.queue_wait = 255ms, .millicores = 48 * cores},
         10,
         6000ms,
         1000ms,
         10,
         10},
    };
    for (const load_case& item : cases) {
        INFO(std::string(item.name));
        known_room room;
        room.record(item.told, timestamp(1000));
        const replay_result result = replay(room, item.jobs_per_s, item.begin_after, item.length);
        CHECK(result.left >= item.min_left);
        CHECK(result.left <= item.max_left);
    }
}

TEST_CASE("jobs are left in the inbox of a pool that nothing is known of") {
    const replay_result result = replay(known_room(), 20, 0ms, 2000ms);
    CHECK(result.left == 40);
    CHECK(result.refused == 0);
}

// Guards against an entry that goes on refusing although the owner has told that there is room.
TEST_CASE("jobs that were left count until the owner tells its room anew") {
    known_room room;
    const pool_room narrow{.queue_wait = 255ms, .millicores = 480'000};
    room.record(narrow, timestamp(1000));
    for (int i = 0; i < 100; ++i) {
        room.record_left(quote());
    }
    CHECK(room.refusal_of(quote(), quotes(), entries, timestamp(1500)));
    room.record(narrow, timestamp(2000));
    CHECK_FALSE(room.refusal_of(quote(), quotes(), entries, timestamp(2000)));
}

TEST_CASE("a refused client is sent back when there is room, within what is of use to it") {
    struct delay_case {
        pool_room told;
        milliseconds refused_with;
        milliseconds expected;
    };
    for (const auto& [told, refused_with, expected] :
         {delay_case{{.queue_wait = 100ms}, 3s, 3s}, delay_case{{.queue_wait = 100ms}, 0ms, 1s},
          delay_case{{.queue_wait = 4s, .millicores = 1000}, 1s, 4s},
          delay_case{{.queue_wait = 75s, .millicores = 1000}, 1s, 5s}}) {
        known_room room;
        room.record(told, timestamp(1000));
        room.record_refusal(refused_with, timestamp(1000));
        CHECK(room.refusal_of(quote(), quotes(), entries, timestamp(1000)) == expected);
    }
}

TEST_CASE("a long-lived job is left in the inbox of a full pool, as its owner would accept it") {
    known_room room;
    room.record({.queue_wait = 75s, .refuses_for = 2s, .millicores = 1000}, timestamp(1000));
    job_spec spec = quote();
    spec.steps.resize(1);
    spec.steps[0].long_lived = true;
    CHECK_FALSE(room.refusal_of(spec, quotes(), entries, timestamp(1000)));
}
