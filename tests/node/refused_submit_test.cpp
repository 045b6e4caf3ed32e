#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// The platform's longest payload of a job.
constexpr std::size_t payload_bytes = 4000;
constexpr int refused_jobs = 20;

std::string job_id(char first_digit, int number) {
    return std::string(1, first_digit) + "0000000000000" + std::to_string(number);
}

/// Starts the owner "n1" and the entry "n2", and submits jobs through the entry until one is refused for
/// load. Without a VM, jobs wait and more are soon refused.
void start_overloaded_pool(node_deployment& d) {
    for (const char* node : {"n1", "n2"}) {
        d.start_node(node);
        d.wait_until_serving(node);
    }
    int submitted = 10;
    while (submitted < 99 &&
           d.call("n2", "POST", "/quotes/" + job_id('b', submitted), d.job_body(4000)).code != 429) {
        ++submitted;
    }
    REQUIRE(submitted < 99);
}

} // namespace

// Guards against an owner's link that is full of submits which the owner refuses, while the reports of its
// VMs and the renewals of its claim wait behind them.
TEST_CASE("jobs that an overloaded owner refuses don't send their payload over its link") {
    node_deployment d;
    start_overloaded_pool(d);
    const std::string payload(payload_bytes, 'x');
    const std::string received = "siskinpaddle_link_received_bytes{end=\"served\"}";
    const std::int64_t before = d.metric("n1", received);
    REQUIRE(before > 0);
    for (int i = 0; i < refused_jobs; ++i) {
        CHECK(d.call("n2", "POST", "/quotes/" + job_id('c', 10 + i), d.job_body(4000, payload)).code == 429);
    }
    const std::int64_t refusal_bytes = (d.metric("n1", received) - before) / refused_jobs;
    CHECK(refusal_bytes < static_cast<std::int64_t>(payload_bytes) / 2);
}

// Guards against jobs that are accepted without admission, and never done in time, since an owner that
// refuses jobs answers late.
TEST_CASE("a job is refused if an owner that refuses jobs doesn't answer whether it would be accepted") {
    node_deployment d;
    start_overloaded_pool(d);
    d.store.hold_writes("sp/job/");
    const endpoint owner = d.nodes["n1"].settings->peers;
    d.kill_node("n1");
    std::vector<std::shared_ptr<server_request>> unanswered;
    http_server silent(
        d.loop, {}, [&](const std::shared_ptr<server_request>& request) { unanswered.push_back(request); });
    REQUIRE(silent.listen(owner));
    const std::string refused = job_id('d', 10);
    const http_answer answer = d.call("n2", "POST", "/quotes/" + refused, d.job_body(1));
    CHECK(unanswered.size() == 1);
    CHECK(answer.code == 429);
    CHECK(!answer.headers.get("Retry-After").empty());
    CHECK(!d.store.contains("sp/inbox/p/submit/" + refused));
}
