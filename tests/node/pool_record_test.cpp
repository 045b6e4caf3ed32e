#include "node/moving_queue.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr milliseconds wait_timeout = 20s;

/// A job that needs more than a VM has, so that it waits until it is cancelled.
std::string waiting_body() {
    jobs::job_spec spec;
    spec.steps.resize(1);
    spec.steps[0].need = {5000, 64, 0};
    spec.steps[0].estimate_ms = 200;
    return platform::encode_job(spec);
}

void submit_waiting_jobs(moving_queue& d, const std::string& first_digit, int count) {
    for (int i = 0; i < count; ++i) {
        const std::string id = first_digit + "00000000000000" + std::to_string(i);
        REQUIRE(d.call("n1", "POST", "/quotes/" + id, waiting_body()).code == 200);
    }
}

std::size_t failed_runs(const moving_queue& d) {
    return static_cast<std::size_t>(
        std::ranges::count(d.vms[0]->runs(), "failed", &fakes::task_vm::run_record::outcome));
}

} // namespace

// Guards against a pool whose jobs nobody runs: no queue leads there any more, and all nodes have ended.
TEST_CASE("a pool with jobs has an owner although no queue leads there") {
    moving_queue d;
    d.submit_both();
    d.lead("quotes", {});
    d.restart_all_nodes();
    CHECK(loop_until(
        d.loop, [&] { return !d.owner_of("p").empty(); }, wait_timeout));
    d.wait(8s); // Longer than a VM's lease.
    CHECK(d.starts_of(lasting_job) == 1);
    CHECK(d.vms[0]->runs().back().outcome.empty());
}

// Guards against an accepted job that never runs: it was stored in the inbox of a pool that has had no owner
// yet.
TEST_CASE("a job in the inbox of a pool without an owner is run although its queue is gone") {
    moving_queue d(std::vector<std::string>{});
    d.store.hold_writes("sp/ctl/own/pool/");
    d.start_node("n1");
    REQUIRE(d.until([&] { return d.submit("n1", ending_job) == 200; }));
    d.set_pool("quotes", {});
    d.publish();
    d.kill_node("n1");
    d.store.hold_writes({});
    d.start_node("n1");
    CHECK(loop_until(
        d.loop, [&] { return d.starts_of(ending_job) == 1; }, wait_timeout));
}

// Guards against an owner that knows no settings of its pool: it starts more than VMs can hold.
TEST_CASE("a node without a configuration claims no pool that has a record") {
    node_deployment d;
    d.store.remove(std::string(platform::configuration_key));
    d.store.put("sp/ctl/jobs/p", encode_archive(jobs::pool_record{{quotes_queue()}}));
    d.start_node("n1");
    const timestamp end = event_loop::now() + 3s;
    REQUIRE(d.until([&] { return event_loop::now() >= end; }));
    CHECK_FALSE(d.store.contains("sp/ctl/own/pool/p"));
    d.configure(node_deployment::configuration(4));
    CHECK(d.until([&] { return d.store.contains("sp/ctl/own/pool/p"); }));
}

// Guards against an accepted job that is not stored: the pool's record changed while the entry wrote the job.
TEST_CASE("a job that meets a changed pool record on its way into the inbox is stored") {
    moving_queue d;
    const std::string owner = d.owner_of("p");
    REQUIRE_FALSE(owner.empty());
    const std::string entry = owner == "n1" ? "n2" : "n1";
    d.kill_node(owner);
    d.store.hold_writes("sp/inbox/");
    std::optional<int> code;
    d.submit_later(entry, ending_job, [&](int answered) { code = answered; });
    REQUIRE(d.until([&] { return d.store.held_writes() == 1; }));
    jobs::pool_record record;
    record.queues = {quotes_queue()};
    d.store.put("sp/ctl/jobs/p", encode_archive(record));
    d.wait(200ms); // The entry has the record by its watch.
    d.store.hold_writes({});
    REQUIRE(d.until([&] { return code.has_value(); }));
    CHECK(*code == 200);
    CHECK(loop_until(
        d.loop, [&] { return d.starts_of(ending_job) == 1; }, wait_timeout));
}

// Guards against attempts without limit: the settings of a removed queue were forgotten.
TEST_CASE("the limit on attempts of a removed queue stays in force") {
    for (const bool restarts : {false, true}) {
        INFO("all nodes restart: ", restarts);
        moving_queue d;
        d.vms[0]->set_failing(true);
        REQUIRE(d.submit("n1", ending_job) == 200);
        d.lead("quotes", {});
        if (restarts) {
            d.restart_all_nodes();
        }
        CHECK(loop_until(
            d.loop, [&] { return failed_runs(d) == moving_queue::max_attempts; }, wait_timeout));
        d.wait(2s);
        CHECK(failed_runs(d) == moving_queue::max_attempts);
        d.lead("quotes", "q");
        CHECK(d.reaches_phase("n1", ending_job, "failed"));
    }
}

// Guards against a count that omits accepted jobs: they wait in the pool to which the queue led before.
TEST_CASE("a queue's count includes the jobs that wait in its earlier pool") {
    moving_queue d;
    submit_waiting_jobs(d, "a", 4);
    d.lead("quotes", "q");
    submit_waiting_jobs(d, "b", 2);
    for (const std::string& name : d.names()) {
        CHECK(d.until([&] { return d.pending_count(name) == 6; }));
    }
}

// Guards against a 429 for a job that runs: the owner of the queue's new pool knows nothing of the earlier
// one.
TEST_CASE("a repeat of a job in the earlier pool is not refused for load") {
    moving_queue d;
    d.submit_both();
    d.lead("quotes", "q");
    int refused = 0;
    for (int i = 10; i < 99 && refused == 0; ++i) {
        const std::string id = "c0000000000000" + std::to_string(i);
        refused = d.call("n1", "POST", "/quotes/" + id, d.job_body(4000)).code == 429 ? i : 0;
    }
    REQUIRE(refused > 0);
    for (const std::string& name : d.names()) {
        CHECK(d.call(name, "POST", "/quotes/" + ending_job, d.job_body(4000)).code == 200);
        CHECK(d.submit(name, lasting_job) == 200);
    }
}

// Guards against jobs of the version before that are not found: they have no place.
TEST_CASE("a job that was stored without a place is found after its queue has changed its pool") {
    for (const char* key : {"sp/job/p/", "sp/inbox/p/submit/"}) {
        INFO("stored under ", std::string(key));
        moving_queue d(std::vector<std::string>{});
        d.vms[0]->set_silent(true); // The job waits.
        jobs::job_record record = one_task_record(ending_job);
        d.store.put(key + ending_job, encode_archive(record));
        d.start_node("n1");
        REQUIRE(d.until([&] { return d.owner_of("p") == "n1" || d.pending_count("n1") == 1; }));
        d.lead("quotes", "q");
        REQUIRE(d.until([&] { return d.metric("n1", "siskinpaddle_configuration_version") == 12; }));
        CHECK(d.until([&] { return d.store.contains("sp/place/" + ending_job); }));
        CHECK(d.call("n1", "GET", "/quotes/" + ending_job).code == 200);
        CHECK(d.submit("n1", ending_job) == 200);
        d.vms[0]->set_silent(false);
        CHECK(d.reaches_phase("n1", ending_job, "completed"));
        CHECK(d.starts_of(ending_job) == 1);
    }
}

// Guards against records that stay in the store, and owners of empty pools, for good.
TEST_CASE("the record of a pool without queues is removed once nothing is left there") {
    moving_queue d;
    for (const std::string& name : d.names()) {
        d.nodes[name].settings->ended_job_retention = 1s;
    }
    d.submit_both();
    d.lead("quotes", "q");
    REQUIRE(d.store.contains("sp/ctl/jobs/p"));
    REQUIRE(d.call("n1", "DELETE", "/quotes/" + lasting_job).code == 200);
    CHECK(loop_until(
        d.loop, [&] { return !d.store.contains("sp/ctl/jobs/p"); }, 40s));
    d.lead("quotes", "p"); // The next job writes it again.
    CHECK(d.submit("n1", "dddddddddddddddd") == 200);
    CHECK(d.store.contains("sp/ctl/jobs/p"));
}
