#include "node/node_deployment.hpp"

#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::size_t inbox_job_count = 40;
/// A queue's count may be this old.
constexpr milliseconds max_count_age = 2s;

/// Whether the node tells of at least half of the jobs, or tells nothing.
bool reports_at_least_half(node_deployment& d, const std::string& node, std::size_t jobs) {
    const std::optional<std::int64_t> reported = d.pending_count(node);
    return !reported || *reported * 2 >= static_cast<std::int64_t>(jobs);
}

void wait_for(node_deployment& d, milliseconds time) {
    const timestamp end = event_loop::now() + time;
    REQUIRE(d.until([&] { return event_loop::now() >= end; }));
}

} // namespace

TEST_CASE("a queue's count holds the jobs that its owner has not yet taken from the inbox") {
    // The queue's operators are told "29 jobs wait" and, 0.2 s later, "8", while 117 and 140 accepted jobs
    // have waited for five seconds. The pool's owner, all its processor time used up by the peak of a turn
    // (49 to 50 % of a core of the 50 % that it has), did not answer entries in time; they left the jobs in
    // the inbox (clients_submit_ok_by_store 32 within five seconds) and told their clients that they are
    // accepted. It counted only jobs that it had taken out of there, each by a write of its own.
    struct owner_case {
        const char* description = "";
        bool takes_over = false; ///< The jobs lie there before the owner is the owner.
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
        // Long enough that the entry's copy of a count from before is too old, and that the owner has read
        // the inbox.
        wait_for(d, max_count_age);
        CHECK(reports_at_least_half(d, "n1", inbox_job_count));
        d.store.hold_writes({});
        CHECK(d.until([&] { return d.pending_count("n1") == static_cast<std::int64_t>(inbox_job_count); }));
        CHECK(d.until([&] { return d.store.count("sp/inbox/") == 0; }));
    }
}

TEST_CASE("a queue's count is not told while the owner's copy of the inbox may be old") {
    // The same few jobs are said to wait for seconds, while more and more do. What its owner follows in the
    // store hangs on a connection that went silent, so that the jobs which entries leave in the inbox are not
    // seen.
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

TEST_CASE("a queue's count is not told by an owner that another may have replaced") {
    // A node that is cut off from the store for seconds goes on telling the count of before, while another
    // one owns the pool and has accepted more jobs.
    node_deployment d;
    d.start_node("n1");
    d.wait_until_serving("n1");
    d.store.set_silent(true);
    wait_for(d,
             max_count_age + 1500ms); // The lease of two seconds is over, the four seconds past it are not.
    CHECK(d.call("n1", "GET", "/quotes/").code == 503);
}

TEST_CASE("a repeat of a job that lies in the inbox is not refused for load") {
    // A desk is told "429, not accepted" for a booking that then runs. Its first attempt lay in the inbox,
    // its answer was lost; the repeat reached the owner, which knew only the jobs that it had taken and
    // judged it as a new one.
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
    // The count is not told, cancelled jobs start and jobs wait for as long as a turn lasts, though only the
    // owner is busy. A large answer came in by 4 KB a turn of its loop; the watch of the inbox was given up
    // half read and asked again ("watch-failing prefix=sp/inbox/... outcome=unknown", three times from the
    // same revision) while more and more jobs lay there: 313 in the end.
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
    d.store.hold_watches({}); // All at once, as a watch brings them that waits behind others.
    const auto known = [&] { return d.metric("n1", "siskinpaddle_pool_jobs{pool=\"p\"}"); };
    CHECK(loop_until(
        d.loop, [&] { return known() == static_cast<std::int64_t>(many_jobs); }, 20s));
    busy->cancel();
}

TEST_CASE("a repeat of a job that its owner has not read in the inbox is not refused for load") {
    // A desk is told "429, not accepted" for a booking that then runs. Its first attempt was left in the
    // inbox, its answer was lost; the repeat reached the owner while the owner's copy of the inbox was
    // seconds old, as at a busy one or over a connection that went silent. The owner judged it as a new job,
    // though with so old a copy it would not even have told a count.
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
    CHECK(d.until([&] { return d.store.contains("sp/job/p/" + left); })); // It runs.
}
