#include "net/loop_until.hpp"
#include "net/raw_server.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;
using siskinpaddle::tests::raw_server;

namespace {

struct slow_answer_case {
    const char* description;
    int sent_parts; ///< Number of parts that are sent, of ten.
    milliseconds max_duration;
    exchange_status status;
};

constexpr int total_parts = 10;
constexpr milliseconds part_interval = 100ms;
constexpr milliseconds timeout = 500ms;

} // namespace

TEST_CASE("a call for a large answer doesn't time out while the answer keeps arriving") {
    // Guards against pools that stay without an owner after all nodes lost power, two of four in one case:
    // each new owner reads the accepted jobs, 340 KB over a link of 2 Mbit/s, aborts each page after 1.5 s
    // with most of it received, and requests it again.
    using s = exchange_status;
    const std::vector<slow_answer_case> rows{
        {"keeps arriving", total_parts, 10s, s::answered},
        {"stops half-way", total_parts / 2, 10s, s::timed_out},
        {"exceeds the maximum duration", total_parts, 700ms, s::timed_out},
        {"no maximum duration given", total_parts, 0ms, s::timed_out},
    };
    for (const slow_answer_case& row : rows) {
        CAPTURE(row.description);
        event_loop loop;
        raw_server server(
            loop, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(total_parts) + "\r\n\r\n", false);
        http_client client(loop);
        http_call call;
        call.to = server.local_endpoint();
        call.timeout = timeout;
        call.max_duration = row.max_duration;
        std::optional<http_answer> answer;
        client.send(std::move(call), [&](http_answer result) { answer = std::move(result); });
        int sent = 0;
        std::unique_ptr<timer> part_timer;
        part_timer = loop.make_timer([&] {
            if (sent++ < row.sent_parts) {
                server.send_to_all("x");
                part_timer->start(part_interval);
            }
        });
        part_timer->start(part_interval);
        REQUIRE(loop_until(loop, [&] { return answer.has_value(); }));
        CHECK(name_of(answer->status) == name_of(row.status));
    }
}
