#include "net/loop_until.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;

TEST_CASE("a large request does not take a turn of the loop for each few kilobytes") {
    // Clients of large jobs, and entries that hand them to the pool's owner, wait until their time is up at a
    // node whose loop takes 150 to 200 ms a turn. A server's connections read 4 KB in a turn: a job of 64 KB
    // is read for three seconds, the entry gives its owner up after 0.9 s and leaves the job in the inbox.
    constexpr std::size_t body_size = 256UL * 1024;
    constexpr int max_iterations = 32; // The client writes 16 KB in a turn: 16 turns, and some to connect.
    event_loop loop;
    std::size_t received = 0;
    http_server server(loop, {.max_body = 1U << 20U}, [&](const std::shared_ptr<server_request>& request) {
        received = request->body().size();
        request->reply(200, {}, "");
    });
    REQUIRE(server.listen({"127.0.0.1", 0}));
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
    call.to = {"127.0.0.1", server.port()};
    call.method = "POST";
    call.timeout = 20s;
    call.body = std::string(body_size, 'x');
    bool ended = false;
    client.send(std::move(call), [&](const http_answer&) { ended = true; });
    REQUIRE(loop_until(loop, [&] { return ended; }));
    CHECK(received == body_size);
    CHECK(iterations <= max_iterations);
}
