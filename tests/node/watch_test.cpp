#include "fakes/platform_store.hpp"
#include "net/loop_until.hpp"
#include "node/watch_task.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("a listing that is begun anew is not emptied by the retry of the one before") {
    // Accepted jobs are missing at their owner for good. A listing of the store failed for over a second;
    // when the store was back it was begun anew while the retry of the failed one still waited. The retry
    // emptied what the new listing had read of its first pages, and the rest was taken as whole.
    constexpr std::size_t items = 1000; // Twenty pages of the stand-in's.
    constexpr milliseconds iteration_time =
        10ms; // A page takes some turns: longer than the retry waits, in all.
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    for (std::size_t i = 0; i < items; ++i) {
        store.put("sp/inbox/p/submit/" + std::to_string(10'000 + i), "x");
    }
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    node::watch_task watch(loop, client, "sp/inbox/p/", 1200ms, [](const platform::store_item&) {});
    store.set_busy(true);
    bool ready = false;
    const timestamp begun = event_loop::now();
    watch.start([&] { ready = true; });
    const auto listings = [&] { return store.call_count("/v1/kv-range"); };
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - begun > 1200ms; }));
    const std::size_t before = listings();
    REQUIRE(loop_until(loop, [&] { return listings() > before; }));
    const timestamp refused = event_loop::now(); // The next retry waits 400 ms from about now.
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - refused > 50ms; }));
    store.set_busy(false);
    watch.refresh();
    std::unique_ptr<timer> busy;
    busy = loop.make_timer([&] {
        std::this_thread::sleep_for(iteration_time);
        busy->start(0ms);
    });
    busy->start(0ms);
    REQUIRE(loop_until(loop, [&] { return ready; }));
    CHECK(watch.items().size() == items);
}

TEST_CASE("on a narrow link a listing is not begun anew while its answer may still be on its way") {
    // Nodes refuse new queues for seconds after a configuration of 1,500 queues. Over a link of 2 Mbit/s its
    // 400 KB take 1.6 s; after a second the reading counted as stuck, another was begun beside it, and so on:
    // each took the others' bytes.
    struct link {
        double mbps = 0;
        std::size_t listings = 0; ///< Begun when asked again after 1.2 s without an answer.
    };
    for (const link& row : {link{1000, 2}, link{2, 1}}) {
        CAPTURE(row.mbps);
        event_loop loop;
        fakes::platform_store store(loop);
        REQUIRE(store.listen({"127.0.0.1", 0}));
        store.set_silent(true);
        platform::store_client client(loop, {"127.0.0.1", store.port()}, row.mbps);
        node::watch_task watch(loop, client, "op/", 1200ms, [](const platform::store_item&) {});
        const timestamp begun = event_loop::now();
        watch.start({});
        REQUIRE(loop_until(loop, [&] { return event_loop::now() - begun > 1200ms; }));
        watch.refresh();
        REQUIRE(loop_until(loop, [&] { return client.call_counts().at("range") >= row.listings; }));
        CHECK(client.call_counts().at("range") == row.listings);
    }
}
