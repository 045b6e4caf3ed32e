#include "soak/retry_schedule.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

// Guards against a retry that is sent before the time that the refusal told.
TEST_CASE("a refused job returns when Retry-After says, not before") {
    retry_schedule schedule;
    schedule.add("a", "3", 1000ms);
    schedule.add("b", "1", 1500ms);
    CHECK(schedule.take_due(2499ms).empty());
    CHECK(schedule.take_due(2500ms) == std::vector<std::string>{"b"});
    CHECK(schedule.take_due(3999ms).empty());
    CHECK(schedule.take_due(4000ms) == std::vector<std::string>{"a"});
    CHECK(schedule.take_due(60'000ms).empty());
}

TEST_CASE("a client returns a few times only") {
    retry_schedule schedule;
    for (std::size_t i = 0; i < retry_schedule::max_returns; ++i) {
        schedule.add("a", "1", 0ms);
        CHECK(schedule.take_due(1000ms).size() == 1);
    }
    schedule.add("a", "1", 0ms);
    schedule.add("b", "1", 0ms);
    CHECK(schedule.take_due(60'000ms) == std::vector<std::string>{"b"});
}

TEST_CASE("without a valid Retry-After a client doesn't return") {
    retry_schedule schedule;
    for (const char* header : {"", "x", "1x", "-1", "1.5"}) {
        schedule.add(header, header, 0ms);
    }
    CHECK(schedule.take_due(60'000ms).empty());
}
