#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

TEST_CASE("a queue's count is whole or not told") {
    // An operator sees "29 jobs wait" and adds no machines, while 117 have waited for five seconds. The
    // pool's owner told what it had taken, in the peak of a turn or just after it had become the owner, and
    // not what it knew to lie in the inbox, or could not know.
    struct count_case {
        const char* what = "";
        queue_count_inputs known;
        std::optional<std::size_t> expected;
    };
    for (const count_case& item : {
             count_case{"nothing waits", {.is_confirmed_owner = true}, 0},
             count_case{"jobs lie in the inbox",
                        {.in_scheduler = 29, .in_inbox = 88, .is_confirmed_owner = true},
                        117},
             count_case{"a write has no answer",
                        {.in_scheduler = 1, .unconfirmed = 2, .is_confirmed_owner = true},
                        3},
             count_case{"the copy of the inbox is as old as may be",
                        {.in_scheduler = 1, .inbox_age = max_count_age, .is_confirmed_owner = true},
                        1},
             count_case{"the copy of the inbox is older",
                        {.in_scheduler = 29, .inbox_age = max_count_age + 1ms, .is_confirmed_owner = true},
                        std::nullopt},
             count_case{"another node may own the pool",
                        {.in_scheduler = 29, .is_confirmed_owner = false},
                        std::nullopt},
         }) {
        INFO(std::string(item.what));
        CHECK(complete_queue_count(item.known) == item.expected);
    }
}
