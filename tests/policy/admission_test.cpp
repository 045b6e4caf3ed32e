#include "policy/policy.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;

namespace {

admission_request request(std::uint64_t id, const std::string& member, timestamp deadline) {
    return {id, "p", member, deadline};
}

} // namespace

TEST_CASE("verdicts at the door") {
    struct row {
        const char* story;
        pool_load load;
        timestamp deadline;
        admission_step step;
        answer_code code;
    };
    using s = admission_step;
    using c = answer_code;
    const std::vector<row> rows{
        {"a free slot", {8, 3, 10, true}, 1s, s::send, {}},
        {"no free slot, time to wait", {8, 8, 10, true}, 1s, s::wait, {}},
        {"no target", {0, 0, 10, false}, 1s, s::refuse, c::no_target},
        {"deadline passed", {8, 3, 10, true}, 0s, s::refuse, c::deadline_too_short},
        {"can't be over in time", {1, 1, 10, true}, 30ms, s::refuse, c::deadline_too_short},
        {"no room in the queue", {8, 8, 0, true}, 1s, s::refuse, c::overloaded},
    };
    for (const row& r : rows) {
        CAPTURE(r.story);
        admission door(100, true);
        const admission_verdict verdict = door.offer(request(1, "m", r.deadline), r.load, 0ms);
        CHECK(verdict.step == r.step);
        if (r.step == s::refuse) {
            CHECK(verdict.code == r.code);
        }
        CHECK(door.held() == (r.step == s::refuse ? 0 : 1));
    }
}

TEST_CASE("a member's burst takes no other member's share") {
    admission door(10, true);
    door.set_members(2);
    int let_in = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const auto verdict = door.offer(request(i, "noisy", 10s), {1, 1, 1000, true}, 0ms);
        let_in += verdict.step != admission_step::refuse ? 1 : 0;
        if (verdict.step == admission_step::refuse) {
            CHECK(verdict.code == answer_code::member_share_used);
        }
    }
    CHECK(let_in == 5);
    CHECK(door.offer(request(2000, "quiet", 10s), {8, 0, 10, true}, 0ms).step != admission_step::refuse);
    door.finished("p", "noisy", 20ms);
    CHECK(door.offer(request(2001, "noisy", 10s), {1, 1, 1000, true}, 0ms).step == admission_step::wait);
}

TEST_CASE("what the entry holds is bounded under any load") {
    admission door(64, true);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        (void)door.offer({i, "p" + std::to_string(i % 7), "m", 60s}, {8, 8, 100'000, true}, 0ms);
        REQUIRE(door.held() <= 64);
    }
}

TEST_CASE("the queue gives out requests in order and drops those whose time has passed") {
    admission door(100, true);
    const pool_load full{8, 8, 10, true};
    REQUIRE(door.offer(request(1, "m", 100ms), full, 0ms).step == admission_step::wait);
    REQUIRE(door.offer(request(2, "m", 900ms), full, 0ms).step == admission_step::wait);
    REQUIRE(door.offer(request(3, "m", 900ms), full, 0ms).step == admission_step::wait);
    CHECK(door.expire(200ms) == std::vector<std::uint64_t>{1});
    CHECK(door.take("p", 200ms) == 2);
    CHECK(door.take("p", 901ms) == std::nullopt);
    CHECK(door.drain_queue("p") == std::vector<std::uint64_t>{3});
    CHECK_FALSE(door.has_waiting("p"));
}

TEST_CASE("a refusal says when to come back by the queue's pace") {
    admission door(10'000, true);
    for (std::uint64_t i = 0; i < 400; ++i) {
        REQUIRE(door.offer(request(i, "m", 60s), {1, 1, 400, true}, 0ms).step == admission_step::wait);
    }
    const admission_verdict verdict = door.offer(request(999, "m", 60s), {1, 1, 400, true}, 0ms);
    CHECK(verdict.code == answer_code::overloaded);
    CHECK(verdict.retry_after_s == 9); // 401 requests of 20 ms one after another.
}

TEST_CASE("control bytes keep to their rate, single ones go at once") {
    byte_budget budget(1'000, 5'000);
    std::int64_t sent = 0;
    for (timestamp now{0}; now < 100s; now += 10ms) {
        if (budget.allows(now)) {
            budget.spend(3'000);
            sent += 3'000;
        }
    }
    CHECK(sent >= 100'000);
    CHECK(sent <= 100'000 + 5'000 + 3'000);
    byte_budget quiet(1'000, 5'000);
    REQUIRE(quiet.allows(1s));
    quiet.spend(3'000);
    CHECK(quiet.allows(1s));
    quiet.spend(9'000);
    CHECK_FALSE(quiet.allows(7s));
    CHECK(quiet.allows(9s));
}

TEST_CASE("retries stay a fraction of requests") {
    retry_budget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_request();
        if (budget.available()) {
            budget.spend();
            ++retries;
        }
    }
    CHECK(retries >= 100);
    CHECK(retries <= 110);
}
