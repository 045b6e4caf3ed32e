#include "node/node_deployment.hpp"
#include "node/peer_client.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a machine that a maintenance wave never takes: its VM crashed while it was being emptied,
// and the next one was to be kept empty before its pool's owner had given it a task.
TEST_CASE("a VM that is to be kept empty before it is listed is reported as empty") {
    node_deployment d;
    d.store.put("sp/ctl/live/fleet", "n9"); // Another node owns the fleet.
    d.serve_with_one_vm(100ms);
    node::peer_client peers(d.loop);
    node::peer_request query;
    query.kind = static_cast<std::uint8_t>(node::peer_request_kind::demand_query);
    query.pool = "p";
    query.vms_to_empty = {"v2"};
    const auto ask = [&] {
        std::optional<node::peer_answer> result;
        peers.call(d.nodes["n1"].settings->peers, query, 1s,
                   [&](const node::peer_answer& answer) { result = answer; });
        REQUIRE(d.until([&] { return result.has_value(); }));
        REQUIRE(node::outcome_of(*result) == node::peer_outcome::ok);
        return result->demand.vms;
    };
    CHECK(std::ranges::none_of(ask(), [](const auto& vm) { return vm.vm == "v2"; }));
    d.add_vm("v2", 100ms);
    CHECK(d.until([&] {
        return std::ranges::any_of(ask(),
                                   [](const auto& vm) { return vm.vm == "v2" && vm.is_idle && vm.released; });
    }));
    CHECK(d.call("n1", "POST", "/quotes/00000000000000aa", d.job_body(30)).code == 200);
    CHECK(d.reaches_phase("n1", "00000000000000aa", "completed"));
    CHECK(d.vms[1]->runs().empty());
    query.vms_to_empty = {};
    CHECK(d.until([&] {
        return std::ranges::any_of(ask(), [](const auto& vm) { return vm.vm == "v2" && vm.is_usable; });
    }));
}
