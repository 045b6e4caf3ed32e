#include "net/loop_until.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <thread>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

constexpr std::size_t answer_bytes = 300'000;
constexpr std::size_t bytes_per_s = 200'000;
/// Time of one answer at the limit.
constexpr milliseconds limited_time{answer_bytes * 1000 / bytes_per_s};
/// What the limit lets through at once after a pause.
constexpr milliseconds saved_time = 250ms;

/// A server with large answers and small ones, and a client whose large answers are limited.
struct limited_client {
    event_loop loop;
    http_server server{loop, {}, [](const std::shared_ptr<server_request>& request) {
                           const bool large = request->target() == "/large";
                           request->reply(200, {}, large ? std::string(answer_bytes, 'x') : "small");
                       }};
    http_client client{loop, {.max_limited_read_rate = bytes_per_s}};

    limited_client() { REQUIRE(server.listen({"127.0.0.1", 0})); }

    void send(bool large, std::optional<http_answer>& answer) {
        http_call call;
        call.to = {"127.0.0.1", server.port()};
        call.target = large ? "/large" : "/small";
        call.timeout = 10s;
        call.is_limited = large;
        client.send(std::move(call), [&](http_answer result) { answer = std::move(result); });
    }

    milliseconds until_answered(const std::optional<http_answer>& answer) {
        const timestamp began = event_loop::now();
        REQUIRE(loop_until(loop, [&] { return answer.has_value(); }));
        CHECK(answer->status == exchange_status::answered);
        return event_loop::now() - began;
    }
};

} // namespace

// Guards against a node whose link is full of large answers, so that small ones arrive after their timeouts.
TEST_CASE("large answers are read at the limit, small ones at once") {
    limited_client c;
    std::optional<http_answer> large;
    std::optional<http_answer> small;
    const timestamp began = event_loop::now();
    c.send(true, large);
    c.send(false, small);
    CHECK(c.until_answered(small) < 200ms);
    CHECK_FALSE(large.has_value());
    c.until_answered(large);
    CHECK(large->body.size() == answer_bytes);
    CHECK(event_loop::now() - began >= limited_time - saved_time);
}

TEST_CASE("large answers share the limit") {
    limited_client c;
    std::optional<http_answer> first;
    std::optional<http_answer> second;
    const timestamp began = event_loop::now();
    c.send(true, first);
    c.send(true, second);
    c.until_answered(first);
    c.until_answered(second);
    CHECK(event_loop::now() - began >= 2 * limited_time - saved_time);
}

TEST_CASE("a connection that has carried a large answer is read without a limit again") {
    limited_client c;
    std::optional<http_answer> large;
    c.send(true, large);
    c.until_answered(large);
    for (int i = 0; i < 3; ++i) {
        std::optional<http_answer> small;
        c.send(false, small);
        CHECK(c.until_answered(small) < 200ms);
    }
}

TEST_CASE("a higher limit applies to an answer that is arriving") {
    limited_client c;
    std::optional<http_answer> large;
    const timestamp began = event_loop::now();
    c.send(true, large);
    c.client.set_limited_read_rate(100 * bytes_per_s);
    c.until_answered(large);
    CHECK(event_loop::now() - began < limited_time / 2);
}

// Guards against a busy node that reads a few kilobytes in each iteration of its loop.
TEST_CASE("a busy loop reads large answers at the limit") {
    limited_client c;
    std::optional<http_answer> large;
    std::unique_ptr<timer> work;
    work = c.loop.make_timer([&] {
        std::this_thread::sleep_for(100ms);
        work->start(1ms);
    });
    work->start(1ms);
    const timestamp began = event_loop::now();
    c.send(true, large);
    c.until_answered(large);
    CHECK(event_loop::now() - began < 2 * limited_time);
}

TEST_CASE("a call with a limit can be cancelled, and its client destroyed") {
    limited_client c;
    std::optional<http_answer> large;
    {
        http_client client(c.loop, {.max_limited_read_rate = bytes_per_s});
        http_call call;
        call.to = {"127.0.0.1", c.server.port()};
        call.target = "/large";
        call.is_limited = true;
        const std::uint64_t first = client.send(call, [](const http_answer&) {});
        client.send(call, [](const http_answer&) {});
        REQUIRE(loop_until(c.loop, [&] { return client.received_bytes(first) > 0; }));
        client.cancel(first);
    }
    c.send(true, large);
    c.until_answered(large);
}
