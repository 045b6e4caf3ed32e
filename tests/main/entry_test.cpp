#include <doctest/doctest.h>

#include "main/deployment.hpp"

using namespace siskinpaddle;
using siskinpaddle::tests::deployment;
using siskinpaddle::tests::field;

TEST_CASE("a request goes through whole and comes back whole") {
    deployment d;
    d.start_default();
    std::shared_ptr<server_request> seen;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&](const std::shared_ptr<server_request>& from) {
            seen = from;
            http_headers headers;
            headers.add("X-Own", "one");
            headers.add("X-Own", "two");
            headers.add("Content-Type", "text/x");
            from->reply(418, headers, "the answer");
        };
    }
    const http_answer answer = d.send_and_wait(d.settings("e1").callers, "PUT", "/k/a?b=c", "the body",
                                               {{"X-Mine", "1"}, {"Deadline-Ms", "9000"}});
    CHECK(answer.code == 418);
    CHECK(answer.body == "the answer");
    CHECK(answer.headers.get("Content-Type") == "text/x");
    CHECK(answer.headers.fields().size() >= 4);
    REQUIRE(seen != nullptr);
    CHECK(seen->method() == "PUT");
    CHECK(seen->target() == "/k/a?b=c");
    CHECK(seen->body() == "the body");
    CHECK(seen->headers().get("X-Mine") == "1");
    const int left = std::atoi(std::string(seen->headers().get("Deadline-Ms")).c_str());
    CHECK(left > 0);
    CHECK(left <= 9000);
}

TEST_CASE("own answers name their outcome, and when to come back") {
    deployment d;
    d.start_default();
    struct row {
        const char* description;
        const char* target;
        std::vector<std::pair<std::string, std::string>> fields;
        int code;
        const char* name;
        bool retry_after;
    };
    const std::vector<row> rows{
        {"no route", "/nowhere", {}, 404, "no-route", false},
        {"bad deadline", "/k", {{"Deadline-Ms", "soon"}}, 400, "bad-request", false},
        {"bad key", "/h", {{"Idempotency-Key", std::string(300, 'x')}}, 400, "bad-request", false},
    };
    for (const row& r : rows) {
        CAPTURE(r.description);
        const http_answer answer = d.send_and_wait(d.settings("e1").callers, "POST", r.target, "", r.fields);
        CHECK(answer.code == r.code);
        CHECK(field(answer, "code") == r.name);
        CHECK(answer.headers.get("Siskinpaddle-Outcome") == "not-run");
        CHECK(answer.headers.has("Retry-After") == r.retry_after);
    }
}

TEST_CASE("a confirmation whose target dies is unknown, and is not sent again") {
    // The target reads a seat confirmation and dies. Nobody can know whether it ran; sent to the next target
    // it might sell the seat twice. A quote, which may be repeated, goes to the next one.
    deployment d;
    d.start_default();
    std::map<std::string, int> seen;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&, name = id](const std::shared_ptr<server_request>& from) {
            ++seen[from->method()];
            http_headers headers;
            headers.add("Connection", "close");
            // No length, no chunks: the end of this answer can't be told from a broken connection.
            from->reply(seen[from->method()] == 1 ? 0 : 200, headers, "x");
        };
    }
    const http_answer confirmation =
        d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat", "", {{"Deadline-Ms", "5000"}});
    CHECK(confirmation.headers.get("Siskinpaddle-Outcome") == "unknown");
    CHECK_FALSE(confirmation.headers.has("Retry-After"));
    CHECK(seen["POST"] == 1);
    const http_answer quote =
        d.send_and_wait(d.settings("e1").callers, "GET", "/k/fare", "", {{"Deadline-Ms", "5000"}});
    CHECK(quote.code == 200);
    CHECK(seen["GET"] == 2);
}

TEST_CASE("a target's refusal is not-run and moves the request on") {
    deployment d;
    d.start_default();
    int refusals = 0;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&](const std::shared_ptr<server_request>& from) {
            ++refusals;
            http_headers headers;
            headers.add("Target-Refusal", "not-run");
            from->reply(503, headers, "");
        };
    }
    const http_answer answer =
        d.send_and_wait(d.settings("e1").callers, "POST", "/k/x", "", {{"Deadline-Ms", "5000"}});
    CHECK(answer.code == 503);
    CHECK(field(answer, "code") == "target-busy");
    CHECK(answer.headers.get("Siskinpaddle-Outcome") == "not-run");
    CHECK(answer.headers.get("Retry-After") == "1");
    CHECK(refusals == max_attempts);
}

TEST_CASE("the same idempotency key through two entries runs once") {
    // The caller's first entry dies right after it sent the confirmation on. The caller repeats through
    // another entry, which knows nothing of it but what the platform holds.
    deployment d;
    d.start_default();
    int runs = 0;
    std::shared_ptr<server_request> held_request;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&](const std::shared_ptr<server_request>& from) {
            ++runs;
            held_request = from;
        };
    }
    d.send(d.settings("e1").callers, "POST", "/h/seat", "", {{"Idempotency-Key", "seat 7"}},
           [](const http_answer&) {});
    REQUIRE(d.run_until([&] { return runs == 1; }));
    d.kill_entry("e1");
    const http_answer repeat =
        d.send_and_wait(d.settings("e2").callers, "POST", "/h/seat", "", {{"Idempotency-Key", "seat 7"}});
    CHECK(repeat.code == 409);
    CHECK(field(repeat, "code") == "already-claimed");
    CHECK(repeat.headers.get("Siskinpaddle-Outcome") == "unknown");
    CHECK(runs == 1);
    held_request.reset();
}

TEST_CASE("without the platform a keyed confirmation is refused at once, a quote is served") {
    deployment d;
    d.start_default();
    d.platform.set_fault("", fakes::injected_fault::down);
    const http_answer keyed =
        d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat", "", {{"Idempotency-Key", "k1"}});
    CHECK(keyed.code == 503);
    CHECK(field(keyed, "code") == "claims-unavailable");
    CHECK(keyed.headers.get("Retry-After") == "5");
    CHECK(d.send_and_wait(d.settings("e1").callers, "GET", "/k/fare").code == 200);
    CHECK(d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat").code ==
          200); // Without a key: once by this entry.
    d.platform.set_fault("", fakes::injected_fault::none);
    // The refusal was true, so the same key runs now, when the claim that may have stuck is given back.
    REQUIRE(d.run_until([&] {
        return d.send_and_wait(d.settings("e2").callers, "POST", "/h/seat", "", {{"Idempotency-Key", "k1"}})
                   .code == 200;
    }));
}

TEST_CASE("a claim whose answer is lost after taking effect is settled by reading") {
    deployment d;
    d.start_default();
    int runs = 0;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&](const std::shared_ptr<server_request>& from) {
            ++runs;
            from->reply(200, {}, "done");
        };
    }
    d.platform.set_fault("e1", fakes::injected_fault::lose_answer, 0ms, 1);
    // The planner writes under the same name; only the claim's own write must be hit, so planning rests at
    // e2.
    const http_answer answer = d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat", "",
                                               {{"Idempotency-Key", "k2"}, {"Deadline-Ms", "30000"}});
    CHECK(answer.code == 200);
    CHECK(runs == 1);
}

TEST_CASE("an operator's patch is in force everywhere, an old one is refused with what changed") {
    deployment d;
    d.start_default();
    const http_answer first = d.patch("e1", 1, "p1", R"({"pools":{"k":{"max_queue":7}}})");
    CHECK(first.code == 200);
    CHECK(field(first, "number") == "2");
    REQUIRE(d.run_until(
        [&] { return field(d.send_operator_request("e2", "GET", "/v1/config"), "number") == "2"; }));
    const http_answer stale = d.patch("e2", 1, "p2", R"({"pools":{"k":{"max_queue":9}}})");
    CHECK(stale.code == 409);
    CHECK(field(stale, "changed_paths") == R"(["/pools/k/max_queue"])");
    const http_answer repeated = d.patch("e2", 1, "p1", R"({"pools":{"k":{"max_queue":7}}})");
    CHECK(repeated.code == 200);
    CHECK(field(repeated, "number") == "2");
}

TEST_CASE("two operators race: one wins, the other is told what changed") {
    deployment d;
    d.start_default();
    std::vector<http_answer> answers;
    const auto body = [](const std::string& id, int value) {
        return R"({"against":1,"write_id":")" + id + R"(","patch":{"pools":{"k":{"max_queue":)" +
               std::to_string(value) + "}}}}";
    };
    const std::vector<std::pair<std::string, std::string>> fields{
        {"Authorization", std::string("Bearer ") + deployment::credential}};
    for (const char* id : {"e1", "e2"}) {
        d.send(d.settings(id).operators, "POST", "/v1/patches", body(id, id[1]), fields,
               [&](const http_answer& answer) { answers.push_back(answer); });
    }
    REQUIRE(d.run_until([&] { return answers.size() == 2; }));
    const int accepted_count = (answers[0].code == 200 ? 1 : 0) + (answers[1].code == 200 ? 1 : 0);
    CHECK(accepted_count == 1);
    const http_answer& rejected = answers[0].code == 200 ? answers[1] : answers[0];
    CHECK(rejected.code == 409);
    CHECK(field(rejected, "changed_paths") == R"(["/pools/k/max_queue"])");
}

TEST_CASE("a patch whose answer is lost has the number that it got") {
    deployment d;
    d.start_default();
    d.platform.set_fault("e2", fakes::injected_fault::lose_answer, 0ms, 1);
    const http_answer answer = d.patch("e2", 1, "p1", R"({"pools":{"k":{"max_queue":7}}})");
    CHECK(answer.code == 200);
    CHECK(field(answer, "number") == "2");
    REQUIRE(d.run_until(
        [&] { return field(d.send_operator_request("e1", "GET", "/v1/config"), "number") == "2"; }));
    findings problems;
    CHECK(decode_stored_configuration(d.platform.value("config"), problems).history.size() == 1);
}

TEST_CASE("a store that comes back with an older configuration is refused") {
    deployment d;
    d.start_default();
    const std::string old_copy = d.platform.value("config");
    REQUIRE(d.patch("e1", 1, "p1", R"({"pools":{"k":{"max_queue":7}}})").code == 200);
    REQUIRE(d.run_until(
        [&] { return field(d.send_operator_request("e2", "GET", "/v1/config"), "number") == "2"; }));
    d.platform.restore("config", old_copy);
    int iterations = 0;
    REQUIRE(d.run_until([&] { return ++iterations > 300; }));
    for (const char* id : {"e1", "e2"}) {
        CHECK(field(d.send_operator_request(id, "GET", "/v1/config"), "number") == "2");
    }
}

TEST_CASE("nobody operates without a credential, or on a rival's pool") {
    deployment d;
    d.start_default();
    const std::string rival_credential = "the rival's credential";
    CHECK(d.send_operator_request("e1", "GET", "/v1/status", "", "wrong").code == 401);
    CHECK(d.send_and_wait(d.settings("e1").operators, "GET", "/v1/status").code == 401);
    CHECK(d.patch("e1", 1, "p1", R"({"pools":{"k":{"max_queue":7}}})", rival_credential).code == 403);
    CHECK(d.patch("e1", 1, "p2", R"({"pools":{"h":{"max_queue":7}}})", rival_credential).code == 200);
    const std::string job = R"({"pool":"k","id":"j","team":"t","cpu_millicores":1,"memory_mb":1})";
    CHECK(d.send_operator_request("e1", "POST", "/v1/jobs", job, rival_credential).code == 403);
    CHECK(d.send_operator_request("e1", "POST", "/v1/jobs", job).code == 200);
    CHECK(d.send_operator_request("e1", "GET", "/v1/jobs/k/j", "", rival_credential).code == 404);
    CHECK(field(d.send_operator_request("e1", "GET", "/v1/jobs", "", rival_credential), "jobs") == "[]");
}

TEST_CASE("a bad job is refused with every finding") {
    deployment d;
    d.start_default();
    const http_answer answer = d.send_operator_request(
        "e1", "POST", "/v1/jobs", R"({"pool":"k","id":"a/b","team":"x","memory_mb":0,"colour":1})");
    CHECK(answer.code == 400);
    for (const char* place : {"/id", "/team", "/memory_mb", "/cpu_millicores", "/colour"}) {
        CAPTURE(place);
        CHECK(field(answer, "findings").find(std::string("\"") + place + "\"") != std::string::npos);
    }
}
