#include "net/loop_until.hpp"
#include "net/raw_server.hpp"

#include <doctest/doctest.h>
#include <thread>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;
using siskinpaddle::tests::raw_server;

TEST_CASE("a large answer does not take an iteration of the event loop per few kilobytes") {
    // Guards against watch timeouts on a busy pool owner: libevent reads 4 KB per iteration of 150 to 200 ms,
    // half of an answer of 118,709 bytes before the timeout, and each retry is larger (2 failures in 4544
    // ms). The owner's copy of the store is then 5.8 to 7.6 s old and the owner counts 12 of 55 waiting jobs.
    constexpr std::size_t body_size = 256UL * 1024;
    // The server writes 16 KB per iteration: 16 iterations, and some to connect and to send the request.
    constexpr int max_iterations = 32;
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
        std::this_thread::sleep_for(2ms); // Lets bytes written in one iteration arrive by the next.
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
