#include "net/loop_until.hpp"
#include "net/raw_server.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;
using siskinpaddle::tests::raw_server;

namespace {

constexpr std::size_t idle_connections = 6;
constexpr milliseconds timeout = 200ms;

/// Sends `count` calls at once and returns how many were answered.
std::size_t send_calls(event_loop& loop, http_client& client, const endpoint& to, std::size_t count) {
    std::size_t ended = 0;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < count; ++i) {
        http_call call;
        call.to = to;
        call.timeout = timeout;
        client.send(std::move(call), [&](const http_answer& answer) {
            ++ended;
            answered += answer.status == exchange_status::answered ? 1 : 0;
        });
    }
    REQUIRE(loop_until(loop, [&] { return ended == count; }));
    return answered;
}

} // namespace

// Guards against a client that waits for one timeout on each of its idle connections, of which none works.
TEST_CASE("a call that times out closes the connections that were idle before it") {
    event_loop loop;
    raw_server server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    http_client client(loop);
    const endpoint to = server.local_endpoint();
    REQUIRE(send_calls(loop, client, to, idle_connections) == idle_connections);
    server.silence_connections();
    CHECK(send_calls(loop, client, to, 1) == 0);
    CHECK(send_calls(loop, client, to, idle_connections) == idle_connections);
}

TEST_CASE("a call that times out leaves the connections that have worked since") {
    event_loop loop;
    raw_server server(loop, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
    http_client client(loop);
    const endpoint to = server.local_endpoint();
    REQUIRE(send_calls(loop, client, to, 1) == 1);
    server.silence_connections();
    bool timed_out = false;
    http_call call;
    call.to = to;
    call.timeout = timeout;
    client.send(std::move(call), [&](const http_answer&) { timed_out = true; });
    // A connection that becomes idle in the millisecond of the call counts as idle before it.
    const timestamp sent = event_loop::now();
    REQUIRE(loop_until(loop, [&] { return event_loop::now() > sent; }));
    REQUIRE(send_calls(loop, client, to, idle_connections) == idle_connections);
    REQUIRE(loop_until(loop, [&] { return timed_out; }));
    server.silence_connections();
    CHECK(send_calls(loop, client, to, 1) == 0); // Sent on one of the connections that were kept.
}
