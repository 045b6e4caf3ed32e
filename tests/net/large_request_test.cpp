#include "net/loop_until.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;

TEST_CASE("a large request does not take an iteration of the event loop per few kilobytes") {
    // Guards against timeouts of clients and entries that send large jobs to a busy node. A server connection
    // reads 4 KB per iteration of 150 to 200 ms: reading a job of 64 KB takes three seconds, and the entry
    // stops waiting for the pool's owner after 0.9 s and leaves the job in the inbox.
    constexpr std::size_t body_size = 256UL * 1024;
    // The client writes 16 KB per iteration: 16 iterations, and some to connect.
    constexpr int max_iterations = 32;
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
        std::this_thread::sleep_for(2ms); // Lets bytes written in one iteration arrive by the next.
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
