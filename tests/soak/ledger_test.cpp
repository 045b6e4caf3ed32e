#include "soak/fault_plan.hpp"
#include "soak/ledger.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

namespace {

const timestamp now(100'000);
constexpr ledger_bounds bounds{.runs_at_once = 2, .after_cancelling = 5s};

vm_run run_of(const std::string& task, const std::string& vm, std::int64_t began, std::int64_t ended,
              const std::string& how = "done", std::int64_t acknowledged = 0) {
    return {vm, {task, 1, timestamp(began), timestamp(ended), how, timestamp(acknowledged)}};
}

} // namespace

TEST_CASE("the soak's checks find what must not happen, and nothing else") {
    struct ledger_case {
        const char* what = "";
        job_history job;
        std::vector<vm_run> runs;
        std::size_t problems = 0;
    };
    const job_history accepted{.tasks = 2, .may_run = true, .accepted = timestamp(1000)};
    job_history completed = accepted;
    completed.completed = true;
    job_history cancelled = accepted;
    cancelled.cancelled = timestamp(10'000);
    for (const ledger_case& item : {
             ledger_case{
                 "both ran", completed, {run_of("j.0.0.0", "v", 1, 2), run_of("j.0.0.1", "v", 1, 2)}, 0},
             ledger_case{"one after the other",
                         accepted,
                         {run_of("j.0.0.0", "v", 1, 2, "lapsed"), run_of("j.0.0.0", "w", 2, 3)},
                         0},
             ledger_case{"again, as its end was never noted",
                         accepted,
                         {run_of("j.0.0.0", "v", 1, 2), run_of("j.0.0.0", "w", 3, 4)},
                         0},
             ledger_case{
                 "two at a time", accepted, {run_of("j.0.0.0", "v", 1, 5), run_of("j.0.0.0", "w", 4, 6)}, 1},
             ledger_case{"beside one that goes on",
                         accepted,
                         {run_of("j.0.0.0", "v", 1, 0, ""), run_of("j.0.0.0", "w", 4, 6)},
                         1},
             ledger_case{"again after a noted end",
                         accepted,
                         {run_of("j.0.0.0", "v", 1, 2, "done", 3), run_of("j.0.0.0", "w", 4, 5)},
                         1},
             ledger_case{"refused, and run", {.tasks = 1}, {run_of("j.0.0.0", "v", 1, 2)}, 1},
             ledger_case{
                 "outcome open, and run", {.tasks = 1, .asking = true}, {run_of("j.0.0.0", "v", 1, 2)}, 0},
             ledger_case{"shown too early", completed, {run_of("j.0.0.0", "v", 1, 2)}, 1},
             ledger_case{
                 "in time before its cancelling", cancelled, {run_of("j.0.0.0", "v", 14'000, 14'100)}, 0},
             ledger_case{"long after its cancelling", cancelled, {run_of("j.0.0.0", "v", 15'001, 15'100)}, 1},
             ledger_case{"nobody's", accepted, {run_of("other.0.0.0", "v", 1, 2)}, 1},
             ledger_case{
                 "too many at once",
                 accepted,
                 {run_of("j.0.0.0", "v", 1, 9), run_of("j.0.0.1", "v", 2, 9), run_of("j.0.0.2", "v", 3, 9)},
                 1},
         }) {
        INFO(item.what);
        CHECK(check_runs({{"j", item.job}}, item.runs, bounds, now).size() == item.problems);
    }
}

TEST_CASE("jobs count as unfinished until they are shown as completed") {
    std::map<std::string, job_history> jobs;
    jobs["never accepted"] = {.tasks = 1};
    jobs["open"] = {.tasks = 1, .may_run = true, .accepted = timestamp(1)};
    jobs["cancelled"] = {.tasks = 1, .accepted = timestamp(1), .cancel_sent = true};
    jobs["completed"] = {.tasks = 1, .accepted = timestamp(1), .completed = true};
    jobs["endless, cancelling not answered"] = {
        .tasks = 1, .endless = true, .accepted = timestamp(1), .cancel_sent = true};
    jobs["endless, cancelled"] = {
        .tasks = 1, .endless = true, .accepted = timestamp(1), .cancelled = timestamp(2)};
    CHECK(unfinished(jobs) == std::vector<std::string>{"endless, cancelling not answered", "open"});
}

TEST_CASE("runs of cancelled jobs that go on are found") {
    const std::map<std::string, job_history> jobs{{"gone", {.tasks = 1, .cancelled = timestamp(5)}},
                                                  {"open", {.tasks = 1}}};
    const std::vector<vm_run> runs{run_of("gone.0.0.0", "v", 1, 6, "stopped"),
                                   run_of("gone.0.0.0", "w", 2, 0, ""), run_of("open.0.0.0", "v", 1, 0, "")};
    const std::vector<std::string> left = left_running(jobs, runs);
    REQUIRE(left.size() == 1);
    CHECK(left[0].starts_with("gone.0.0.0#1@w"));
}

TEST_CASE("a seed gives one plan, with faults that overlap") {
    const std::vector<planned_fault> plan = make_plan(7, 20s);
    CHECK(plan == make_plan(7, 20s));
    CHECK(plan != make_plan(8, 20s));
    std::size_t overlaps = 0;
    for (std::size_t i = 1; i < plan.size(); ++i) {
        CHECK(plan[i].at >= plan[i - 1].at);
        overlaps += plan[i].at < plan[i - 1].at + plan[i - 1].lasts ? 1 : 0;
    }
    CHECK(overlaps > plan.size() / 4);
}
