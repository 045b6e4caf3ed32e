#include "net/loop_until.hpp"
#include "platform/machine_client.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using siskinpaddle::tests::loop_until;

TEST_CASE("an unreadable list of machines does not count as an empty list") {
    // Guards against a wave that is reported as completed although none of its machines had maintenance: the
    // platform's list of machines can't be parsed, is read as a complete list without machines, and machines
    // that are not listed count as removed.
    for (const char* body :
         {R"({"machines":[{"machine":"m1","pool":"p")", "", "[]", R"({"machines":"none"})"}) {
        INFO(std::string(body));
        event_loop loop;
        http_server server(
            loop, {}, [&](const std::shared_ptr<server_request>& request) { request->reply(200, {}, body); });
        REQUIRE(server.listen({"127.0.0.1", 0}));
        platform::machine_client client(loop, {"127.0.0.1", server.port()});
        std::optional<platform::machine_list> list;
        client.list([&](platform::machine_list answer) { list = std::move(answer); });
        REQUIRE(loop_until(loop, [&] { return list.has_value(); }));
        CHECK_FALSE(list->is_complete);
    }
}
