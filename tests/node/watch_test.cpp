#include "fakes/platform_store.hpp"
#include "net/loop_until.hpp"
#include "node/narrow_store.hpp"
#include "node/watch_task.hpp"
#include "platform/wire.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("a listing that is started again is not cleared by the retry of the previous one") {
    // Guards against accepted jobs that stay unknown to their owner: a listing fails for over a second, and a
    // new one starts while the retry of the failed one is pending. The retry would clear the first pages of
    // the new listing, and the rest would count as complete.
    constexpr std::size_t items = 1000; // Twenty pages of the fake store.
    // A page takes several iterations of the loop, and all pages together take longer than the retry delay.
    constexpr milliseconds iteration_time = 10ms;
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
    const auto listings = [&] { return store.call_count(std::string(platform::wire::range_path)); };
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - begun > 1200ms; }));
    const std::size_t before = listings();
    REQUIRE(loop_until(loop, [&] { return listings() > before; }));
    const timestamp refused = event_loop::now(); // The next retry starts 400 ms after about this time.
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

TEST_CASE("on a narrow link a listing is not started again while its answer may still be in flight") {
    // Guards against nodes that refuse new queues for seconds after a configuration of 1,500 queues: over a
    // link of 2 Mbit/s its 400 KB take 1.6 s. If a listing counted as stuck after a second, another one would
    // start beside it, and all of them would compete for bandwidth.
    struct link {
        double mbps = 0;
        std::size_t listings = 0; ///< Started when a refresh follows 1.2 s without an answer.
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
        REQUIRE(
            loop_until(loop, [&] { return client.calls_by_purpose().at("range-op").calls >= row.listings; }));
        CHECK(client.calls_by_purpose().at("range-op").calls == row.listings);
    }
}

TEST_CASE("over a narrow link a watch that is behind does not transfer each state of a large item") {
    // Guards against a node that is many versions behind during a series of large configurations: each state
    // takes seconds, and the next watch returns all states since then.
    constexpr std::size_t bytes_per_s = 1'000'000;
    constexpr std::size_t item_bytes = 600'000;
    constexpr int last_state = 6;
    narrow_store narrow(bytes_per_s);
    event_loop& loop = narrow.loop;
    fakes::platform_store& store = narrow.store;
    platform::store_client client(loop, {"127.0.0.1", narrow.port}, 8);
    const auto state = [](int number) { return std::string(item_bytes, static_cast<char>('0' + number)); };
    store.put("op/large", "0");
    std::vector<std::string> seen;
    std::vector<std::string> removed;
    node::watch_task watch(loop, client, "op/", 1s, [&](const platform::store_item& item) {
        if (item.deleted) {
            removed.push_back(item.key);
        } else {
            seen.push_back(item.key == "op/large" ? item.value.substr(0, 1) : item.key);
        }
    });
    watch.set_large_item("op/large");
    bool ready = false;
    watch.start([&] { ready = true; });
    REQUIRE(loop_until(loop, [&] { return ready; }));
    store.put("op/wave/1", "old");
    REQUIRE(loop_until(loop, [&] { return seen.size() == 2; }));
    store.put("op/large", state(1));
    REQUIRE(loop_until(loop, [&] { return watch.arriving_bytes() > 0; }));
    for (int number = 2; number <= last_state; ++number) {
        store.put("op/large", state(number));
    }
    store.put("op/wave/2", "new");
    store.remove("op/wave/1");
    REQUIRE(
        loop_until(loop, [&] { return std::ranges::find(seen, std::to_string(last_state)) != seen.end(); }));
    std::ranges::sort(seen);
    CHECK(seen == std::vector<std::string>{"0", "1", std::to_string(last_state), "op/wave/1", "op/wave/2"});
    CHECK(removed == std::vector<std::string>{"op/wave/1"});
    store.put("op/large", "7");
    CHECK(loop_until(loop, [&] { return seen.back() == "7"; }));
}

TEST_CASE("of several states of a large item in one answer only the newest is reported") {
    // Guards against a node that decodes tens of large configurations in a row after it could not follow the
    // store for some seconds.
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    std::vector<std::string> seen;
    node::watch_task watch(loop, client, "op/", 200ms,
                           [&](const platform::store_item& item) { seen.push_back(item.value); });
    watch.set_large_item("op/large");
    bool ready = false;
    watch.start([&] { ready = true; });
    REQUIRE(loop_until(loop, [&] { return ready; }));
    store.hold_watches("op/");
    for (const char* value : {"1", "2", "3"}) {
        store.put("op/large", value);
    }
    for (const char* value : {"u", "v"}) {
        store.put("op/wave/1", value);
    }
    store.hold_watches({});
    REQUIRE(loop_until(loop, [&] { return seen.size() >= 3; }));
    CHECK(seen == std::vector<std::string>{"3", "u", "v"});
}

TEST_CASE("a watch whose answer is too large lists the items instead") {
    // Guards against a node that asks for the same answer again and again: twenty large configurations exceed
    // what it reads.
    constexpr std::size_t item_bytes = 1'000'000;
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    std::string newest;
    node::watch_task watch(loop, client, "op/", 1s,
                           [&](const platform::store_item& item) { newest = item.value.substr(0, 1); });
    bool ready = false;
    watch.start([&] { ready = true; });
    REQUIRE(loop_until(loop, [&] { return ready; }));
    store.hold_watches("op/");
    for (int number = 0; number < 10; ++number) {
        store.put("op/large", std::string(item_bytes, static_cast<char>('a' + number)));
    }
    store.hold_watches({});
    CHECK(loop_until(loop, [&] { return newest == "j"; }));
}

// Guards against a node on a narrow link that reads a configuration from the beginning again each time that a
// peer names a newer one, and so has none of them.
TEST_CASE("a refresh leaves an answer alone that is arriving") {
    constexpr std::size_t bytes_per_s = 500'000;
    constexpr std::size_t item_bytes = 600'000;
    narrow_store narrow(bytes_per_s);
    event_loop& loop = narrow.loop;
    fakes::platform_store& store = narrow.store;
    platform::store_client client(loop, {"127.0.0.1", narrow.port}, 8);
    std::string newest;
    node::watch_task watch(loop, client, "op/", 1s,
                           [&](const platform::store_item& item) { newest = item.value.substr(0, 1); });
    watch.set_large_item("op/large");
    store.put("op/large", "0");
    bool ready = false;
    watch.start([&] { ready = true; });
    REQUIRE(loop_until(loop, [&] { return ready; }));
    store.put("op/large", std::string(item_bytes, '1'));
    REQUIRE(loop_until(loop, [&] { return watch.arriving_bytes() > 0; }));
    const std::size_t watches = store.call_count(std::string(platform::wire::watch_path));
    const std::size_t listings = store.call_count(std::string(platform::wire::range_path));
    std::size_t arrived = 0;
    CHECK(loop_until(loop, [&] {
        if (newest == "1") {
            return true;
        }
        watch.refresh();
        CHECK(watch.arriving_bytes() >= arrived);
        CHECK(store.call_count(std::string(platform::wire::watch_path)) == watches);
        CHECK(store.call_count(std::string(platform::wire::range_path)) == listings);
        arrived = watch.arriving_bytes();
        return false;
    }));
}

// Guards against a node that reads the whole configuration again after each outage of the store.
TEST_CASE("a refresh does not read a large item that is unchanged") {
    constexpr std::size_t item_bytes = 100'000;
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    platform::store_client client(loop, {"127.0.0.1", store.port()});
    std::vector<std::string> seen;
    node::watch_task watch(loop, client, "op/", 1s, [&](const platform::store_item& item) {
        seen.push_back(item.key + "=" + item.value.substr(0, 1));
    });
    watch.set_large_item("op/large");
    store.put("op/large", std::string(item_bytes, '1'));
    bool ready = false;
    watch.start([&] { ready = true; });
    REQUIRE(loop_until(loop, [&] { return ready; }));
    const std::uint64_t received = client.traffic().received;
    store.hold_watches("op/");
    store.put("op/wave/1", "w");
    watch.refresh();
    REQUIRE(loop_until(loop, [&] { return seen.size() == 2; }));
    CHECK(client.traffic().received - received < item_bytes);
    store.put("op/large", std::string(item_bytes, '2'));
    watch.refresh();
    REQUIRE(loop_until(loop, [&] { return seen.size() == 3; }));
    CHECK(seen == std::vector<std::string>{"op/large=1", "op/wave/1=w", "op/large=2"});
}
