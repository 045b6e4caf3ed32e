#include "net/loop_until.hpp"
#include "net/raw_server.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;
using siskinpaddle::tests::raw_server;

namespace {

struct slow_answer {
    const char* story;
    int parts; ///< That come, of ten.
    milliseconds longest;
    exchange_status status;
};

constexpr int all_parts = 10;
constexpr milliseconds between_parts = 100ms;
constexpr milliseconds timeout = 500ms;

} // namespace

TEST_CASE("a call for a large answer lasts as long as the answer goes on arriving") {
    // After all nodes lost power two of four pools have no owner for the rest of the day. Their new owners
    // read the accepted jobs, 340 KB over a link of 2 Mbit/s, and each time gave the page up after 1.5 s,
    // with most of it there, and asked for it again.
    using s = exchange_status;
    const std::vector<slow_answer> rows{
        {"goes on arriving", all_parts, 10s, s::answered},
        {"stops half-way", all_parts / 2, 10s, s::timed_out},
        {"arrives too slowly in all", all_parts, 700ms, s::timed_out},
        {"no such allowance", all_parts, 0ms, s::timed_out},
    };
    for (const slow_answer& row : rows) {
        CAPTURE(row.story);
        event_loop loop;
        raw_server server(
            loop, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(all_parts) + "\r\n\r\n", false);
        http_client client(loop);
        http_call call;
        call.to = server.where();
        call.timeout = timeout;
        call.longest = row.longest;
        std::optional<http_answer> answer;
        client.send(std::move(call), [&](http_answer result) { answer = std::move(result); });
        int sent = 0;
        std::unique_ptr<timer> next;
        next = loop.make_timer([&] {
            if (sent++ < row.parts) {
                server.send_more("x");
                next->start(between_parts);
            }
        });
        next->start(between_parts);
        REQUIRE(loop_until(loop, [&] { return answer.has_value(); }));
        CHECK(name_of(answer->status) == name_of(row.status));
    }
}
