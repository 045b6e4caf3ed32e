#include <doctest/doctest.h>

#include "main/deployment.hpp"

using namespace siskinpaddle;
using siskinpaddle::tests::deployment;
using siskinpaddle::tests::field;

TEST_CASE("a request reaches its target unchanged, and the target's answer reaches the caller unchanged") {
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

TEST_CASE("answers of the entry itself state the outcome and whether to retry") {
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
        {"deadline is not a number", "/k", {{"Deadline-Ms", "soon"}}, 400, "bad-request", false},
        {"key is too long", "/h", {{"Idempotency-Key", std::string(300, 'x')}}, 400, "bad-request", false},
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

TEST_CASE("a confirmation whose target fails has the outcome unknown and is not sent again") {
    // Guards against a repeated side effect: a target that fails after reading a seat confirmation may have
    // run it, so sending it to another target could sell the seat twice. A repeatable quote is sent again.
    deployment d;
    d.start_default();
    std::map<std::string, int> seen;
    for (auto& [id, vm] : d.vms) {
        vm->on_request = [&, name = id](const std::shared_ptr<server_request>& from) {
            ++seen[from->method()];
            http_headers headers;
            headers.add("Connection", "close");
            // Without a length or chunks, the end of the answer looks the same as a broken connection.
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

TEST_CASE("a request that a target refuses is tried on other targets and ends as not-run") {
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
    // Guards against running a request twice: the first entry fails right after forwarding the confirmation,
    // and the caller repeats it through another entry, which knows only the claim stored on the platform.
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

TEST_CASE("without the platform, requests with an idempotency key are refused and all others are served") {
    deployment d;
    d.start_default();
    d.platform.set_fault("", fakes::injected_fault::down);
    const http_answer keyed =
        d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat", "", {{"Idempotency-Key", "k1"}});
    CHECK(keyed.code == 503);
    CHECK(field(keyed, "code") == "claims-unavailable");
    CHECK(keyed.headers.get("Retry-After") == "5");
    CHECK(d.send_and_wait(d.settings("e1").callers, "GET", "/k/fare").code == 200);
    // Without a key, no claim is written.
    CHECK(d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat").code == 200);
    d.platform.set_fault("", fakes::injected_fault::none);
    // The outcome not-run was correct, so the same key can run once a claim that may have been stored is
    // released.
    REQUIRE(d.run_until([&] {
        return d.send_and_wait(d.settings("e2").callers, "POST", "/h/seat", "", {{"Idempotency-Key", "k1"}})
                   .code == 200;
    }));
}

TEST_CASE("a claim that is stored but whose answer is lost is resolved by reading the store") {
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
    // The fault applies to the next write of e1, which has to be that of the claim. A planner on e1 writes
    // under the same name, so it must have nothing to write here.
    const http_answer answer = d.send_and_wait(d.settings("e1").callers, "POST", "/h/seat", "",
                                               {{"Idempotency-Key", "k2"}, {"Deadline-Ms", "30000"}});
    CHECK(answer.code == 200);
    CHECK(runs == 1);
}

TEST_CASE("an operator's patch takes effect on all entries; a patch against an old number is refused with "
          "the changed paths") {
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

TEST_CASE("of two concurrent patches one is accepted and the other gets the changed paths") {
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

TEST_CASE("a patch whose store answer is lost is applied once and reports its number") {
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

TEST_CASE("entries keep the newer configuration when the store is restored with an older one") {
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

TEST_CASE("operator requests without a credential or on another member's pool are refused") {
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

TEST_CASE("an invalid job is refused with all its findings") {
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
