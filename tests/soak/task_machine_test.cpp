#include "fakes/task_machine.hpp"
#include "net/http_server.hpp"
#include "net/loop_until.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

// Guards against a soak that crashes when another process has taken the port of a VM that starts again.
TEST_CASE("a VM whose port is taken starts again once the port is free") {
    event_loop loop;
    fakes::platform_store store(loop);
    REQUIRE(store.listen({"127.0.0.1", 0}));
    fakes::task_machine::settings settings;
    settings.name = "v";
    settings.down_time = 50ms;
    fakes::task_machine machine(loop, store, settings);
    std::vector<endpoint> starts;
    machine.on_incarnation_start([&](const endpoint& address) { starts.push_back(address); });
    REQUIRE(machine.start());
    REQUIRE(starts.size() == 1);

    machine.crash();
    auto other = std::make_unique<http_server>(loop, http_server_limits{},
                                               [](const std::shared_ptr<server_request>&) {});
    REQUIRE(other->listen(starts.front()));
    loop_until(
        loop, [] { return false; }, 300ms);
    CHECK(starts.size() == 1);
    other.reset();
    CHECK(loop_until(
        loop, [&] { return starts.size() == 2; }, 2s));
    CHECK(starts.back().port == starts.front().port);
    CHECK(machine.vm()->incarnation() == "v-2");
}
