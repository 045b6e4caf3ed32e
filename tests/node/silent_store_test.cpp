#include "node/node_deployment.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Half of a client's deadline: enough for another attempt.
constexpr milliseconds half_deadline = 1500ms;

std::string job_number(std::size_t number) {
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}

/// Submits jobs at the same moment, each over its own connection.
struct concurrent_submits {
    std::vector<std::optional<http_answer>> answers;
    std::vector<milliseconds> durations;

    concurrent_submits(node_deployment& d, std::size_t count) : answers(count), durations(count) {
        const timestamp began = event_loop::now();
        for (std::size_t i = 0; i < count; ++i) {
            http_call request;
            request.to = d.nodes["n1"].settings->clients;
            request.method = "POST";
            request.target = "/quotes/" + job_number(i);
            request.headers.add("Host", "h.example");
            request.headers.add("Deadline-Ms", "3000");
            request.body = d.job_body(1);
            request.timeout = 6s;
            request.fresh_connection = true;
            d.client.send(std::move(request), [this, i, began](http_answer answer) {
                answers[i] = std::move(answer);
                durations[i] = event_loop::now() - began;
            });
        }
        REQUIRE(d.until([&] {
            return std::ranges::all_of(answers, [](const auto& answer) { return answer.has_value(); });
        }));
    }
};

} // namespace

TEST_CASE("clients of an unresponsive store are answered in time for another attempt") {
    // Guards against clients that the pool's owner holds for their whole deadline while the store is
    // unresponsive for three seconds of a demand peak: the job's write has no answer, or waits behind such a
    // write. When the store responds again, no time is left for the attempt that would be accepted.
    node_deployment d;
    d.serve_with_one_vm(100ms);
    d.store.set_silent(true);
    const concurrent_submits submitted(d, 20);
    std::vector<bool> refused;
    for (std::size_t i = 0; i < submitted.answers.size(); ++i) {
        INFO("job ", i, ", code ", submitted.answers[i]->code, " after ", submitted.durations[i].count(),
             " ms");
        CHECK((submitted.answers[i]->code == 503 || submitted.answers[i]->code == 504));
        CHECK(submitted.durations[i] < half_deadline);
        refused.push_back(submitted.answers[i]->code == 503);
    }
    // One write was in flight; a job that was never sent to the store is refused and never runs.
    CHECK(std::ranges::count(refused, true) >= 4);
    CHECK(std::ranges::count(refused, false) >= 1);
    d.store.set_silent(false);
    d.wait_until_serving("n1");
    for (std::size_t i = 0; i < refused.size(); ++i) {
        INFO("job ", i);
        if (refused[i]) {
            CHECK(d.call("n1", "GET", "/quotes/" + job_number(i)).code == 410);
        } else {
            CHECK(d.call("n1", "POST", "/quotes/" + job_number(i), d.job_body(1)).code == 200);
            CHECK(d.reaches_phase("n1", job_number(i), "completed"));
        }
    }
    CHECK(d.done_runs() == static_cast<std::size_t>(std::ranges::count(refused, false)));
    d.check_runs_once();
}

TEST_CASE("an entry doesn't wait for an unresponsive store's timeout when it stores a job in the inbox") {
    // Guards against clients that are held for the store's timeout: a pool's owner dies, and entries store
    // jobs for its successor in a store that is unresponsive.
    node_deployment d;
    d.serve_with_one_vm(100ms);
    d.start_node("n2");
    d.wait_until_serving("n2");
    d.kill_node("n1");
    d.store.set_silent(true);
    const timestamp began = event_loop::now();
    const int code = d.call("n2", "POST", "/quotes/" + job_number(1), d.job_body(1)).code;
    CHECK((code == 503 || code == 504));
    CHECK(event_loop::now() - began < half_deadline);
    d.store.set_silent(false);
    REQUIRE(
        d.until([&] { return d.call("n2", "POST", "/quotes/" + job_number(1), d.job_body(1)).code == 200; }));
    CHECK(d.reaches_phase("n2", job_number(1), "completed"));
    CHECK(d.done_runs() == 1);
}
