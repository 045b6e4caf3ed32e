#include "policy/policy.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;

namespace {

admission_request request(std::uint64_t id, const std::string& member, timestamp deadline) {
    return {id, "p", member, deadline};
}

} // namespace

TEST_CASE("admission sends, queues or refuses a request by load and deadline") {
    struct row {
        const char* description;
        pool_load load;
        timestamp deadline;
        admission_action action;
        answer_code code;
    };
    using s = admission_action;
    using c = answer_code;
    const std::vector<row> rows{
        {"a free slot", {8, 3, 10, true}, 1s, s::send, {}},
        {"no free slot, time to wait", {8, 8, 10, true}, 1s, s::wait, {}},
        {"no target", {0, 0, 10, false}, 1s, s::refuse, c::no_target},
        {"deadline passed", {8, 3, 10, true}, 0s, s::refuse, c::deadline_too_short},
        {"can't finish before the deadline", {1, 1, 10, true}, 30ms, s::refuse, c::deadline_too_short},
        {"the queue is full", {8, 8, 0, true}, 1s, s::refuse, c::overloaded},
    };
    for (const row& r : rows) {
        CAPTURE(r.description);
        admission_controller controller(100, true);
        const admission_verdict verdict = controller.admit(request(1, "m", r.deadline), r.load, 0ms);
        CHECK(verdict.action == r.action);
        if (r.action == s::refuse) {
            CHECK(verdict.code == r.code);
        }
        CHECK(controller.held_requests() == (r.action == s::refuse ? 0 : 1));
    }
}

TEST_CASE("a burst of one member doesn't use another member's share") {
    admission_controller controller(10, true);
    controller.set_member_count(2);
    int admitted = 0;
    for (std::uint64_t i = 0; i < 1000; ++i) {
        const auto verdict = controller.admit(request(i, "noisy", 10s), {1, 1, 1000, true}, 0ms);
        admitted += verdict.action != admission_action::refuse ? 1 : 0;
        if (verdict.action == admission_action::refuse) {
            CHECK(verdict.code == answer_code::member_share_used);
        }
    }
    CHECK(admitted == 5);
    CHECK(controller.admit(request(2000, "quiet", 10s), {8, 0, 10, true}, 0ms).action !=
          admission_action::refuse);
    controller.record_finished("p", "noisy", 20ms);
    CHECK(controller.admit(request(2001, "noisy", 10s), {1, 1, 1000, true}, 0ms).action ==
          admission_action::wait);
}

TEST_CASE("the number of held requests is bounded under any load") {
    admission_controller controller(64, true);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
        (void)controller.admit({i, "p" + std::to_string(i % 7), "m", 60s}, {8, 8, 100'000, true}, 0ms);
        REQUIRE(controller.held_requests() <= 64);
    }
}

TEST_CASE("the queue returns requests in order and removes those whose deadline has passed") {
    admission_controller controller(100, true);
    const pool_load full{8, 8, 10, true};
    REQUIRE(controller.admit(request(1, "m", 100ms), full, 0ms).action == admission_action::wait);
    REQUIRE(controller.admit(request(2, "m", 900ms), full, 0ms).action == admission_action::wait);
    REQUIRE(controller.admit(request(3, "m", 900ms), full, 0ms).action == admission_action::wait);
    CHECK(controller.remove_expired(200ms) == std::vector<std::uint64_t>{1});
    CHECK(controller.pop_waiting("p", 200ms) == 2);
    CHECK(controller.pop_waiting("p", 901ms) == std::nullopt);
    CHECK(controller.remove_waiting("p") == std::vector<std::uint64_t>{3});
    CHECK_FALSE(controller.has_waiting("p"));
}

TEST_CASE("the Retry-After of a refusal follows the expected wait in the queue") {
    admission_controller controller(10'000, true);
    for (std::uint64_t i = 0; i < 400; ++i) {
        REQUIRE(controller.admit(request(i, "m", 60s), {1, 1, 400, true}, 0ms).action ==
                admission_action::wait);
    }
    const admission_verdict verdict = controller.admit(request(999, "m", 60s), {1, 1, 400, true}, 0ms);
    CHECK(verdict.code == answer_code::overloaded);
    CHECK(verdict.retry_after_s == 9); // 401 requests of 20 ms each, run one at a time.
}

TEST_CASE("control traffic keeps its average rate and single messages are sent immediately") {
    byte_budget budget(1'000, 5'000);
    std::int64_t sent = 0;
    for (timestamp now{0}; now < 100s; now += 10ms) {
        if (budget.allows(now)) {
            budget.consume(3'000);
            sent += 3'000;
        }
    }
    CHECK(sent >= 100'000);
    CHECK(sent <= 100'000 + 5'000 + 3'000);
    byte_budget idle_budget(1'000, 5'000);
    REQUIRE(idle_budget.allows(1s));
    idle_budget.consume(3'000);
    CHECK(idle_budget.allows(1s));
    idle_budget.consume(9'000);
    CHECK_FALSE(idle_budget.allows(7s));
    CHECK(idle_budget.allows(9s));
}

TEST_CASE("retries are limited to a fraction of the requests") {
    retry_budget budget(0.1, 10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.on_request();
        if (budget.can_retry()) {
            budget.consume();
            ++retries;
        }
    }
    CHECK(retries >= 100);
    CHECK(retries <= 110);
}
