#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

TEST_CASE("the record names VMs that may hold runs, and no others") {
    // Forecasts stand still for five seconds after their pool's owner was stopped, beside 176 idle VMs. A
    // turn had just ended and machines were leaving; the record named their VMs until the platform had taken
    // them off its list, and the new owner waited for each.
    struct record_case {
        const char* what = "";
        record_view vm;
        bool recorded = false;
    };
    for (const record_case& item : {
             record_case{"just listed", {}, true},
             record_case{"something runs there", {.settled = false, .recorded = true}, true},
             record_case{
                 "something runs there while it is emptied", {.settled = false, .clearing = true}, true},
             record_case{
                 "something may run there, no longer listed", {.listed = false, .settled = false}, true},
             record_case{"something may run there, silent", {.settled = false, .reachable = false}, true},
             record_case{"empty, to be ordered away", {.clearing = true, .recorded = true}, false},
             record_case{"empty, no longer listed", {.listed = false, .recorded = true}, false},
             record_case{"silent, its lease may run", {.reachable = false, .recorded = true}, true},
             record_case{"silent for longer than its lease",
                         {.reachable = false, .lapsed = true, .recorded = true},
                         false},
             record_case{"has left the record and does not answer", {.reachable = false}, false},
             record_case{"has left the record and answers again", {.lapsed = true}, true},
         }) {
        INFO(item.what);
        CHECK(belongs_in_record(item.vm) == item.recorded);
    }
}
