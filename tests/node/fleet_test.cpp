#include "node/fleet_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Delays of the answers to the fleet's owner.
struct answer_delays {
    milliseconds owner{20};  ///< Of the owner of the pool that needs machines.
    milliseconds list{0};    ///< Of the platform's list of machines.
    bool other_owner = true; ///< Whether the other pool's owner answers at all.
};

/// Whether a machine is ordered into the pool that needs machines.
bool pool_gets_machines(const answer_delays& delays) {
    fleet_fixture fleet;
    for (const char* name : {"m1", "m2"}) {
        fleet.add_machine(name, "p");
    }
    for (const char* name : {"m3", "m4"}) {
        fleet.add_machine(name, "spare");
    }
    fleet.set_list_delay(delays.list);
    fleet.set_demand_source([&](const std::string& pool, const node::peer_server::reply& done) {
        if (pool == "p") {
            fleet.answer_later(delays.owner, [done] { done(peak_demand()); });
        } else if (delays.other_owner) {
            done(node::make_answer(node::peer_outcome::ok));
        }
    });
    fleet.start();
    return fleet.run_until([&] { return !fleet.moves().empty(); }, 8s);
}

} // namespace

TEST_CASE("a pool whose owner is busy gets machines as well") {
    // Guards against a pool that gets no machine at its demand peak while spares are idle: its owner's loop
    // takes 200 ms per iteration, the fleet's owner waits 150 ms for demands, plans without the missing ones,
    // and drops an answer that arrives after the next round has begun.
    for (const milliseconds owner_takes : {20ms, 100ms, 250ms}) {
        INFO("the pool's owner answers after ", owner_takes.count(), " ms");
        CHECK(pool_gets_machines({.owner = owner_takes}));
    }
}

TEST_CASE("a pool gets machines while another pool's owner is dead") {
    // Guards against pools that get no machine for two seconds while another pool's owner is dead: each round
    // waits 150 ms for that owner, and the list of machines is dropped because it arrives after the next
    // round has begun.
    for (const milliseconds list_takes : {0ms, 20ms, 200ms}) {
        INFO("the list of machines takes ", list_takes.count(), " ms");
        CHECK(pool_gets_machines({.list = list_takes, .other_owner = false}));
    }
}

TEST_CASE("a list of machines that takes longer than a round is used") {
    // Guards against pools that get no machine while the platform is slow, fifty times its usual few
    // milliseconds: each list arrives after the next round has begun.
    CHECK(pool_gets_machines({.list = 300ms}));
}
