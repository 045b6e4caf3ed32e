#include "node/configuration_task.hpp"
#include "node/node_deployment.hpp"
#include "platform/wire.hpp"

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
    const std::string key(platform::configuration_key);
    store.put(key, node_deployment::configuration(2));
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    node::configuration_task configuration(loop, client, [] {});
    configuration.start();
    REQUIRE(loop_until(loop, [&] { return configuration.is_loaded(); }));
    const std::string range_path(platform::wire::range_path);
    const std::size_t before = store.call_count(range_path);
    for (int answers_of_peers = 0; answers_of_peers < 400; ++answers_of_peers) {
        configuration.record_peer_version(4);
    }
    REQUIRE(loop_until(loop, [&] { return store.call_count(range_path) > before; }));
    store.put(key, node_deployment::configuration(4));
    CHECK(loop_until(loop, [&] { return configuration.current().version == 4; }));
    CHECK(store.call_count(range_path) == before + 1);
}

TEST_CASE("a newer version that only peers know of is read, though the watch brings nothing") {
    start_test_log();
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    const std::string key(platform::configuration_key);
    store.put(key, node_deployment::configuration(2));
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    node::configuration_task configuration(loop, client, [] {});
    configuration.start();
    REQUIRE(loop_until(loop, [&] { return configuration.is_loaded(); }));
    store.hold_watches(std::string(platform::operator_prefix));
    store.put(key, node_deployment::configuration(4));
    configuration.record_peer_version(4);
    CHECK(loop_until(loop, [&] { return configuration.current().version == 4; }));
}
