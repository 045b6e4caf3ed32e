#include "node/moving_queue.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// What the operator does to the queue "quotes" once both jobs are accepted.
struct change {
    const char* name;
    void (*apply)(moving_queue&);
};

constexpr change move_to_q{"leads to q", [](moving_queue& d) { d.lead("quotes", "q"); }};
constexpr change back_to_p{"leads to p", [](moving_queue& d) { d.lead("quotes", "p"); }};
constexpr change remove_queue{"is removed", [](moving_queue& d) { d.lead("quotes", {}); }};
constexpr change swap_pools{"swaps its pool with fares", [](moving_queue& d) {
                                d.set_pool("fares", "p");
                                d.lead("quotes", "q");
                            }};
constexpr change repeat{"its jobs are submitted again", [](moving_queue& d) {
                            for (const std::string& name : d.names()) {
                                CHECK(d.submit(name, ending_job) == 200);
                                CHECK(d.submit(name, lasting_job) == 200);
                            }
                        }};

constexpr change restart{"all nodes restart", [](moving_queue& d) { d.restart_all_nodes(); }};
constexpr change kill_owner{"the owner of p is killed", [](moving_queue& d) {
                                const std::string owner = d.owner_of("p");
                                REQUIRE_FALSE(owner.empty());
                                d.kill_node(owner);
                                d.start_node(owner);
                                d.wait_until_in_force();
                            }};

struct order_of_changes {
    const char* name;
    std::vector<change> changes;
};

/// Checks that both jobs are known to all nodes, remain one job each, and can be cancelled.
void check_jobs(moving_queue& d) {
    for (const std::string& name : d.names()) {
        INFO("node ", name);
        CHECK(d.reaches_phase(name, ending_job, "completed"));
        CHECK(d.reaches_phase(name, lasting_job, "running"));
    }
    repeat.apply(d);
    d.wait(500ms);
    CHECK(d.starts_of(ending_job) == 1);
    CHECK(d.starts_of(lasting_job) == 1);
    CHECK(d.call("n2", "DELETE", "/quotes/" + lasting_job).code == 200);
    CHECK(d.until([&] {
        return std::ranges::all_of(d.vms, [](const auto& vm) {
            return std::ranges::all_of(vm->runs(), [](const auto& run) { return !run.outcome.empty(); });
        });
    }));
    CHECK(d.reaches_phase("n1", lasting_job, "cancelled"));
}

} // namespace

// Guards against accepted jobs that are answered 410 and run again: their queue leads to another pool by now.
TEST_CASE("a job is found, stays one job and can be cancelled after its queue has changed its pool") {
    const std::vector<order_of_changes> orders{
        {"the pool changes", {move_to_q}},
        {"the queue goes and comes back with another pool", {remove_queue, move_to_q}},
        {"the queue goes and comes back", {remove_queue, back_to_p}},
        {"the pool changes and changes back", {move_to_q, back_to_p}},
        {"submitted again between two changes", {move_to_q, repeat, back_to_p}},
        {"two queues swap their pools", {swap_pools}},
        {"the pool changes, then all nodes restart", {move_to_q, restart}},
        {"the pool changes, then its owner is killed", {move_to_q, kill_owner}},
        {"all nodes restart while the queue is gone", {remove_queue, restart, move_to_q}},
        {"all nodes restart after a swap", {swap_pools, restart}},
    };
    for (const order_of_changes& order : orders) {
        INFO("order: ", std::string(order.name));
        moving_queue d;
        d.submit_both();
        for (const change& item : order.changes) {
            item.apply(d);
        }
        check_jobs(d);
    }
}

// Guards against a job that two pools accept: the first attempt is in the old pool's inbox when the queue
// moves.
TEST_CASE("a job that waits in the inbox of its queue's earlier pool is one job") {
    moving_queue d;
    d.store.hold_writes("sp/job/p/");
    const std::string owner = d.owner_of("p");
    REQUIRE_FALSE(owner.empty());
    const std::string entry = owner == "n1" ? "n2" : "n1";
    d.store.hold_events("sp/inbox/p/"); // The owner doesn't answer in time, nor reads its inbox.
    REQUIRE(d.submit(entry, ending_job) == 200);
    REQUIRE(d.store.contains("sp/inbox/p/submit/" + ending_job));
    d.lead("quotes", "q");
    CHECK(d.submit("n1", ending_job) == 200);
    CHECK(d.call("n2", "GET", "/quotes/" + ending_job).code == 200);
    d.store.hold_events({});
    d.store.hold_writes({});
    CHECK(d.reaches_phase("n1", ending_job, "completed"));
    CHECK(d.starts_of(ending_job) == 1);
}

// Guards against a second job under one id: a node that is behind on the configuration sends it to the old
// pool.
TEST_CASE("a node that is behind on the configuration finds a job in the queue's new pool") {
    moving_queue d({"n1"});
    d.store.hold_events("op/");
    d.set_pool("quotes", "q");
    d.publish();
    d.start_node("n2"); // Lists the newest version.
    REQUIRE(d.until([&] {
        return d.metric("n2", "siskinpaddle_configuration_version") >
               d.metric("n1", "siskinpaddle_configuration_version");
    }));
    REQUIRE(d.until([&] { return d.submit("n2", ending_job) == 200; }));
    CHECK(d.submit("n1", ending_job) == 200);
    CHECK(d.call("n1", "GET", "/quotes/" + ending_job).code == 200);
    CHECK(d.reaches_phase("n2", ending_job, "completed"));
    d.store.hold_events({});
    CHECK(d.starts_of(ending_job) == 1);
}

// Guards against a job that is shown, or taken for a repeat, by the id of another queue's job.
TEST_CASE("the id of another queue's job is refused, and shows no job") {
    moving_queue d;
    d.submit_both();
    CHECK(d.call("n1", "POST", "/fares/" + ending_job, d.job_body(1)).code == 409);
    CHECK(d.call("n1", "GET", "/fares/" + ending_job).code == 410);
    CHECK(d.call("n1", "DELETE", "/fares/" + lasting_job).code == 410);
    CHECK(d.reaches_phase("n1", lasting_job, "running"));
}

// Guards against places that stay in the store for good.
TEST_CASE("the place of an ended job is removed with its progress") {
    moving_queue d;
    for (const std::string& name : d.names()) {
        d.nodes[name].settings->ended_job_retention = 1s;
    }
    d.submit_both();
    d.lead("quotes", "q");
    CHECK(d.store.count("sp/place/") == 2);
    REQUIRE(d.call("n1", "DELETE", "/quotes/" + lasting_job).code == 200);
    CHECK(loop_until(
        d.loop, [&] { return d.store.count("sp/progress/") == 0; }, 15s));
    CHECK(d.store.count("sp/place/") == 0);
}
