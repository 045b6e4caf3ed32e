#include "node/node_deployment.hpp"

#include "platform/wire.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_id = "a000000000000000"; ///< The job that store_in_inbox("a", 1) stores.
const std::string first_id = "b000000000000000";
constexpr milliseconds wait_timeout = 15s;

/// Sends a submit without waiting for its answer.
void send_submit(node_deployment& d, const std::string& job, http_answer& answer, bool& done) {
    http_call request;
    request.to = d.nodes["n1"].settings->clients;
    request.method = "POST";
    request.target = "/quotes/" + job;
    request.headers.add("Host", "h.example");
    request.headers.add("Deadline-Ms", "3000");
    request.body = node_deployment::job_body(1);
    request.timeout = 20s;
    request.fresh_connection = true;
    d.client.send(std::move(request), [&](http_answer result) {
        answer = std::move(result);
        done = true;
    });
}

std::int64_t inbox_jobs(node_deployment& d) {
    return d.metric("n1", "siskinpaddle_pool_inbox_jobs{pool=\"p\"}");
}

} // namespace

TEST_CASE("a job in the inbox is taken although its submit at the owner was refused") {
    // Guards against an accepted job that never runs: its submit waits at a busy owner, and after 900 ms the
    // entry stores the job in the inbox. The owner skips it there because of the submit, whose write the
    // store then refuses, and does not process the inbox until another job arrives there.
    node_deployment d;
    d.serve_with_one_vm(50ms);
    d.store.hold_writes("sp/job/");
    http_answer first;
    http_answer second;
    bool first_done = false;
    bool second_done = false;
    const std::size_t before = d.store.count("sp/job/");
    REQUIRE(before == 0);
    const std::size_t calls = d.store.call_count(std::string(platform::wire::commit_path));
    send_submit(d, first_id, first, first_done);
    REQUIRE(d.until([&] { return d.store.call_count(std::string(platform::wire::commit_path)) > calls; }));
    send_submit(d, job_id, second, second_done); // Waits for the first submit's write.
    d.store_in_inbox("a", 1);
    REQUIRE(d.until([&] { return inbox_jobs(d) == 1; }));
    d.store.set_busy(true);
    d.store.hold_writes({}); // The first submit's write is executed, the second one's is refused.
    REQUIRE(d.until([&] { return second_done; }));
    d.store.set_busy(false);
    REQUIRE(d.reaches_phase("n1", first_id, "completed"));
    CHECK(loop_until(
        d.loop,
        [&] { return d.call("n1", "GET", "/quotes/" + job_id).body.find("completed") != std::string::npos; },
        wait_timeout));
    CHECK(loop_until(
        d.loop, [&] { return d.store.count("sp/inbox/") == 0; }, wait_timeout));
}

TEST_CASE("a job that reached its owner and the inbox counts once and runs once") {
    // Guards against a job that counts as waiting permanently and later runs twice: its submit waits at a
    // busy owner while it is also in the inbox, where the owner skips it. Once the owner has forgotten the
    // ended job, the next job in the inbox makes it process the old entry as a new job.
    node_deployment d;
    d.serve_with_one_vm(50ms);
    d.nodes["n1"].settings->ended_job_retention = 1s;
    d.store.hold_writes("sp/job/");
    http_answer answer;
    bool done = false;
    const std::size_t calls = d.store.call_count(std::string(platform::wire::commit_path));
    send_submit(d, job_id, answer, done);
    REQUIRE(d.until([&] { return d.store.call_count(std::string(platform::wire::commit_path)) > calls; }));
    d.store_in_inbox("a", 1);
    REQUIRE(d.until([&] { return inbox_jobs(d) == 1; }));
    d.store.hold_writes({});
    REQUIRE(d.until([&] { return done; }));
    CHECK(answer.code == 200);
    REQUIRE(d.reaches_phase("n1", job_id, "completed"));
    CHECK(loop_until(
        d.loop, [&] { return d.pending_count("n1") == 0 && d.store.count("sp/inbox/") == 0; }, wait_timeout));
    // The owner has forgotten the job, as after the retention time of ended jobs.
    REQUIRE(d.until([&] { return d.store.count("sp/progress/") == 0; }));
    d.store_in_inbox("c", 1);
    REQUIRE(d.reaches_phase("n1", "c000000000000000", "completed"));
    REQUIRE(d.until([&] { return d.store.count("sp/inbox/") == 0; }));
    CHECK(d.done_runs() == 2);
    d.check_runs_once();
}

TEST_CASE("a cancellation in the inbox takes effect while the submits there are still being read") {
    // Guards against tasks that start 4 to 6 s after the cancellation of their job was reported: the
    // cancellation is in the inbox behind hundreds of jobs, in one answer of 100 KB and more, which a busy
    // owner needs seconds to read.
    node_deployment d;
    d.serve_with_one_vm(60s);
    const std::string job = "c000000000000000";
    REQUIRE(d.call("n1", "POST", "/quotes/" + job, d.job_body(1)).code == 200);
    d.store.hold_events("sp/inbox/p/submit/");
    d.store_in_inbox("a", 5);
    d.store.put("sp/inbox/p/cancel/" + job, "1");
    CHECK(d.until([&] { return d.reaches_phase("n1", job, "cancelled"); }));
    d.store.hold_events({});
    CHECK(d.until([&] { return d.store.count("sp/inbox/") == 0; }));
}
