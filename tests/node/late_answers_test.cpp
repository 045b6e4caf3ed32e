#include "fakes/fault_proxy.hpp"
#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job = "00000000000000aa";
/// Longer than a VM's lease.
constexpr milliseconds beyond_lease = 9s;
/// Of each direction: every call to the VM takes longer than its timeout, a renewal of the lease does not.
constexpr milliseconds vm_delay = 3s;
constexpr milliseconds store_delay = 250ms;

} // namespace

// Guards against a task that runs again after it is done: its VM has listed the end in time, but answers to
// the owner wait on the owner's full link until the VM's lease has run out.
TEST_CASE("a task whose VM answers late is not started on another VM") {
    node_deployment d;
    fakes::fault_proxy store_link(d.loop, {"127.0.0.1", d.store.port()});
    const std::uint16_t store_port = store_link.listen();
    REQUIRE(store_port != 0);
    d.vms.push_back(std::make_unique<fakes::task_vm>(d.loop, "v1", 500ms));
    fakes::task_vm& vm = *d.vms.back();
    REQUIRE(vm.listen({"127.0.0.1", 0}));
    fakes::fault_proxy vm_link(d.loop, {"127.0.0.1", vm.port()});
    const std::uint16_t vm_port = vm_link.listen();
    REQUIRE(vm_port != 0);
    d.store.put(platform::vm_key("v1"), vm.registration("p", vm_port));
    d.start_node("n1", [&](node::node_settings& settings) { settings.store.port = store_port; });
    d.wait_until_serving("n1");
    REQUIRE(d.call("n1", "POST", "/quotes/" + job, d.job_body(1)).code == 200);
    REQUIRE(d.until_started(1));

    vm_link.set_mode(fakes::link_mode::delay, vm_delay);
    store_link.set_mode(fakes::link_mode::delay, store_delay);
    d.add_vm("v2", 500ms);
    const timestamp delayed_at = event_loop::now();
    REQUIRE(d.until([&] { return event_loop::now() - delayed_at >= beyond_lease; }));
    CHECK(vm.runs().front().outcome == "done");
    CHECK(d.vms.back()->runs().empty());

    vm_link.set_mode(fakes::link_mode::pass);
    store_link.set_mode(fakes::link_mode::pass);
    CHECK(d.reaches_phase("n1", job, "completed"));
    CHECK(d.done_runs() == 1);
    d.check_runs_once();
}
