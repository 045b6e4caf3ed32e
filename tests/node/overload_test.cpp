#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Hands jobs in until one is refused for load; returns whether one was.
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

TEST_CASE("an entry leaves no jobs in the inbox of a pool that turned jobs away just before") {
    // Callers are told that their jobs are accepted, and these are never done. The pool's owner is overloaded
    // and answers late; for a second after each late answer its entries left all that came in its inbox,
    // which nobody judges: up to 70 jobs a second, of a pool that held 440 with three VMs.
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
    // A refusal must be true: what lies there already is accepted.
    CHECK(d.call("n2", "POST", "/quotes/a000000000000000", d.job_body(1)).code == 200);
}
