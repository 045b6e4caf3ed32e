#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

TEST_CASE("a queue's count is complete or not reported") {
    // Guards against a count that is too low: 29 is reported while 117 jobs wait. During a demand peak or
    // after a takeover, jobs can be in the inbox that the scheduler does not have yet, or that the owner
    // can't know of.
    struct count_case {
        const char* what = "";
        queue_count_inputs known;
        std::optional<std::size_t> expected;
    };
    for (const count_case& item : {
             count_case{"nothing waits", {.is_confirmed_owner = true}, 0},
             count_case{
                 "jobs in the inbox", {.in_scheduler = 29, .in_inbox = 88, .is_confirmed_owner = true}, 117},
             count_case{
                 "an unanswered write", {.in_scheduler = 1, .unconfirmed = 2, .is_confirmed_owner = true}, 3},
             count_case{"the copy of the inbox has the maximum age",
                        {.in_scheduler = 1, .inbox_age = max_count_age, .is_confirmed_owner = true},
                        1},
             count_case{"the copy of the inbox is too old",
                        {.in_scheduler = 29, .inbox_age = max_count_age + 1ms, .is_confirmed_owner = true},
                        std::nullopt},
             count_case{"another node may own the pool",
                        {.in_scheduler = 29, .is_confirmed_owner = false},
                        std::nullopt},
             count_case{"a newer configuration may lack the queue",
                        {.in_scheduler = 29, .is_confirmed_owner = true, .may_be_dropped = true},
                        std::nullopt},
         }) {
        INFO(std::string(item.what));
        CHECK(complete_queue_count(item.known) == item.expected);
    }
}
