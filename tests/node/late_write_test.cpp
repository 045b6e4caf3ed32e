#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string warm_up = "0000000000000001";
const std::string job_a = "aaaaaaaaaaaaaaaa";
constexpr milliseconds wait_timeout = 15s;

/// A job of two steps of one task each, the second after the first.
std::string two_step_body() {
    jobs::job_spec spec;
    spec.payload = "s";
    spec.steps.resize(2);
    for (jobs::step_spec& step : spec.steps) {
        step.count = 1;
        step.need = {500, 64, 0};
        step.estimate_ms = 200;
    }
    spec.steps[1].after = {0};
    return platform::encode_job(spec);
}

/// Has run a job, so that the next write to the store is about the next job.
void run_warm_up_job(node_deployment& d) {
    d.serve_with_one_vm(100ms);
    REQUIRE(d.call("n1", "POST", "/quotes/" + warm_up, d.job_body(1)).code == 200);
    REQUIRE(d.reaches_phase("n1", warm_up, "completed"));
}

bool shows_in_time(node_deployment& d, const std::string& node, const std::string& job,
                   const std::string& phase) {
    return loop_until(
        d.loop,
        [&] {
            return d.call(node, "GET", "/quotes/" + job).body.find("\"" + phase + "\"") != std::string::npos;
        },
        wait_timeout);
}

} // namespace

TEST_CASE("a submit's write that is carried out late does not bring the job back") {
    // A booking is made a second time, hours after the first. The owner's first write of the job's record was
    // not answered, so it was repeated, the job ran and ended; then the first write was carried out, since
    // its only condition, the owner's claim, still held. The record outlives the memory of the job's end, and
    // the next owner takes it for a job that has not begun.
    node_deployment d;
    run_warm_up_job(d);
    d.store.delay_writes(1);
    REQUIRE(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(1)).code == 200);
    REQUIRE(d.reaches_phase("n1", job_a, "completed"));
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 0; }));
    CHECK(loop_until(
        d.loop, [&] { return d.store.count("sp/job/p/") == 0; }, wait_timeout));
}

TEST_CASE("a write of progress that is carried out late does not undo a newer one") {
    // A desk is told that its booking is completed and later that it is queued, or a task that was done runs
    // again. A write of the job's progress was not answered; a newer one, with the job's end, was stored and
    // told; then the older one was carried out, since its only condition, the owner's claim, still held. The
    // next owner reads the older one.
    node_deployment d;
    run_warm_up_job(d);
    REQUIRE(d.call("n1", "POST", "/quotes/" + job_a, two_step_body()).code == 200);
    d.store.delay_writes(1); // The next write tells that the first step is done.
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 1; }));
    REQUIRE(d.reaches_phase("n1", job_a, "completed"));
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 0; }));
    d.kill_node("n1");
    d.start_node("n2");
    CHECK(shows_in_time(d, "n2", job_a, "completed"));
    d.check_runs_once();
}

TEST_CASE("progress that was stored without an answer is replaced by what came since") {
    // A booking that is done is shown as running for good, and its VM keeps its ends. The write of its first
    // step was carried out without an answer, and what the owner wrote next held only against what was
    // before.
    node_deployment d;
    run_warm_up_job(d);
    REQUIRE(d.call("n1", "POST", "/quotes/" + job_a, two_step_body()).code == 200);
    const std::size_t conflicts = d.store.conflicts();
    d.store.lose_answers(1); // Of the write which tells that the first step is done.
    REQUIRE(shows_in_time(d, "n1", job_a, "completed"));
    CHECK(d.store.conflicts() > conflicts);
    CHECK(d.store.count("sp/job/p/") == 0);
    d.check_runs_once();
}

TEST_CASE("many jobs that end together are stored, in transactions that the store takes") {
    // Nobody hears that their bookings are cancelled. An ended job takes three entries of a transaction, and
    // the store refuses one of more than it takes, again and again.
    constexpr std::size_t jobs = 40; // More than go into one transaction in any way.
    node_deployment d;
    d.add_vm("v1", 100ms);
    d.store_in_inbox("c", jobs);
    for (std::size_t i = 0; i < jobs; ++i) {
        const std::string number = std::to_string(i);
        d.store.put("sp/inbox/p/cancel/c" + std::string(15 - number.size(), '0') + number, "1");
    }
    d.start_node("n1");
    d.wait_until_serving("n1");
    CHECK(loop_until(
        d.loop, [&] { return d.store.count("sp/progress/p/") == jobs; }, wait_timeout));
    CHECK(d.until([&] { return d.store.count("sp/job/p/") == 0 && d.store.count("sp/inbox/") == 0; }));
    CHECK(d.vms[0]->runs().empty());
}

TEST_CASE("a job that was stored without an answer is not forgotten when its owner claims anew") {
    // A desk is told that its booking is accepted; it is shown as queued and never runs. The owner's write of
    // the job was carried out without an answer, and another entry, which found the record, told the client.
    // The owner's lease had lapsed and it claimed anew; it repeated the write under the old token, was
    // refused by its own claim, and dropped the job, though it did not read the pool's jobs again.
    node_deployment d;
    run_warm_up_job(d);
    d.start_node("n2");
    d.wait_until_serving("n2");
    bool claimed = false;
    d.store.on_change([&](const std::string& key) {
        if (key.starts_with("sp/ctl/own/pool/") && !std::exchange(claimed, true)) {
            d.store.lose_answers(1);
            d.store.hold_watches("sp/ctl/");
        }
    });
    const std::size_t conflicts = d.store.conflicts();
    d.store.lose_answers(1);
    bool done = false;
    http_answer answer;
    http_call request;
    request.to = d.nodes["n2"].settings->clients;
    request.method = "POST";
    request.target = "/quotes/" + job_a;
    request.headers.add("Host", "h.example");
    request.headers.add("Deadline-Ms", "3000");
    request.body = d.job_body(1);
    request.timeout = 20s;
    request.fresh_connection = true;
    d.client.send(std::move(request), [&](http_answer result) {
        answer = std::move(result);
        done = true;
    });
    REQUIRE(d.until([&] { return d.store.contains("sp/job/p/" + job_a); }));
    d.store.expire_leases();
    REQUIRE(d.until([&] { return claimed; }));
    REQUIRE(d.until([&] { return done; }));
    CHECK(answer.code == 200);
    REQUIRE(d.until([&] { return d.store.conflicts() > conflicts; }));
    d.store.on_change({});
    // Until the owner has heard of its own claim.
    const timestamp end = event_loop::now() + 3s;
    REQUIRE(d.until([&] { return event_loop::now() >= end; }));
    d.store.hold_watches({});
    CHECK(shows_in_time(d, "n1", job_a, "completed"));
}
