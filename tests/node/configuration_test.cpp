#include "node/configuration_task.hpp"
#include "node/node_deployment.hpp"
#include "platform/wire.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("repeated reports of a newer version by peers cause a single read of the configuration") {
    // Guards against a node that refuses a queue with 404 ten seconds after the operator added it: over a
    // slow link, each peer's answer that named the newer version restarted the read of a large configuration,
    // and the abandoned reads used up the link.
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

TEST_CASE("a newer version that only peers report is read, though the watch returns nothing") {
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
