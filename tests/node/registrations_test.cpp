#include "node/keys.hpp"
#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

std::int64_t registration_watches(node_deployment& d) {
    return d.metric("n1", "siskinpaddle_calls{to=\"store\",purpose=\"watch-sp/node\"}");
}

void wait(node_deployment& d, milliseconds time) {
    const timestamp end = event_loop::now() + time;
    REQUIRE(d.until([&] { return event_loop::now() >= end; }));
}

} // namespace

// Guards against calls to the platform that grow with the square of the nodes: each change of a registration
// woke every node.
TEST_CASE("a node's calls don't grow with the registrations that change") {
    constexpr std::int64_t most_calls = 2; // The watch that the first change answers, and the next one.
    for (const int changes : {10, 40, 160}) {
        CAPTURE(changes);
        node_deployment d;
        d.serve_with_one_vm(50ms);
        wait(d, 300ms); // The node's own registration is seen.
        const std::int64_t before = registration_watches(d);
        for (int i = 0; i < changes; ++i) {
            d.store.put(node::node_prefix + "other-" + std::to_string(i), "unreadable");
            wait(d, 5ms);
        }
        CHECK(registration_watches(d) - before <= most_calls);
    }
}

// Guards against a successor that goes by registrations of before its predecessor was lost.
TEST_CASE("a vacant duty has a new owner soon while registrations change") {
    node_deployment d;
    d.serve_with_one_vm(50ms);
    d.start_node("n2");
    d.wait_until_serving("n2");
    d.store.put(node::node_prefix + "other", "unreadable"); // The pause after this change has begun.
    wait(d, 20ms);
    d.kill_node("n1");
    d.store.expire_leases();
    const std::string job = "a000000000000001";
    REQUIRE(d.until([&] { return d.call("n2", "POST", "/quotes/" + job, d.job_body(1)).code == 200; }));
    REQUIRE(d.reaches_phase("n2", job, "completed"));
}
