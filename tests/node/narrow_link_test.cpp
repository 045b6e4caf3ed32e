#include "fakes/fault_proxy.hpp"
#include "fakes/platform_store.hpp"
#include "net/loop_until.hpp"
#include "node/store_health.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a pool that passes from node to node: its new owner reads the stored jobs over a narrow
// link, takes its own full link for a failing store and hands the pool over before it has read them.
TEST_CASE("a store whose large answer fills the link does not count as failing") {
    constexpr std::size_t bytes_per_s = 500'000;
    constexpr std::size_t item_bytes = 750'000;
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    fakes::fault_proxy link(loop, {"127.0.0.1", store.port()});
    const std::uint16_t port = link.listen();
    REQUIRE(port != 0);
    link.set_rate(bytes_per_s);
    store.put("sp/job/p/a", std::string(item_bytes, 'x'));
    platform::store_client client(loop, {"127.0.0.1", port}, 4);
    std::optional<platform::store_status> listed;
    client.range("sp/job/", {}, [&](const platform::store_answer& answer) { listed = answer.status; });
    milliseconds longest(0);
    REQUIRE(loop_until(loop, [&] {
        longest = std::max(longest, client.unresponsive_for(event_loop::now()));
        return listed.has_value();
    }));
    CHECK(listed == platform::store_status::ok);
    CHECK(longest < node::store_failing_after);
}
