#include "node/fleet_fixture.hpp"
#include "node/fleet_timing.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a fleet's owner whose calls grow with the machines until its link is full.
TEST_CASE("machines are listed at the same number of pages a second at every size") {
    constexpr milliseconds observed = 4s;
    constexpr std::size_t max_pages = 50;
    for (const std::size_t machines : {1'000U, 4'000U, 6'000U}) {
        CAPTURE(machines);
        fleet_fixture fleet;
        fleet.add_machines(machines, "p");
        fleet.start();
        REQUIRE(fleet.run_until([&] { return fleet.pages() * fleet_fixture::machines_per_page >= machines; },
                                8s));
        const std::size_t before = fleet.pages();
        fleet.run_for(observed);
        CHECK(fleet.pages() > before);
        CHECK(fleet.pages() - before <= max_pages);
    }
}

// Guards against demand answers, which name each VM, that grow with the fleet and with its rounds.
TEST_CASE("rounds of a large fleet look at the same number of machines a second") {
    CHECK(node::round_interval(0) == 160ms);
    CHECK(node::round_interval(2'500) == 160ms);
    for (const std::size_t machines : {5'000U, 10'000U, 20'000U}) {
        CHECK(machines * 1000 / static_cast<std::size_t>(node::round_interval(machines).count()) <= 16'100);
    }
}

// Guards against a wave that counts machines by a list from before its last order.
TEST_CASE("a wave's rounds list the machines each time") {
    fleet_fixture fleet;
    fleet.add_machines(1'000, "p");
    fleet.add_wave({"p0", "p1"});
    fleet.start();
    REQUIRE(fleet.run_until([&] { return fleet.lists() > 0; }, 8s));
    const std::size_t before = fleet.lists();
    fleet.run_for(2s);
    CHECK(fleet.lists() - before >= 8);
}

// Guards against pools that get no machine while the platform takes seconds for a list.
TEST_CASE("rounds go on by the list before while the machines are listed slowly") {
    fleet_fixture fleet;
    fleet.add_machines(1'000, "q");
    for (const char* name : {"m1", "m2"}) {
        fleet.add_machine(name, "p");
    }
    fleet.add_machines(4, "spare");
    fleet.start();
    REQUIRE(fleet.run_until([&] { return fleet.lists() > 0; }, 8s));
    fleet.run_for(500ms);
    fleet.set_list_delay(500ms); // Six pages: three seconds.
    fleet.run_for(500ms);
    fleet.set_demand_source([&](const std::string& pool, const node::peer_server::reply& done) {
        done(pool == "p" ? peak_demand() : node::make_answer(node::peer_outcome::ok));
    });
    CHECK(fleet.run_until([&] { return !fleet.moves().empty(); }, 1s));
}

// Guards against a pool that gets no machine of a kind because a move of a machine that is gone was refused.
TEST_CASE("a refused move counts against its kind only while the machine is listed") {
    for (const bool is_gone : {true, false}) {
        CAPTURE(is_gone);
        fleet_fixture fleet;
        for (const char* name : {"m1", "m2"}) {
            fleet.add_machine(name, "p");
        }
        fleet.add_machine("spare0", "spare");
        fleet.refuse_moves(true);
        fleet.set_demand_source([&](const std::string& pool, const node::peer_server::reply& done) {
            done(pool == "p" ? peak_demand() : node::make_answer(node::peer_outcome::ok));
        });
        fleet.start();
        REQUIRE(fleet.run_until([&] { return !fleet.moves().empty(); }, 8s));
        if (is_gone) {
            fleet.remove_machine("spare0");
        }
        fleet.refuse_moves(false);
        fleet.run_for(1s);
        fleet.add_machine("spare1", "spare");
        const std::size_t before = fleet.moves().size();
        CHECK(fleet.run_until([&] { return fleet.moves().size() > before; }, 2s) == is_gone);
    }
}
