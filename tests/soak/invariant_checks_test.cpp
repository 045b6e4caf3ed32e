#include "soak/fault_plan.hpp"
#include "soak/invariant_checks.hpp"

#include <algorithm>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

namespace {

const timestamp now(100'000);
constexpr check_bounds bounds{.max_runs_per_vm = 2, .max_start_after_cancel = 5s};

vm_run run_of(const std::string& task, const std::string& vm, std::int64_t started_at, std::int64_t ended_at,
              const std::string& outcome = "done", std::int64_t acknowledged = 0) {
    return {vm, {task, 1, timestamp(started_at), timestamp(ended_at), outcome, timestamp(acknowledged)}};
}

/// Assigns the identifiers j0, j1 ... to the jobs in order.
std::map<std::string, job_history> with_ids(const std::vector<job_history>& jobs) {
    std::map<std::string, job_history> result;
    for (const job_history& item : jobs) {
        result["j" + std::to_string(result.size())] = item;
    }
    return result;
}

struct run_case {
    const char* what = "";
    job_history job;
    std::vector<vm_run> runs;
    std::size_t problems = 0;
};

} // namespace

TEST_CASE("check_runs reports violations and accepts allowed runs") {
    const job_history accepted{.tasks = 2, .may_run = true, .accepted = timestamp(1000)};
    job_history completed = accepted;
    completed.completed = true;
    job_history cancelled = accepted;
    cancelled.cancelled = timestamp(10'000);
    for (const run_case& item : {
             run_case{"both tasks ran once",
                      completed,
                      {run_of("j.0.0.0", "v", 1, 2), run_of("j.0.0.1", "v", 1, 2)},
                      0},
             run_case{"second run after the lease of the first expired",
                      accepted,
                      {run_of("j.0.0.0", "v", 1, 2, "lapsed"), run_of("j.0.0.0", "w", 2, 3)},
                      0},
             run_case{"second run after an end that was not acknowledged",
                      accepted,
                      {run_of("j.0.0.0", "v", 1, 2), run_of("j.0.0.0", "w", 3, 4)},
                      0},
             run_case{"two overlapping runs",
                      accepted,
                      {run_of("j.0.0.0", "v", 1, 5), run_of("j.0.0.0", "w", 4, 6)},
                      1},
             run_case{"second run while the first is still running",
                      accepted,
                      {run_of("j.0.0.0", "v", 1, 0, ""), run_of("j.0.0.0", "w", 4, 6)},
                      1},
             run_case{"second run after an acknowledged end",
                      accepted,
                      {run_of("j.0.0.0", "v", 1, 2, "done", 3), run_of("j.0.0.0", "w", 4, 5)},
                      1},
             run_case{"run of a refused job", {.tasks = 1}, {run_of("j.0.0.0", "v", 1, 2)}, 1},
             run_case{"run of a job whose submit is in flight",
                      {.tasks = 1, .submit_in_flight = true},
                      {run_of("j.0.0.0", "v", 1, 2)},
                      0},
             run_case{"shown as completed with a task missing", completed, {run_of("j.0.0.0", "v", 1, 2)}, 1},
             run_case{"started within the bound after the cancellation",
                      cancelled,
                      {run_of("j.0.0.0", "v", 14'000, 14'100)},
                      0},
             run_case{"started beyond the bound after the cancellation",
                      cancelled,
                      {run_of("j.0.0.0", "v", 15'001, 15'100)},
                      1},
             run_case{"run of an unknown job", accepted, {run_of("other.0.0.0", "v", 1, 2)}, 1},
             run_case{
                 "more concurrent runs than fit on the VM",
                 accepted,
                 {run_of("j.0.0.0", "v", 1, 9), run_of("j.0.0.1", "v", 2, 9), run_of("j.0.0.2", "v", 3, 9)},
                 1},
         }) {
        INFO(item.what);
        CHECK(check_runs({{"j", item.job}}, item.runs, bounds, now).size() == item.problems);
    }
}

TEST_CASE("check_runs allows two runs of a speculative task at a time, not three") {
    const job_history speculative{
        .tasks = 2, .speculative = true, .may_run = true, .accepted = timestamp(1000)};
    for (const run_case& item : {
             run_case{"two overlapping runs of a speculative task",
                      speculative,
                      {run_of("j.0.0.0", "v", 1, 5), run_of("j.0.0.0", "w", 4, 6)},
                      0},
             run_case{
                 "three overlapping runs of a speculative task",
                 speculative,
                 {run_of("j.0.0.0", "v", 1, 5), run_of("j.0.0.0", "w", 2, 6), run_of("j.0.0.0", "x", 4, 0)},
                 1},
             run_case{
                 "three runs of a speculative task, two at a time",
                 speculative,
                 {run_of("j.0.0.0", "v", 1, 4), run_of("j.0.0.0", "w", 2, 6), run_of("j.0.0.0", "x", 4, 0)},
                 0},
             run_case{"copy in flight while the end of the other run is acknowledged",
                      speculative,
                      {run_of("j.0.0.0", "v", 1, 2, "done", 3), run_of("j.0.0.0", "w", 5003, 5010)},
                      0},
             run_case{"copy started long after the end of the other run was acknowledged",
                      speculative,
                      {run_of("j.0.0.0", "v", 1, 2, "done", 3), run_of("j.0.0.0", "w", 5004, 5010)},
                      1},
         }) {
        INFO(item.what);
        CHECK(check_runs({{"j", item.job}}, item.runs, bounds, now).size() == item.problems);
    }
}

TEST_CASE("jobs are unfinished until they are cancelled or shown as completed") {
    std::map<std::string, job_history> jobs;
    jobs["never accepted"] = {.tasks = 1};
    jobs["open"] = {.tasks = 1, .may_run = true, .accepted = timestamp(1)};
    jobs["cancelled"] = {.tasks = 1, .accepted = timestamp(1), .cancel_sent = true};
    jobs["completed"] = {.tasks = 1, .accepted = timestamp(1), .completed = true};
    jobs["long-lived, cancellation not confirmed"] = {
        .tasks = 1, .long_lived = true, .accepted = timestamp(1), .cancel_sent = true};
    jobs["long-lived, cancelled"] = {
        .tasks = 1, .long_lived = true, .accepted = timestamp(1), .cancelled = timestamp(2)};
    CHECK(unfinished_jobs(jobs) ==
          std::vector<std::string>{"long-lived, cancellation not confirmed", "open"});
}

TEST_CASE("a process that returns to an older configuration is reported, one that uses a newer one is not") {
    // Guards against the false report "went back from configuration 6: asked for 6, got 404". A node with
    // little processor time reads the query and version 8, which replaces the queue of 6, in one iteration.
    // It puts 8 in force first and then answers that the queue of 6 is missing.
    struct probe_case {
        const char* what = "";
        configuration_probe probe;
        bool is_older = false;
    };
    for (const probe_case& item : {
             probe_case{"newest version, queue present",
                        {.queried_version = 6, .newest_seen = 6, .newest_published = 6, .is_present = true},
                        false},
             probe_case{"newer version not in force yet",
                        {.queried_version = 6, .newest_seen = 4, .newest_published = 6, .is_missing = true},
                        false},
             probe_case{"observed version, queue missing",
                        {.queried_version = 6, .newest_seen = 6, .newest_published = 6, .is_missing = true},
                        true},
             probe_case{"observed version, replaced after the query was sent",
                        {.queried_version = 6, .newest_seen = 6, .newest_published = 8, .is_missing = true},
                        false},
             probe_case{"older version, queue present",
                        {.queried_version = 4, .newest_seen = 6, .newest_published = 6, .is_present = true},
                        true},
             probe_case{"older version, queue present, after a newer version was published",
                        {.queried_version = 4, .newest_seen = 6, .newest_published = 8, .is_present = true},
                        true},
             probe_case{"older version, queue missing",
                        {.queried_version = 4, .newest_seen = 6, .newest_published = 6, .is_missing = true},
                        false},
             probe_case{"inconclusive answer",
                        {.queried_version = 6, .newest_seen = 6, .newest_published = 6},
                        false},
         }) {
        INFO(std::string(item.what));
        CHECK(shows_older_configuration(item.probe) == item.is_older);
    }
}

TEST_CASE("runs that continue after the cancellation of their job are reported") {
    const std::map<std::string, job_history> jobs{{"gone", {.tasks = 1, .cancelled = timestamp(5)}},
                                                  {"open", {.tasks = 1}}};
    const std::vector<vm_run> runs{run_of("gone.0.0.0", "v", 1, 6, "stopped"),
                                   run_of("gone.0.0.0", "w", 2, 0, ""), run_of("open.0.0.0", "v", 1, 0, "")};
    const std::vector<std::string> left = runs_left_after_cancel(jobs, runs);
    REQUIRE(left.size() == 1);
    CHECK(left[0].starts_with("gone.0.0.0#1@w"));
}

TEST_CASE("a count below half of the jobs that waited for seconds is reported") {
    // Guards against a count of 29 waiting jobs while 117 accepted ones have waited for five seconds. Entries
    // accept jobs into the store's inbox, and the pool's owner counts only jobs already transferred from
    // there. No other check detects this, since all jobs run in the end.
    const job_history waiting{
        .tasks = 1, .may_run = true, .submitted = timestamp(900), .accepted = timestamp(1000)};
    job_history ended = waiting;
    ended.completed = true;
    job_history cancelled = waiting;
    cancelled.cancel_sent = true;
    job_history young = waiting;
    young.accepted = timestamp(5000);
    job_history unknown = waiting;
    unknown.accepted = timestamp(0);
    constexpr timestamp sent(10'000);
    constexpr timestamp answered(10'500);
    struct count_case {
        const char* what = "";
        std::vector<job_history> jobs;
        std::size_t reported = 0;
        std::size_t problems = 0;
        std::vector<vm_run> runs;
    };
    for (const count_case& item : {
             count_case{"all jobs counted", {waiting, waiting}, 2, 0, {}},
             count_case{"half of the jobs counted", {waiting, waiting, waiting, waiting}, 2, 0, {}},
             count_case{"one of three jobs counted", {waiting, waiting, waiting}, 1, 1, {}},
             count_case{"the only job not counted", {waiting}, 0, 1, {}},
             count_case{"count too high, which a cached copy may cause", {waiting}, 9, 0, {}},
             count_case{"cancellation sent, which may take effect late", {cancelled}, 0, 0, {}},
             count_case{"accepted five seconds before the query, not more", {young}, 0, 0, {}},
             count_case{"outcome of the submit unknown", {unknown}, 0, 0, {}},
             count_case{
                 "started when the answer arrived", {waiting}, 0, 0, {run_of("j0.0.0.0", "v", 10'500, 0)}},
             count_case{"started after the answer", {waiting}, 0, 1, {run_of("j0.0.0.0", "v", 10'501, 0)}},
             count_case{"started, crashed and started again",
                        {waiting},
                        0,
                        0,
                        {run_of("j0.0.0.0", "v", 11'000, 0), run_of("j0.0.0.1", "w", 9000, 9500, "crashed")}},
             count_case{"ended", {ended}, 0, 0, {run_of("j0.0.0.0", "v", 2000, 3000)}},
         }) {
        INFO(std::string(item.what));
        const std::vector<reported_count> reported{{0, sent, answered, item.reported}};
        CHECK(check_counts(with_ids(item.jobs), item.runs, reported, bounds).size() == item.problems);
    }
}

TEST_CASE("after all faults, counts are neither too low nor too high, and each node reports one") {
    // Guards against a node that reports waiting jobs when there are none, or no count at all, long after the
    // faults ended and although all jobs run. An owner or an entry keeps outdated state from the time of the
    // faults: a cached count that is never refreshed, or jobs that stay unconfirmed.
    const job_history waiting{
        .tasks = 1, .may_run = true, .submitted = timestamp(900), .accepted = timestamp(1000)};
    job_history handed_in_later = waiting;
    handed_in_later.submitted = timestamp(10'501);
    handed_in_later.accepted = timestamp(10'600);
    job_history cancelled_lately = waiting;
    cancelled_lately.cancel_sent = true;
    cancelled_lately.cancelled = timestamp(8000);
    job_history cancelled_long_ago = cancelled_lately;
    cancelled_long_ago.cancelled = timestamp(7999);
    job_history unknown = waiting;
    unknown.accepted = timestamp(0);
    const reported_count none{0, timestamp(10'000), timestamp(10'500), 0};
    reported_count one = none;
    one.jobs = 1;
    reported_count three = none;
    three.jobs = 3;
    reported_count other_node = none;
    other_node.node = 1;
    struct final_case {
        const char* what = "";
        std::vector<job_history> jobs;
        std::vector<reported_count> reported;
        std::uint32_t nodes = 1;
        std::size_t problems = 0;
        std::vector<vm_run> runs;
    };
    for (const final_case& item : {
             final_case{"no job waits, 0 reported", {}, {none}, 1, 0, {}},
             final_case{"no job waits, 1 reported", {}, {one}, 1, 1, {}},
             final_case{"one job waits, 1 reported", {waiting}, {one}, 1, 0, {}},
             final_case{"one job waits, 0 reported", {waiting}, {none}, 1, 1, {}},
             final_case{"one job waits, over twice as many reported", {waiting}, {three}, 1, 1, {}},
             final_case{"started within the age of a count",
                        {waiting},
                        {one},
                        1,
                        0,
                        {run_of("j0.0.0.0", "v", 8000, 0)}},
             final_case{"started before the age of a count",
                        {waiting},
                        {one},
                        1,
                        1,
                        {run_of("j0.0.0.0", "v", 7999, 0)}},
             final_case{"submitted after the answer", {handed_in_later}, {one}, 1, 1, {}},
             final_case{"cancelled within the age of a count", {cancelled_lately}, {one}, 1, 0, {}},
             final_case{"cancelled before the age of a count", {cancelled_long_ago}, {one}, 1, 1, {}},
             final_case{"outcome of the submit unknown, never run", {unknown}, {one}, 1, 1, {}},
             final_case{"outcome of the submit unknown, run later",
                        {unknown},
                        {one},
                        1,
                        0,
                        {run_of("j0.0.0.0", "v", 12'000, 0)}},
             final_case{"both of two nodes report", {}, {none, other_node}, 2, 0, {}},
             final_case{"one of two nodes reports", {}, {none, none}, 2, 1, {}},
             final_case{"neither of two nodes reports", {}, {}, 2, 2, {}},
         }) {
        INFO(std::string(item.what));
        CHECK(check_final_counts(with_ids(item.jobs), item.runs, item.reported, bounds, item.nodes).size() ==
              item.problems);
    }
}

TEST_CASE("a seed always gives the same plan, with overlapping faults") {
    const std::vector<planned_fault> plan = make_plan(7, 20s);
    CHECK(plan == make_plan(7, 20s));
    CHECK(plan != make_plan(8, 20s));
    std::size_t overlaps = 0;
    for (std::size_t i = 1; i < plan.size(); ++i) {
        CHECK(plan[i].start_offset >= plan[i - 1].start_offset);
        overlaps += plan[i].start_offset < plan[i - 1].start_offset + plan[i - 1].duration ? 1 : 0;
    }
    CHECK(overlaps > plan.size() / 4);
}

TEST_CASE("periodic faults leave the random faults of a seed unchanged and last long enough") {
    std::vector<planned_fault> plan = make_plan(7, 20s);
    const auto is_slow = [](const planned_fault& item) { return item.kind == fault_kind::node_slow; };
    const auto is_job_hold = [](const planned_fault& item) {
        return item.kind == fault_kind::store_holds_jobs;
    };
    const auto is_vm_shrink = [](const planned_fault& item) { return item.kind == fault_kind::vm_shrinks; };
    const auto is_vm_fault = [&](const planned_fault& item) { return item.kind >= fault_kind::vm_shrinks; };
    CHECK(std::ranges::count(plan, fault_kind::vm_starts_unanswered, &planned_fault::kind) == 5);
    CHECK(std::ranges::count_if(plan, is_vm_shrink) == 4);
    CHECK(std::ranges::count_if(plan, is_slow) == 6);
    CHECK(std::ranges::count_if(plan, is_job_hold) == 2);
    for (const planned_fault& item : plan) {
        CHECK((!is_slow(item) || item.duration >= 6s));
        CHECK((!is_job_hold(item) || item.duration >= 8s));
        CHECK((!is_vm_shrink(item) || item.duration >= 5s));
    }
    std::erase_if(plan, is_slow);
    std::erase_if(plan, is_job_hold);
    std::erase_if(plan, is_vm_fault);
    REQUIRE(plan.size() == 31);
    CHECK(plan.front() ==
          planned_fault{
              .start_offset = 15ms, .duration = 4028ms, .kind = fault_kind::node_pause, .target = 57053});
    CHECK(plan.back() ==
          planned_fault{
              .start_offset = 19440ms, .duration = 852ms, .kind = fault_kind::node_kill, .target = 54805});
}

// Guards against a capacity check that uses an outdated capacity, or ignores runs that are being stopped.
TEST_CASE("check_capacity reports starts beyond the capacity that a VM reported") {
    struct row {
        const char* what = "";
        std::vector<fakes::vm_capacity> capacities;
        std::vector<vm_run> runs;
        std::size_t problems = 0;
    };
    constexpr capacity_bounds room{.task_millicores = 500, .lag = 4500ms};
    const std::vector<fakes::vm_capacity> shrunk{{"v", timestamp(1), 1000}, {"v", timestamp(10'000), 500}};
    const vm_run early = run_of("j.0.0.0", "v", 2000, 30'000);
    for (const row& item : {
             row{"as many runs as fit", shrunk, {early, run_of("j.0.0.1", "v", 9000, 9500)}, 0},
             row{"one run more than fits",
                 shrunk,
                 {early, run_of("j.0.0.1", "v", 9000, 9500), run_of("j.0.0.2", "v", 9100, 9200)},
                 1},
             row{"start within the lag after the VM shrank",
                 shrunk,
                 {early, run_of("j.0.0.1", "v", 14'000, 14'100)},
                 0},
             row{"start beyond the lag after the VM shrank",
                 shrunk,
                 {early, run_of("j.0.0.1", "v", 15'000, 15'100)},
                 1},
             row{"start after the earlier run has ended",
                 shrunk,
                 {run_of("j.0.0.0", "v", 2000, 14'900), run_of("j.0.0.1", "v", 15'000, 15'100)},
                 0},
             row{"start on another VM", shrunk, {early, run_of("j.0.0.1", "w", 15'000, 15'100)}, 1},
             row{"start after the VM grew",
                 {{"v", timestamp(1), 500}, {"v", timestamp(3000), 1000}},
                 {early, run_of("j.0.0.1", "v", 3001, 4000)},
                 0},
         }) {
        INFO(std::string(item.what));
        CHECK(check_capacity(item.runs, item.capacities, room, now).size() == item.problems);
    }
}

// Guards against a check that reports starts by owners without contact, or runs of jobs that are not faulty.
TEST_CASE("check_crashes reports tasks that are started repeatedly after crashing VMs") {
    struct row {
        const char* what = "";
        std::size_t crashes = 0;         ///< Number of successive runs that end in a crash.
        std::size_t without_contact = 0; ///< Number of last runs whose owner has no contact.
        bool faulty = true;
        std::size_t problems = 0;
    };
    for (const row& item : {row{"three crashes", 3, 0, true, 0}, row{"five crashes", 5, 0, true, 0},
                            row{"six crashes", 6, 0, true, 1},
                            row{"six crashes, the last with an owner without contact", 6, 1, true, 0},
                            row{"six crashes of a job that is not faulty", 6, 0, false, 0}}) {
        INFO(std::string(item.what));
        std::vector<vm_run> runs;
        for (std::size_t i = 0; i < item.crashes; ++i) {
            const auto started_at = static_cast<std::int64_t>(1000 * (i + 1));
            runs.push_back(
                run_of("j0.0.0.0", "v" + std::to_string(i), started_at, started_at + 10, "crashed"));
        }
        const auto last_with_contact =
            static_cast<std::int64_t>(1000 * (item.crashes - item.without_contact));
        const auto had_contact = [&](const vm_run& run) {
            return run.run.started_at <= timestamp(last_with_contact);
        };
        CHECK(check_crashes(with_ids({{.faulty = item.faulty}}), runs, had_contact).size() == item.problems);
    }
}
