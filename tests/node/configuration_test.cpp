#include "fakes/platform_store.hpp"
#include "net/loop_until.hpp"
#include "node/configuration_task.hpp"
#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("peers that know a newer version don't make a node read the configuration over and over") {
    // A queue that the operator added ten seconds ago is answered with 404 by one node. Its link is slow and
    // the configuration large; each answer of a peer named the newer version, each began another reading, and
    // the readings that were given up for it used the link up.
    start_test_log();
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    store.put("op/config", node_deployment::configuration(2));
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    node::configuration_task configuration(loop, client, [] {});
    configuration.start();
    REQUIRE(loop_until(loop, [&] { return configuration.known(); }));
    const std::size_t before = store.calls("/v1/kv-range");
    store.set_silent(true); // As slow as can be: nothing of an answer arrives.
    int answers_of_peers = 0;
    REQUIRE(loop_until(loop, [&] {
        configuration.heard_of(4);
        return ++answers_of_peers >= 400;
    }));
    // A reading is given up after 1.5 s; this many would fit only if the 400 answers took a minute.
    CHECK(store.calls("/v1/kv-range") - before <= 40);
    store.set_silent(false);
    store.put("op/config", node_deployment::configuration(4));
    CHECK(loop_until(loop, [&] {
        configuration.heard_of(4);
        return configuration.current().version == 4;
    }));
}
