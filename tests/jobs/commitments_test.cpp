#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr timestamp now{100'000};

/// Work of `cores` for one second, millicore-milliseconds.
constexpr std::int64_t core_seconds(std::int64_t cores) {
    return cores * 1'000'000;
}

} // namespace

TEST_CASE("the needed capacity does all work in time") {
    struct due_work {
        milliseconds due;
        std::int64_t work;
    };
    struct need_case {
        const char* what;
        std::vector<due_work> work;
        std::int64_t cores;
    };
    for (const need_case& item : std::vector<need_case>{
             {"nothing", {}, 0},
             {"one job", {{2s, core_seconds(64)}}, 32},
             {"a later job needs less", {{2s, core_seconds(64)}, {4s, core_seconds(32)}}, 32},
             {"a later job needs more", {{2s, core_seconds(64)}, {4s, core_seconds(128)}}, 48},
             {"overdue work counts as due soon", {{-1s, core_seconds(10)}}, 20}}) {
        INFO(item.what);
        commitments pool;
        for (const due_work& part : item.work) {
            pool.add(now + part.due, part.work);
        }
        CHECK(pool.needed_millicores(now) == item.cores * 1000);
    }
}

TEST_CASE("a job is admitted if neither it nor a job that it overtakes becomes late") {
    struct admission_case {
        const char* what;
        milliseconds due;
        std::int64_t work;
        capacity_forecast capacity;
        bool admitted;
    };
    // 64 core-seconds due after two seconds, 128 more due after six.
    commitments pool;
    pool.add(now + 2s, core_seconds(64));
    pool.add(now + 6s, core_seconds(128));
    for (const admission_case& item : std::vector<admission_case>{
             {"fits between", 4s, core_seconds(64), {64'000, 0, 0ms}, true},
             {"no room before its own due time", 2s, core_seconds(80), {64'000, 0, 0ms}, false},
             {"would make the job due after six seconds late",
              3s,
              core_seconds(100),
              {40'000, 0, 0ms},
              false},
             {"fits with what joins the pool", 4s, core_seconds(100), {32'000, 64'000, 2s}, true},
             {"what joins comes too late", 2s, core_seconds(10), {32'000, 64'000, 2s}, false}}) {
        INFO(item.what);
        CHECK(pool.admits(now + item.due, item.work, item.capacity, now) == item.admitted);
    }
}

TEST_CASE("work that is late in any case keeps no job out") {
    commitments pool;
    pool.add(now + 8s, core_seconds(1000));
    CHECK(pool.admits(now + 2s, core_seconds(32), {32'000, 0, 0ms}, now));
}

TEST_CASE("the time for work counts capacity that joins later") {
    const capacity_forecast capacity{32'000, 32'000, 2s};
    CHECK(capacity.time_for(core_seconds(32)) == 1s);
    CHECK(capacity.time_for(core_seconds(128)) == 3s);
    CHECK(capacity.work_within(3s) == core_seconds(128));
    CHECK(capacity_forecast{}.time_for(1) == capacity_forecast::max_time);
}
