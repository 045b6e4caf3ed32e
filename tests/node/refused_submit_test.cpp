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

} // namespace

// Guards against an owner's link that is full of submits which the owner refuses, while the reports of its
// VMs and the renewals of its claim wait behind them.
TEST_CASE("jobs that an overloaded owner refuses don't send their payload over its link") {
    node_deployment d;
    d.start_node("n1"); // Without a VM, jobs wait and more are soon refused.
    d.wait_until_serving("n1");
    d.start_node("n2");
    d.wait_until_serving("n2");
    int submitted = 10;
    while (submitted < 99 &&
           d.call("n2", "POST", "/quotes/" + job_id('b', submitted), d.job_body(4000)).code != 429) {
        ++submitted;
    }
    REQUIRE(submitted < 99);
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
