#include "fakes/fault_proxy.hpp"
#include "node/configuration_task.hpp"
#include "node/node_deployment.hpp"

#include <algorithm>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string added_queue = "/fares/";
const std::string job = "00000000000000aa";
/// Time within which a new configuration must be in force, in the nodes' settings.
constexpr milliseconds configuration_time = 2s;
/// A call is refused at once, or after one question to the store.
constexpr milliseconds max_refusal_time = 500ms;
/// Time after the loss of a link within which a node must follow the store again.
constexpr milliseconds contact_time = 3s;

void wait(node_deployment& d, milliseconds time) {
    const timestamp began = event_loop::now();
    REQUIRE(d.until([&] { return event_loop::now() - began >= time; }));
}

std::string configuration_with(std::int64_t version, const std::vector<std::string>& prefixes,
                               std::size_t max_body_bytes = 65'536) {
    jobs::fleet_configuration result;
    result.version = version;
    for (const std::string& prefix : prefixes) {
        result.queues.push_back(quotes_queue(prefix));
        result.queues.back().name = prefix;
    }
    result.pools = {{"p", false}};
    result.max_body_bytes = max_body_bytes;
    return platform::encode_configuration(result);
}

} // namespace

// Guards against clients that are told 404 for a queue which the operator added more than the allowed time
// before.
TEST_CASE("a node whose watch reports no change finds an added queue") {
    struct added_queue_case {
        std::string description;
        std::string prefix; ///< Of the queue that the new version has.
        std::string method;
        std::string target;
        int code = 0;
    };
    const std::vector<added_queue_case> cases{
        {"count", added_queue, "GET", added_queue, 200},
        {"submit", added_queue, "POST", added_queue + job, 200},
        {"status of an unknown job", added_queue, "GET", added_queue + job, 410},
        {"longer prefix, where the shorter one has no such call", "/quotes/new/", "POST",
         "/quotes/new/" + job, 200},
        {"queue that no version has", added_queue, "GET", "/none/", 404}};
    for (const added_queue_case& item : cases) {
        INFO(item.description);
        node_deployment d;
        d.serve_with_one_vm(100ms);
        d.store.hold_watches(std::string(platform::operator_prefix));
        d.configure(configuration_with(4, {"/quotes/", item.prefix}));
        wait(d, configuration_time);
        CHECK(d.call("n1", item.method, item.target, item.method == "POST" ? d.job_body(1) : "").code ==
              item.code);
    }
}

// Guards against a count of a queue that the operator dropped more than the allowed time before.
TEST_CASE("a node that is behind does not count a queue that a newer version has dropped") {
    struct dropped_queue_case {
        std::string description;
        double link_mbps = 1000;
        int code = 0;
        int code_of_kept_queue = 0;
    };
    const std::vector<dropped_queue_case> cases{{"the store is asked", 1000, 404, 200},
                                                {"narrow link", 2, 503, 503}};
    for (const dropped_queue_case& item : cases) {
        INFO(item.description);
        node_deployment d;
        d.configure(configuration_with(3, {"/quotes/", added_queue}));
        d.add_vm("v1", 100ms);
        d.start_node("n1", [&](node::node_settings& settings) { settings.link_mbps = item.link_mbps; });
        d.wait_until_serving("n1");
        CHECK(d.call("n1", "GET", added_queue).code == 200);
        d.store.hold_watches(std::string(platform::operator_prefix));
        d.configure(configuration_with(4, {"/quotes/"}));
        wait(d, configuration_time);
        CHECK(d.call("n1", "GET", added_queue).code == item.code);
        CHECK(d.call("n1", "GET", "/quotes/").code == item.code_of_kept_queue);
    }
}

TEST_CASE("a node whose watch reports no change accepts a job by a newer limit on its size") {
    node_deployment d;
    d.serve_with_one_vm(100ms);
    d.store.hold_watches(std::string(platform::operator_prefix));
    const std::string large_body = d.job_body(1) + std::string(70'000, ' ');
    d.configure(configuration_with(4, {"/quotes/"}, 100'000));
    wait(d, configuration_time);
    CHECK(d.call("n1", "POST", "/quotes/" + job, large_body).code == 200);
}

// Guards against a 404 that nothing proves, and against clients that wait for a store which does not answer.
TEST_CASE("a node that can't reach the store has clients of an unknown queue return") {
    struct store_case {
        std::string description;
        double link_mbps = 1000;
        std::function<void(fakes::platform_store&)> fail;
    };
    const std::vector<store_case> cases{
        {"store busy", 1000, [](fakes::platform_store& store) { store.set_busy(true); }},
        {"store silent", 1000, [](fakes::platform_store& store) { store.set_silent(true); }},
        {"narrow link", 2,
         [](fakes::platform_store& store) { store.hold_watches(std::string(platform::operator_prefix)); }}};
    for (const store_case& item : cases) {
        INFO(item.description);
        node_deployment d;
        d.add_vm("v1", 100ms);
        d.start_node("n1", [&](node::node_settings& settings) { settings.link_mbps = item.link_mbps; });
        d.wait_until_serving("n1");
        CHECK(d.call("n1", "GET", added_queue).code == 404);
        item.fail(d.store);
        wait(d, configuration_time);
        const timestamp sent = event_loop::now();
        const http_answer refused = d.call("n1", "GET", added_queue);
        CHECK(refused.code == 503);
        CHECK(refused.headers.get("Retry-After") == "1");
        CHECK(event_loop::now() - sent < max_refusal_time);
    }
}

TEST_CASE("a node that a peer has told of a newer version doesn't refuse a queue as unknown") {
    node_deployment d;
    d.serve_with_one_vm(100ms);
    const std::uint16_t port = d.store.open_second_port();
    d.start_node("n2", [port](node::node_settings& settings) {
        settings.store.port = port;
        settings.configuration_time = 8s; // The age of the copy does not matter here.
    });
    d.wait_until_serving("n2");
    d.store.set_second_port_busy(true);
    // Until the watch that was open has ended.
    wait(d, node::configuration_watch_wait(node::configuration_ages_of(*d.nodes["n2"].settings)) + 100ms);
    d.configure(configuration_with(4, {"/quotes/", added_queue}));
    REQUIRE(d.until([&] { return d.metric("n1", "siskinpaddle_configuration_version") == 4; }));
    CHECK(d.call("n2", "GET", added_queue).code == 404);
    CHECK(d.call("n2", "POST", "/quotes/" + job, d.job_body(1)).code == 200); // Answered by "n1".
    const http_answer refused = d.call("n2", "GET", added_queue);
    CHECK(refused.code == 503);
    CHECK(refused.headers.get("Retry-After") == "1");
}

TEST_CASE("a configuration comes into force in time after all connections to the store went silent") {
    // Guards against a node that waits for one timeout on each of its idle connections, of which none works.
    node_deployment d;
    fakes::fault_proxy link(d.loop, {"127.0.0.1", d.store.port()});
    const std::uint16_t port = link.listen();
    REQUIRE(port != 0);
    d.add_vm("v1", 100ms);
    d.start_node("n1", [port](node::node_settings& settings) { settings.store.port = port; });
    d.wait_until_serving("n1");
    for (int i = 0; i < 20; ++i) {
        d.call("n1", "POST", "/quotes/" + std::to_string(1'000'000'000'000'000 + i), d.job_body(1));
    }
    link.silence_connections();
    const timestamp silent_since = event_loop::now();
    d.configure(configuration_with(4, {added_queue}));
    REQUIRE(d.until([&] { return d.metric("n1", "siskinpaddle_configuration_version") == 4; }));
    CHECK(event_loop::now() - silent_since < contact_time);
}
