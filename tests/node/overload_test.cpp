#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Submits jobs until one is refused for load; returns whether one was refused.
bool submit_until_refused(node_deployment& d, const std::string& node) {
    for (int i = 10; i < 99; ++i) {
        const std::string id = "b0000000000000" + std::to_string(i);
        if (d.call(node, "POST", "/quotes/" + id, d.job_body(4000)).code == 429) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("an entry stores no jobs in the inbox of a pool that has just refused jobs") {
    // Guards against accepted jobs that are never done: an overloaded owner answers late, and for a second
    // after each late answer its entries store all jobs in its inbox without admission control: up to 70 jobs
    // a second, in a pool that held 440 with three VMs.
    node_deployment d;
    d.start_node("n1"); // Without a VM, jobs wait and more are soon refused.
    d.wait_until_serving("n1");
    d.start_node("n2");
    d.wait_until_serving("n2");
    REQUIRE(submit_until_refused(d, "n2"));
    d.store.hold_writes("sp/job/");
    d.store_in_inbox("a", 1);
    d.kill_node("n1");
    const std::string refused = "c000000000000000";
    const http_answer answer = d.call("n2", "POST", "/quotes/" + refused, d.job_body(1));
    CHECK(answer.code == 429);
    CHECK(!answer.headers.get("Retry-After").empty());
    CHECK(!d.store.contains("sp/inbox/p/submit/" + refused));
    // A job that is already in the inbox is accepted, so a repeat of it must not be refused.
    CHECK(d.call("n2", "POST", "/quotes/a000000000000000", d.job_body(1)).code == 200);
}
