#include "node/node_deployment.hpp"
#include "node/store_health.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";

} // namespace

TEST_CASE("any node accepts a job and reports its phase") {
    node_deployment d;
    d.add_vm("v1", 100ms);
    d.start_node("n1");
    d.start_node("n2");
    d.wait_until_serving("n1");
    d.wait_until_serving("n2");
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(4)).code == 200);
    CHECK(d.call("n2", "POST", "/quotes/" + job_a, d.job_body(4)).code == 200); // Repeated submit.
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    CHECK(d.reaches_phase("n2", job_a, "completed"));
    CHECK(d.done_runs() == 4);
    d.check_runs_once();
    CHECK(d.store.count("sp/job/p/") == 0);
    CHECK(d.store.count("sp/progress/p/") == 1);
    CHECK(d.call("n1", "GET", "/quotes/" + job_b).code == 410);
    CHECK(d.call("n1", "DELETE", "/quotes/" + job_b).code == 410);
    CHECK(d.call("n1", "GET", "/other/" + job_b).code == 404);
    CHECK(d.call("n1", "POST", "/quotes/" + job_b, "{\"phases\":[]}").code == 400);
}

TEST_CASE("a job survives its owner, and no task of it runs twice") {
    // Guards against tasks that run twice or never when the pool's owner is killed while tasks run: the next
    // owner must find both the tasks that are done and the tasks that still run.
    node_deployment d;
    d.add_vm("v1", 1500ms);
    d.add_vm("v2", 1500ms);
    d.start_node("n1");
    d.wait_until_serving("n1");
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(12)).code == 200);
    REQUIRE(d.until_started(12));
    d.kill_node("n1");
    d.start_node("n2");
    CHECK(d.reaches_phase("n2", job_a, "completed"));
    CHECK(d.done_runs() == 12);
    d.check_runs_once();
}

TEST_CASE("an accepted job survives the loss of all nodes") {
    node_deployment d;
    d.serve_with_one_vm(100ms);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(20)).code == 200);
    d.kill_node("n1");
    d.start_node("n1");
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    CHECK(d.done_runs() == 20);
    d.check_runs_once();
}

TEST_CASE("while the store is unresponsive jobs are refused at once, and running tasks continue") {
    // Guards against submits that hang until their call to the store times out, while a client waits only
    // three seconds for each attempt.
    node_deployment d;
    d.serve_with_one_vm(3000ms);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(1)).code == 200);
    REQUIRE(d.until_started(1));
    d.store.set_silent(true);
    REQUIRE(d.until([&] {
        return d.metric("n1", "siskinpaddle_store_unanswered_ms") >= node::store_failing_after.count();
    }));
    const http_answer refused = d.call("n1", "POST", "/quotes/" + job_b, d.job_body(1));
    CHECK(refused.code == 503);
    CHECK(refused.headers.get("Retry-After") == "1");
    CHECK(d.until([&] { return d.done_runs() == 1; }));
    d.store.set_silent(false);
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    CHECK(d.call("n1", "GET", "/quotes/" + job_b).code == 410);
    CHECK(d.done_runs() == 1);
}

TEST_CASE("a write whose answer is lost neither loses nor duplicates a job") {
    // Guards against a job that is refused and yet runs: the store stores the record, and its answer is lost.
    node_deployment d;
    d.serve_with_one_vm(100ms);
    d.store.lose_answers(1);
    const int first = d.call("n1", "POST", "/quotes/" + job_a, d.job_body(2)).code;
    CHECK((first == 200 || first == 504));
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(2)).code == 200);
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    CHECK(d.done_runs() == 2);
    d.check_runs_once();
}

TEST_CASE("a cancelled job stops and stays cancelled over a change of owner") {
    node_deployment d;
    d.serve_with_one_vm(60'000ms);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(2)).code == 200);
    REQUIRE(d.until_started(2));
    CHECK(d.call("n1", "DELETE", "/quotes/" + job_a).code == 200);
    CHECK(d.until([&] {
        return d.vms[0]->runs()[0].outcome == "stopped" && d.vms[0]->runs()[1].outcome == "stopped";
    }));
    d.kill_node("n1");
    d.start_node("n2");
    d.wait_until_serving("n2");
    CHECK(d.reaches_phase("n2", job_a, "cancelled"));
    CHECK(d.vms[0]->runs().size() == 2);
}

TEST_CASE("a configuration comes into force and never reverts to an older one") {
    node_deployment d;
    d.serve_with_one_vm(100ms);
    d.configure(d.configuration(7, "/fares/"));
    CHECK(d.until([&] { return d.call("n1", "GET", "/fares/").code != 404; }));
    CHECK(d.call("n1", "GET", "/quotes/").code == 404);
    d.store.compact();
    d.configure(d.configuration(5, "/quotes/"));
    d.configure(d.configuration(9, "/seats/"));
    CHECK(d.until([&] { return d.call("n1", "GET", "/seats/").code != 404; }));
    CHECK(d.call("n1", "GET", "/quotes/").code == 404);
}

TEST_CASE("store leases that expire in an outage end no run") {
    node_deployment d;
    d.serve_with_one_vm(4000ms);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(3)).code == 200);
    REQUIRE(d.until_started(3));
    d.store.expire_leases();
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    CHECK(d.vms[0]->runs().size() == 3);
    d.check_runs_once();
}

TEST_CASE("tasks of an unresponsive VM move to another VM once their runs have certainly ended") {
    node_deployment d;
    d.serve_with_one_vm(60'000ms);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(2)).code == 200);
    REQUIRE(d.until_started(2));
    d.vms[0]->set_silent(true);
    d.add_vm("v2", 100ms);
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    d.check_runs_once();
}

TEST_CASE("a job that was submitted and cancelled while no owner could be reached never starts") {
    // Guards against a cancelled job that starts four seconds after its cancellation was confirmed: the owner
    // reads both requests from the inbox together, finds no job to cancel yet, then transfers the job
    // and starts it.
    node_deployment d;
    d.add_vm("v1", 60'000ms);
    const jobs::job_record record = one_task_record(job_a);
    d.store.put("sp/inbox/p/submit/" + job_a, encode_archive(record));
    d.store.put("sp/inbox/p/cancel/" + job_a, "1");
    d.start_node("n1");
    d.wait_until_serving("n1");
    CHECK(d.reaches_phase("n1", job_a, "cancelled"));
    CHECK(d.vms[0]->runs().empty());
    CHECK(d.until([&] { return d.store.count("sp/inbox/") == 0; }));
}

TEST_CASE("a job that an entry stores in the inbox while the pool's owner claims again is not forgotten") {
    // Guards against an accepted job that stays queued: the owner's lease expires and it claims the pool
    // again; before the claim's answer arrives the owner tries to transfer the job from the inbox under its
    // old token, is refused, and must retry.
    node_deployment d;
    d.serve_with_one_vm(100ms);
    const jobs::job_record record = one_task_record(job_a);
    bool claimed = false;
    d.store.on_change([&](const std::string& key) {
        if (key.starts_with("sp/ctl/own/pool/") && !std::exchange(claimed, true)) {
            d.store.lose_answers(1);
            d.store.hold_watches("sp/ctl/");
            d.loop.post([&] { d.store.put("sp/inbox/p/submit/" + job_a, encode_archive(record)); });
        }
    });
    d.store.expire_leases();
    REQUIRE(d.until([&] { return claimed; }));
    REQUIRE(d.until([&] { return d.store.conflicts() > 0; })); // The inbox is read under the old token.
    d.store.hold_watches({});
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    CHECK(d.until([&] { return d.store.count("sp/inbox/") == 0; }));
}

TEST_CASE("a write for an inbox job that is executed late does not restore the job") {
    // Guards against a job's record that reappears after the job ended, so that a later owner runs the job
    // again: the first write that transfers the job from the inbox gets no answer and is repeated, and the
    // store executes the first one after the job has ended.
    node_deployment d;
    d.serve_with_one_vm(100ms);
    const jobs::job_record record = one_task_record(job_a);
    d.store.delay_writes(1);
    const std::string inbox = "sp/inbox/p/submit/" + job_a;
    d.store.put(inbox, encode_archive(record));
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 1; }));
    CHECK(d.store.contains(inbox)); // The late write is the one that transfers the job.
    CHECK(d.reaches_phase("n1", job_a, "completed"));
    REQUIRE(d.until([&] { return d.store.pending_late_writes() == 0; }));
    CHECK(d.until([&] { return d.store.count("sp/job/p/") == 0; }));
    CHECK(d.done_runs() == 1);
}

TEST_CASE("a submit whose owner loses the pool meanwhile is answered, and not as refused") {
    // Guards against a 500 for a job that runs: the job's record is stored, the store's answer is lost, and
    // before the owner asks again another node owns the pool. The pending reply must not be dropped with the
    // previous owner's state.
    node_deployment d;
    d.serve_with_one_vm(100ms);
    bool stored = false;
    d.store.on_change([&](const std::string& key) {
        if (key.starts_with("sp/job/p/") && !std::exchange(stored, true)) {
            d.loop.post([&] {
                node::owner_record other;
                other.owner.id = "n2";
                other.owner.incarnation = "another";
                other.owner.address = "127.0.0.1";
                other.owner.port = 1; // No process listens here.
                other.epoch = 7;
                d.store.put("sp/ctl/own/pool/p", encode_archive(other));
                d.store.remove("sp/ctl/live/pool/p"); // The other node has ended.
            });
        }
    });
    d.store.lose_answers(1);
    const int code = d.call("n1", "POST", "/quotes/" + job_a, d.job_body(1)).code;
    CHECK((code == 200 || code == 504)); // 200: found stored; 504: unknown, while the store seems to fail.
    CHECK(stored);
    d.store.on_change({});
    CHECK(d.reaches_phase("n1", job_a, "completed")); // n1 has claimed the pool again.
}
