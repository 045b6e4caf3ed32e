#include "fakes/platform_store.hpp"
#include "net/loop_until.hpp"
#include "node/narrow_store.hpp"
#include "node/store_health.hpp"
#include "node/watch_task.hpp"

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
    narrow_store narrow(bytes_per_s);
    event_loop& loop = narrow.loop;
    fakes::platform_store& store = narrow.store;
    store.put("sp/job/p/a", std::string(item_bytes, 'x'));
    platform::store_client client(loop, {"127.0.0.1", narrow.port}, 4);
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

// Guards against VMs and a store that count as unreachable, since their answers arrive behind a large one.
TEST_CASE("a large answer leaves a part of the link to other answers") {
    constexpr double link_mbps = 2;
    constexpr std::size_t link_bytes_per_s = 250'000;
    constexpr std::size_t item_bytes = 150'000; // 200 KB in the answer's encoding.
    constexpr std::size_t answer_bytes = item_bytes * 4 / 3;
    struct shared_link_case {
        std::string description;
        std::size_t other_bytes_per_s = 0;
        double large_share = 0; ///< Of the link, for the large answer.
    };
    const std::vector<shared_link_case> cases{{"nothing else arrives", 0, 2.0 / 3},
                                              {"VMs answer", 60'000, 0.43},
                                              {"the link is full of other answers", 250'000, 0.25}};
    for (const shared_link_case& item : cases) {
        INFO(item.description);
        event_loop loop;
        fakes::platform_store store(loop);
        REQUIRE(store.listen({"127.0.0.1", 0}));
        store.put("sp/job/p/a", std::string(item_bytes, 'x'));
        platform::store_client client(loop, {"127.0.0.1", store.port()}, link_mbps);
        client.set_other_receive_rate(item.other_bytes_per_s);
        std::optional<platform::store_status> listed;
        const timestamp began = event_loop::now();
        client.range("sp/job/", {}, [&](const platform::store_answer& answer) { listed = answer.status; });
        std::optional<platform::store_status> read;
        client.get("sp/none", [&](const platform::store_answer& answer) { read = answer.status; });
        REQUIRE(loop_until(loop, [&] { return read.has_value(); }));
        CHECK_FALSE(listed.has_value());
        REQUIRE(loop_until(loop, [&] { return listed.has_value(); }));
        CHECK(listed == platform::store_status::ok);
        const std::chrono::duration<double> elapsed = event_loop::now() - began;
        const double share = answer_bytes / elapsed.count() / link_bytes_per_s;
        CHECK(share < item.large_share * 1.5);
        CHECK(share > item.large_share * 0.7);
    }
}

// Guards against a pool without an owner for seconds: the stored state that its new owner reads shares the
// link equally with configurations.
TEST_CASE("the first listing of a watch may use the whole link, later ones may not") {
    constexpr std::size_t item_bytes = 150'000;
    constexpr milliseconds background_time = 1s; // 200 KB at two thirds of 250 KB/s take 1.2 s.
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    store.put("sp/inbox/p/submit/a", std::string(item_bytes, 'x'));
    platform::store_client client(loop, {"127.0.0.1", store.port()}, 2);
    bool listed = false;
    std::size_t changes = 0;
    node::watch_task watch(loop, client, "sp/inbox/p/submit/", 1s,
                           [&](const platform::store_item&) { ++changes; });
    timestamp began = event_loop::now();
    watch.start([&] { listed = true; });
    REQUIRE(loop_until(loop, [&] { return listed; }));
    CHECK(event_loop::now() - began < background_time / 2);
    CHECK(client.background_bytes_received() == 0);
    store.hold_watches("sp/");
    store.put("sp/inbox/p/submit/b", "y");
    began = event_loop::now();
    watch.refresh();
    REQUIRE(loop_until(loop, [&] { return changes == 2; }));
    CHECK(event_loop::now() - began > background_time / 2);
    CHECK(client.background_bytes_received() > item_bytes);
}
