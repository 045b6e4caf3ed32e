#include "node/node_deployment.hpp"
#include "node/peer_client.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Asks the owner of the pool "p", node n1, as the fleet's owner does.
class demand_queries {
  public:
    explicit demand_queries(node_deployment& deployment)
        : m_deployment(deployment), m_peers(deployment.loop) {
        m_query.kind = static_cast<std::uint8_t>(node::peer_request_kind::demand_query);
        m_query.pool = "p";
    }

    void set_vms_to_empty(const std::vector<std::string>& vms) { m_query.vms_to_empty = vms; }

    /// Whether the answer names such a VM.
    bool find(const std::function<bool(const jobs::vm_load&)>& wanted) {
        std::optional<node::peer_answer> result;
        m_peers.call(m_deployment.nodes["n1"].settings->peers, m_query, 1s,
                     [&](const node::peer_answer& answer) { result = answer; });
        REQUIRE(m_deployment.until([&] { return result.has_value(); }));
        REQUIRE(node::outcome_of(*result) == node::peer_outcome::ok);
        return std::ranges::any_of(result->demand.vms, wanted);
    }

  private:
    node_deployment& m_deployment;
    node::peer_client m_peers;
    node::peer_request m_query;
};

} // namespace

// Guards against a machine that a maintenance wave never takes: its VM crashed while it was being emptied,
// and the next one was to be kept empty before its pool's owner had given it a task.
TEST_CASE("a VM that is to be kept empty before it is listed is reported as empty") {
    node_deployment d;
    d.store.put("sp/ctl/live/fleet", "n9"); // Another node owns the fleet.
    d.serve_with_one_vm(100ms);
    demand_queries queries(d);
    queries.set_vms_to_empty({"v2"});
    CHECK(!queries.find([](const auto& vm) { return vm.vm == "v2"; }));
    d.add_vm("v2", 100ms);
    CHECK(d.until([&] {
        return queries.find([](const auto& vm) { return vm.vm == "v2" && vm.is_idle && vm.released; });
    }));
    CHECK(d.call("n1", "POST", "/quotes/00000000000000aa", d.job_body(30)).code == 200);
    CHECK(d.reaches_phase("n1", "00000000000000aa", "completed"));
    CHECK(d.vms[1]->runs().empty());
    queries.set_vms_to_empty({});
    CHECK(
        d.until([&] { return queries.find([](const auto& vm) { return vm.vm == "v2" && vm.is_usable; }); }));
}

// Guards against a machine that is ordered away by an old list while its next VM runs tasks, and against one
// that is kept because its ended VM is still registered.
TEST_CASE("a VM is released unless another VM of its machine runs something") {
    for (const bool other_runs : {true, false}) {
        CAPTURE(other_runs);
        node_deployment d;
        d.store.put("sp/ctl/live/fleet", "n9"); // Another node owns the fleet.
        d.serve_with_one_vm(100ms);
        demand_queries queries(d);
        queries.set_vms_to_empty({"v1"});
        const auto is_released = [&] {
            return queries.find([](const auto& vm) { return vm.vm == "v1" && vm.released; });
        };
        CHECK(d.until(is_released));
        d.add_vm("v2", 10s, "m-v1");
        CHECK(d.until(
            [&] { return queries.find([](const auto& vm) { return vm.vm == "v2" && vm.is_usable; }); }));
        if (other_runs) {
            CHECK(d.call("n1", "POST", "/quotes/00000000000000aa", d.job_body(1)).code == 200);
            CHECK(d.until([&] { return !d.vms[1]->runs().empty(); }));
        }
        CHECK(is_released() == !other_runs);
    }
}
