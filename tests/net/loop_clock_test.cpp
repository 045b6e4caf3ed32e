#include "net/loop_until.hpp"
#include "net/net.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("the loop clock advances with the steady clock while the loop is idle") {
    event_loop loop;
    loop_clock clock(loop);
    CHECK(clock.read(event_loop::now()) == 0ms);
    const timestamp started_at = event_loop::now();
    clock.start();
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - started_at >= 600ms; }));
    const milliseconds elapsed = clock.read(event_loop::now());
    CHECK(elapsed <= event_loop::now() - started_at);
    CHECK(elapsed >= 400ms); // Each tick may be slightly late.
}

TEST_CASE("the duration of a handler counts as at most one tick") {
    // Guards against an entry that refuses every job because it takes the store for unresponsive: its loop
    // spends a second in one handler while the store's answer stays unread in the socket.
    event_loop loop;
    loop_clock clock(loop);
    clock.start();
    loop.post([] { std::this_thread::sleep_for(1s); });
    REQUIRE(loop_until(loop, [&] { return clock.read(event_loop::now()) >= loop_clock::tick; }));
    CHECK(clock.read(event_loop::now()) <= 3 * loop_clock::tick);
}

TEST_CASE("the loop clock doesn't advance while it is stopped") {
    event_loop loop;
    loop_clock clock(loop);
    clock.start();
    REQUIRE(loop_until(loop, [&] { return clock.read(event_loop::now()) >= 100ms; }));
    clock.stop();
    const milliseconds elapsed = clock.read(event_loop::now());
    const timestamp stopped_at = event_loop::now();
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - stopped_at >= 200ms; }));
    CHECK(clock.read(event_loop::now()) == elapsed);
    clock.start();
    REQUIRE(loop_until(loop, [&] { return clock.read(event_loop::now()) > elapsed; }));
}
