#include "net/loop_until.hpp"
#include "net/net.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("the loop's clock goes with the steady clock while the loop is idle") {
    event_loop loop;
    loop_clock clock(loop);
    CHECK(clock.read(event_loop::now()) == 0ms);
    const timestamp began = event_loop::now();
    clock.run();
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - began >= 600ms; }));
    const milliseconds passed = clock.read(event_loop::now());
    CHECK(passed <= event_loop::now() - began);
    CHECK(passed >= 400ms); // Each tick may come a little late.
}

TEST_CASE("time that a handler takes counts as one tick, however long it is") {
    // An entry refuses every job, "the store fails": its loop took a second for one handler, and the store's
    // answer lay unread in the socket all the while.
    event_loop loop;
    loop_clock clock(loop);
    clock.run();
    loop.post([] { std::this_thread::sleep_for(1s); });
    REQUIRE(loop_until(loop, [&] { return clock.read(event_loop::now()) >= loop_clock::tick; }));
    CHECK(clock.read(event_loop::now()) <= 3 * loop_clock::tick);
}

TEST_CASE("the loop's clock stands still while it rests") {
    event_loop loop;
    loop_clock clock(loop);
    clock.run();
    REQUIRE(loop_until(loop, [&] { return clock.read(event_loop::now()) >= 100ms; }));
    clock.rest();
    const milliseconds passed = clock.read(event_loop::now());
    const timestamp rested = event_loop::now();
    REQUIRE(loop_until(loop, [&] { return event_loop::now() - rested >= 200ms; }));
    CHECK(clock.read(event_loop::now()) == passed);
    clock.run();
    REQUIRE(loop_until(loop, [&] { return clock.read(event_loop::now()) > passed; }));
}
