#include "net/loop_until.hpp"
#include "net/raw_server.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;
using siskinpaddle::tests::raw_server;

TEST_CASE("a large answer does not take a turn of the loop for each few kilobytes") {
    // A pool's owner in the peak of a turn follows the store with a copy that is 5.8 to 7.6 s old, and counts
    // 12 of 55 waiting jobs. Its loop takes 150 to 200 ms a turn, and libevent reads 4 KB of a connection in
    // a turn: of a watch's answer of 118,709 bytes half was there when the watch was given up. It was asked
    // for again, larger each time ("watch-resumed ... after_ms=4544 failures=2").
    constexpr std::size_t body_size = 256UL * 1024;
    constexpr int max_iterations =
        32; // The server writes 16 KB in a turn: 16 turns, and some to connect and to ask.
    event_loop loop;
    raw_server server(loop,
                      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n" +
                          std::string(body_size, 'x'),
                      false);
    http_client client(loop);
    int iterations = 0;
    std::unique_ptr<timer> iteration_timer;
    iteration_timer = loop.make_timer([&] {
        ++iterations;
        std::this_thread::sleep_for(2ms); // Long enough that what was written in a turn is there in the next.
        iteration_timer->start(0ms);
    });
    iteration_timer->start(0ms);
    http_call call;
    call.to = server.local_endpoint();
    call.method = "GET";
    call.timeout = 20s;
    http_answer answer;
    bool ended = false;
    client.send(std::move(call), [&](http_answer result) {
        answer = std::move(result);
        ended = true;
    });
    REQUIRE(loop_until(loop, [&] { return ended; }));
    CHECK(answer.status == exchange_status::answered);
    CHECK(answer.body.size() == body_size);
    CHECK(iterations <= max_iterations);
}
