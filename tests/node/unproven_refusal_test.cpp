#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

bool is_refusal(const http_answer& answer) {
    return answer.code == 429 || answer.code == 503;
}

/// Starts the owner "n1" with one VM, and the entry "n2".
void start_owner_and_entry(node_deployment& d) {
    d.serve_with_one_vm(50ms);
    d.start_node("n2");
    d.wait_until_serving("n2");
}

} // namespace

// Guards against a client that is told that its job never runs, while an earlier attempt through another
// entry lies in the inbox: the pool has no owner and the store doesn't answer the second entry.
TEST_CASE("a repeated submit isn't refused while nobody can tell whether the job is stored") {
    struct store_fault {
        const char* name;
        void (*begin)(fakes::platform_store&);
    };
    constexpr std::array faults{
        store_fault{"silent", [](fakes::platform_store& store) { store.set_silent(true); }},
        store_fault{"busy", [](fakes::platform_store& store) { store.set_busy(true); }}};
    for (const store_fault& fault : faults) {
        INFO("the store is ", std::string(fault.name));
        node_deployment d;
        start_owner_and_entry(d);
        d.kill_node("n1");
        d.store_in_inbox("a", 1); // By an entry whose client got no answer.
        fault.begin(d.store);
        const std::string stored = "a000000000000000";
        CHECK_FALSE(is_refusal(d.call("n2", "POST", "/quotes/" + stored, d.job_body(1))));
        // Once the calls in flight have shown that the store fails.
        const timestamp end = event_loop::now() + 600ms;
        REQUIRE(d.until([&] { return event_loop::now() >= end; }));
        CHECK_FALSE(is_refusal(d.call("n2", "POST", "/quotes/" + stored, d.job_body(1))));
    }
}
