#include "node/fleet_task.hpp"

#include "node/keys.hpp"

#include "fakes/platform_store.hpp"
#include "net/free_port.hpp"
#include "net/loop_until.hpp"
#include "node/quotes_queue.hpp"
#include "platform/wire.hpp"
#include "telemetry/test_log.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

boost::json::object machine(const std::string& name, const std::string& pool) {
    return {{"machine", name},
            {"pool", pool},
            {"state", "up"},
            {"zone", "z"},
            {"labels", boost::json::array{"kind", "rack"}},
            {"capacity", boost::json::object{{"cpu", 8000}, {"mem_mb", 8000}, {"gpu", 0}}},
            {"id", "vm-" + name}};
}

std::string configuration() {
    const jobs::queue_settings queue = quotes_queue();
    jobs::fleet_configuration result;
    result.version = 2;
    jobs::queue_settings other = queue;
    other.name = "fares";
    other.prefix = "/fares/";
    other.pool = "q";
    result.queues = {queue, other};
    result.pools = {{"p", false}, {"q", false}, {"spare", true}};
    result.max_body_bytes = 65'536;
    return platform::encode_configuration(result);
}

/// The demand that a pool's owner reports at a demand peak: far more than its two VMs can hold.
node::peer_answer peak_demand() {
    node::peer_answer answer = node::make_answer(node::peer_outcome::ok);
    answer.demand.need_millicores = 64'000;
    answer.demand.retained_millicores = 64'000;
    for (const char* name : {"vm-m1", "vm-m2"}) {
        jobs::vm_load vm;
        vm.vm = name;
        vm.is_usable = true;
        vm.used_millicores = 8000;
        answer.demand.vms.push_back(vm);
    }
    return answer;
}

/// Delays of the answers to the fleet's owner.
struct answer_delays {
    milliseconds owner{20};  ///< Of the owner of the pool that needs machines.
    milliseconds list{0};    ///< Of the platform's list of machines.
    bool other_owner = true; ///< Whether the other pool's owner answers at all.
};

/// Whether a machine is ordered into the pool that needs machines.
bool pool_gets_machines(const answer_delays& delays) {
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    store.put(std::string(platform::configuration_key), configuration());
    int moves = 0;
    std::vector<std::unique_ptr<timer>> answers;
    http_server machines(loop, {}, [&](const std::shared_ptr<server_request>& request) {
        http_headers headers;
        headers.add("Content-Type", "application/json");
        if (request->target() == platform::wire::machine_move_path) {
            ++moves;
            request->reply(200, headers, "{}");
            return;
        }
        const boost::json::array all{machine("m1", "p"), machine("m2", "p"), machine("m3", "spare"),
                                     machine("m4", "spare")};
        answers.push_back(loop.make_timer([request, headers, all] {
            request->reply(200, headers, boost::json::serialize(boost::json::object{{"machines", all}}));
        }));
        answers.back()->start(delays.list);
    });
    REQUIRE(machines.listen({"127.0.0.1", 0}));
    node::node_settings settings;
    settings.id = "n1";
    settings.availability_zone = "z";
    settings.peers = {"127.0.0.1", free_port()};
    settings.min_order_interval = 3s;
    settings.maintenance_time = 2s;
    settings.move_time = 1500ms;
    settings.machine_orders_per_s = 10;
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    platform::machine_client machine_client(loop, {"127.0.0.1", machines.port()});
    node::configuration_task configured(loop, client, [] {});
    std::unique_ptr<node::fleet_task> fleet;
    std::unique_ptr<node::membership_task> membership;
    const auto ask_pool = [&](const node::peer_request& request, const node::peer_server::reply& done) {
        if (request.pool == "p") {
            answers.push_back(loop.make_timer([done] { done(peak_demand()); }));
            answers.back()->start(delays.owner);
        } else if (delays.other_owner) {
            done(node::make_answer(node::peer_outcome::ok));
        }
    };
    membership = std::make_unique<node::membership_task>(
        loop, settings, client,
        node::membership_task::handlers{[&](const node::ownership& held) {
                                            fleet = std::make_unique<node::fleet_task>(
                                                node::fleet_task::context{loop, settings, client,
                                                                          machine_client, *membership,
                                                                          configured, ask_pool},
                                                held);
                                            fleet->start();
                                        },
                                        [](const std::string&) {}, [] {}});
    configured.start();
    membership->set_duties({node::fleet_duty});
    membership->start();
    return loop_until(
        loop, [&] { return moves > 0; }, 8s);
}

} // namespace

TEST_CASE("a pool whose owner is busy gets machines as well") {
    // Guards against a pool that gets no machine at its demand peak while spares are idle: its owner's loop
    // takes 200 ms per iteration, the fleet's owner waits 150 ms for demands, plans without the missing ones,
    // and drops an answer that arrives after the next round has begun.
    start_test_log();
    for (const milliseconds owner_takes : {20ms, 100ms, 250ms}) {
        INFO("the pool's owner answers after ", owner_takes.count(), " ms");
        CHECK(pool_gets_machines({.owner = owner_takes}));
    }
}

TEST_CASE("a pool gets machines while another pool's owner is dead") {
    // Guards against pools that get no machine for two seconds while another pool's owner is dead: each round
    // waits 150 ms for that owner, and the list of machines is dropped because it arrives after the next
    // round has begun.
    start_test_log();
    for (const milliseconds list_takes : {0ms, 20ms, 200ms}) {
        INFO("the list of machines takes ", list_takes.count(), " ms");
        CHECK(pool_gets_machines({.list = list_takes, .other_owner = false}));
    }
}

TEST_CASE("a list of machines that takes longer than a round is used") {
    // Guards against pools that get no machine while the platform is slow, fifty times its usual few
    // milliseconds: each list arrives after the next round has begun.
    start_test_log();
    CHECK(pool_gets_machines({.list = 300ms}));
}
