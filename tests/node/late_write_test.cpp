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

/// Runs a job, so that the next write to the store concerns the next job.
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

TEST_CASE("a submit's write that is executed late does not restore the job") {
    // Guards against a job that runs again hours later: the first write of its record is not answered and is
    // repeated, the job ends, and the first write is executed late, since its only condition, the owner's
    // claim, still holds. The record outlasts the job's progress, so a later owner runs the job again.
    node_deployment d;
    run_warm_up_job(d);
    d.store.delay_writes(1);
    REQUIRE(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(1)).code == 200);
    REQUIRE(d.reaches_phase("n1", job_a, "completed"));
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 0; }));
    CHECK(loop_until(
        d.loop, [&] { return d.store.count("sp/job/p/") == 0; }, wait_timeout));
}

TEST_CASE("a progress write that is executed late does not undo a newer one") {
    // Guards against a completed job that is reported as queued or runs again: a progress write is not
    // answered, a newer one with the job's end is stored, and the older one is executed late, since its only
    // condition, the owner's claim, still holds. The next owner reads the older progress.
    node_deployment d;
    run_warm_up_job(d);
    REQUIRE(d.call("n1", "POST", "/quotes/" + job_a, two_step_body()).code == 200);
    d.store.delay_writes(1); // The next write records that the first step is done.
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 1; }));
    REQUIRE(d.reaches_phase("n1", job_a, "completed"));
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 0; }));
    d.kill_node("n1");
    d.start_node("n2");
    CHECK(shows_in_time(d, "n2", job_a, "completed"));
    d.check_runs_once();
}

TEST_CASE("progress that was stored without an answer is replaced by later progress") {
    // Guards against a completed job that is reported as running permanently, while its VM keeps the ends:
    // the write of its first step is executed without an answer, and the owner's next write is conditional on
    // the progress before it.
    node_deployment d;
    run_warm_up_job(d);
    REQUIRE(d.call("n1", "POST", "/quotes/" + job_a, two_step_body()).code == 200);
    const std::size_t conflicts = d.store.conflicts();
    d.store.lose_answers(1); // Of the write that records that the first step is done.
    REQUIRE(shows_in_time(d, "n1", job_a, "completed"));
    CHECK(d.store.conflicts() > conflicts);
    CHECK(d.store.count("sp/job/p/") == 0);
    d.check_runs_once();
}

TEST_CASE("many jobs that end together are stored, in transactions within the store's limit") {
    // Guards against cancellations that are never reported: an ended job takes three entries of a
    // transaction, and the store refuses a transaction of more entries than its limit on every retry.
    constexpr std::size_t jobs = 40; // More than one transaction can hold in any case.
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

TEST_CASE("a job that was stored without an answer is kept when its owner claims the pool again") {
    // Guards against an accepted job that never runs: its record is stored without an answer, and another
    // entry reports the job accepted. The owner's lease expires, it claims the pool again, repeats the write
    // under the old token, gets a conflict, and drops the job without reading the pool's jobs again.
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
    // Until the owner has received its own claim.
    const timestamp end = event_loop::now() + 3s;
    REQUIRE(d.until([&] { return event_loop::now() >= end; }));
    d.store.hold_watches({});
    CHECK(shows_in_time(d, "n1", job_a, "completed"));
}
