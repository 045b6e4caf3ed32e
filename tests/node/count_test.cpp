#include "node/node_deployment.hpp"

#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::size_t inbox_job_count = 40;
/// Greatest age of a reported queue count.
constexpr milliseconds max_count_age = 2s;

/// Whether the node reports at least half of the jobs, or no count.
bool reports_at_least_half(node_deployment& d, const std::string& node, std::size_t jobs) {
    const std::optional<std::int64_t> reported = d.pending_count(node);
    return !reported || *reported * 2 >= static_cast<std::int64_t>(jobs);
}

void wait_for(node_deployment& d, milliseconds time) {
    const timestamp end = event_loop::now() + time;
    REQUIRE(d.until([&] { return event_loop::now() >= end; }));
}

} // namespace

TEST_CASE("a queue's count includes the jobs that its owner has not yet taken from the inbox") {
    // Guards against a count that omits accepted jobs: an owner with no processor time left answers entries
    // late, they store the jobs in its inbox, and it counts only jobs that it has transferred. Such a count
    // was 29 and, 0.2 s later, 8, while 117 and 140 jobs had waited for five seconds.
    struct owner_case {
        const char* description = "";
        bool takes_over = false; ///< The jobs are stored before the node owns the pool.
    };
    for (const owner_case& item : {owner_case{"a busy owner", false}, owner_case{"a new owner", true}}) {
        INFO(std::string(item.description));
        node_deployment d;
        if (item.takes_over) {
            d.store_in_inbox("a", inbox_job_count);
            d.store.hold_writes("sp/inbox/");
            d.start_node("n1");
        } else {
            d.start_node("n1");
            d.wait_until_serving("n1");
            d.store.hold_writes("sp/inbox/");
            d.store_in_inbox("a", inbox_job_count);
        }
        // Long enough that the entry's cached count is too old, and that the owner has read the inbox.
        wait_for(d, max_count_age);
        CHECK(reports_at_least_half(d, "n1", inbox_job_count));
        d.store.hold_writes({});
        CHECK(d.until([&] { return d.pending_count("n1") == static_cast<std::int64_t>(inbox_job_count); }));
        CHECK(d.until([&] { return d.store.count("sp/inbox/") == 0; }));
    }
}

TEST_CASE("a queue's count is not reported while the owner's copy of the inbox may be old") {
    // Guards against a count that stays low while more jobs wait: the owner's watch of the inbox uses an
    // unresponsive connection, so the owner does not read the jobs that entries store there.
    node_deployment d;
    d.start_node("n1");
    d.wait_until_serving("n1");
    d.store.hold_watches("sp/inbox/");
    d.store_in_inbox("a", inbox_job_count);
    wait_for(d, max_count_age + 500ms);
    CHECK(reports_at_least_half(d, "n1", inbox_job_count));
    CHECK(d.call("n1", "GET", "/quotes/").code == 503);
    d.store.hold_watches({});
    CHECK(d.until([&] { return d.pending_count("n1") == static_cast<std::int64_t>(inbox_job_count); }));
}

TEST_CASE("a queue's count is not reported by an owner that another node may have replaced") {
    // Guards against an outdated count: a node that is cut off from the store for seconds keeps reporting its
    // last count, while another node owns the pool and has accepted more jobs.
    node_deployment d;
    d.start_node("n1");
    d.wait_until_serving("n1");
    d.store.set_silent(true);
    // The lease of two seconds has expired, the four seconds after it have not.
    wait_for(d, max_count_age + 1500ms);
    CHECK(d.call("n1", "GET", "/quotes/").code == 503);
}

TEST_CASE("a repeat of a job that is in the inbox is not refused for load") {
    // Guards against answering 429 for a job that then runs: its first attempt is in the inbox and the answer
    // was lost; the repeat reaches the owner, which knows only transferred jobs and treats it as new.
    node_deployment d;
    d.start_node("n1"); // Without a VM, jobs wait and more are soon refused.
    d.wait_until_serving("n1");
    d.store.hold_writes("sp/inbox/");
    d.store_in_inbox("a", 1);
    const std::string left = "a000000000000000";
    REQUIRE(d.until([&] { return d.metric("n1", "siskinpaddle_pool_inbox_jobs{pool=\"p\"}") == 1; }));
    int refused = 0;
    for (int i = 10; i < 99 && refused == 0; ++i) {
        const std::string id = "b0000000000000" + std::to_string(i);
        refused = d.call("n1", "POST", "/quotes/" + id, d.job_body(4000)).code == 429 ? i : 0;
    }
    REQUIRE(refused > 0);
    CHECK(d.call("n1", "POST", "/quotes/" + left, d.job_body(4000)).code == 200);
}

TEST_CASE("an owner whose loop is busy still reads a full inbox") {
    // Guards against an inbox that a busy owner never reads completely: a large answer is read 4 KB per loop
    // iteration, the watch times out half read and restarts from the same revision (three times in a row),
    // while more jobs arrive in the inbox (313 in the end).
    constexpr milliseconds busy_iteration = 100ms;
    constexpr std::size_t many_jobs = 500;
    node_deployment d;
    d.start_node("n1");
    d.wait_until_serving("n1");
    std::unique_ptr<timer> busy;
    busy = d.loop.make_timer([&] {
        std::this_thread::sleep_for(busy_iteration);
        busy->start(0ms);
    });
    busy->start(0ms);
    d.store.hold_watches("sp/inbox/");
    d.store_in_inbox("a", many_jobs);
    d.store.hold_watches({}); // All at once, as on a watch that was delayed by others.
    const auto known = [&] { return d.metric("n1", "siskinpaddle_pool_jobs{pool=\"p\"}"); };
    CHECK(loop_until(
        d.loop, [&] { return known() == static_cast<std::int64_t>(many_jobs); }, 20s));
    busy->cancel();
}

TEST_CASE("a repeat of a job that its owner has not read from the inbox is not refused for load") {
    // Guards against answering 429 for a job that then runs: its first attempt is in the inbox and the answer
    // was lost; the repeat reaches an owner whose copy of the inbox is seconds old, because the owner is busy
    // or its connection is unresponsive, and which treats the job as new.
    node_deployment d;
    d.start_node("n1"); // Without a VM, jobs wait and more are soon refused.
    d.wait_until_serving("n1");
    d.store.hold_watches("sp/inbox/");
    d.store_in_inbox("a", 1);
    wait_for(d, max_count_age + 500ms);
    REQUIRE(d.call("n1", "GET", "/quotes/").code == 503); // The copy is known to be old.
    const std::string left = "a000000000000000";
    int refused = 0;
    for (int i = 10; i < 99 && refused == 0; ++i) {
        const std::string id = "b0000000000000" + std::to_string(i);
        refused = d.call("n1", "POST", "/quotes/" + id, d.job_body(4000)).code == 429 ? i : 0;
    }
    REQUIRE(refused > 0);
    CHECK(d.call("n1", "POST", "/quotes/" + left, d.job_body(4000)).code == 200);
    d.store.hold_watches({});
    CHECK(d.until([&] { return d.store.contains("sp/job/p/" + left); })); // The owner has taken the job.
}
