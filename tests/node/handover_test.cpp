#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_a = "00000000000000aa";
const std::string job_b = "00000000000000bb";
/// Without a handover, a pool has a new owner once the lease of two seconds has expired.
constexpr milliseconds handover_time = 1500ms;

/// The node "n1" owns the pool and can be turned away by the store; "n2" can't.
struct two_nodes : node_deployment {
    explicit two_nodes(milliseconds run_time) {
        const std::uint16_t port = store.open_second_port();
        REQUIRE(port != 0);
        add_vm("v1", run_time);
        start_node("n1", [port](node::node_settings& settings) { settings.store.port = port; });
        wait_until_serving("n1");
        start_node("n2");
        wait_until_serving("n2");
    }

    /// Waits until "n2" owns the pool; returns how long that took.
    milliseconds until_taken_over() {
        const timestamp began = event_loop::now();
        REQUIRE(until([&] {
            return metric("n2", "siskinpaddle_pool_jobs{pool=\"p\"}") >= 0 &&
                   call("n2", "GET", "/quotes/").code == 200;
        }));
        return event_loop::now() - began;
    }
};

} // namespace

// Guards against a pool that starts no tasks for two seconds because its owner can't reach the store.
TEST_CASE("an owner that the store turns away hands its pool over before its lease expires") {
    two_nodes d(1200ms);
    CHECK(d.call("n1", "POST", "/quotes/" + job_a, d.job_body(6)).code == 200);
    REQUIRE(d.until_started(6));
    d.store.set_second_port_busy(true);
    CHECK(d.until_taken_over() <= handover_time);
    CHECK(d.call("n2", "POST", "/quotes/" + job_b, d.job_body(6)).code == 200);
    CHECK(d.reaches_phase("n2", job_a, "completed"));
    CHECK(d.reaches_phase("n2", job_b, "completed"));
    CHECK(d.done_runs() == 12);
    d.check_runs_once();
    CHECK(d.metric("n1", "siskinpaddle_pool_jobs{pool=\"p\"}") == -1);
}

// Guards against takeovers, and claims that are carried out late, in an outage that concerns all nodes.
TEST_CASE("no pool is handed over while the store turns all nodes away") {
    two_nodes d(100ms);
    const std::string owner_key = "sp/ctl/own/pool/p";
    const std::int64_t token = d.store.revision_of(owner_key);
    d.store.set_busy(true);
    d.store.set_second_port_busy(true);
    const timestamp began = event_loop::now();
    REQUIRE(d.until([&] { return event_loop::now() - began >= handover_time; }));
    d.store.set_busy(false);
    d.store.set_second_port_busy(false);
    d.wait_until_serving("n1");
    CHECK(d.store.revision_of(owner_key) == token);
}
