#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

const std::string job_a = "00000000000000aa";

int readiness_of(node_deployment& d, const std::string& node) {
    http_call request;
    request.to = d.nodes[node].settings->readiness;
    request.target = "/v1/readyz";
    return d.answer_to(std::move(request)).code;
}

/// Requests the job's status over a connection that the client would keep open.
http_answer status_over_kept_connection(node_deployment& d, const std::string& node) {
    http_call request;
    request.to = d.nodes[node].settings->clients;
    request.target = "/quotes/" + job_a;
    request.headers.add("Host", "h.example");
    request.timeout = 6s;
    http_answer result;
    bool done = false;
    d.client.send(std::move(request), [&](http_answer answer) {
        result = std::move(answer);
        done = true;
    });
    REQUIRE(d.until([&] { return done; }));
    return result;
}

bool is_closed_after_reply(const http_answer& answer) {
    return answer.headers.get("Connection") == "close";
}

} // namespace

TEST_CASE("an entry that is cut off together with a pool's owner asks its clients to reconnect") {
    // Guards against clients that are refused in a partitioned zone although nodes of other zones serve: the
    // entry can't reach the store, but the owner in its zone still responds. The entry must report that it is
    // not ready and close the connections that clients keep open.
    node_deployment d;
    d.serve_with_one_vm(60'000ms);
    d.start_node("n2");
    d.wait_until_serving("n2");
    REQUIRE(d.call("n2", "POST", "/quotes/" + job_a, d.job_body(1)).code == 200);
    REQUIRE(d.until([&] { return !is_closed_after_reply(status_over_kept_connection(d, "n2")); }));
    CHECK(readiness_of(d, "n2") == 200);

    d.store.set_silent(true);
    http_answer status;
    REQUIRE(d.until([&] {
        status = status_over_kept_connection(d, "n2");
        return is_closed_after_reply(status);
    }));
    CHECK(status.code == 200); // The owner still responds.
    CHECK(readiness_of(d, "n2") == 503);

    d.store.set_silent(false);
    CHECK(d.until([&] { return !is_closed_after_reply(status_over_kept_connection(d, "n2")); }));
    CHECK(readiness_of(d, "n2") == 200);
}
