#include "net/loop_until.hpp"
#include "platform/advice_client.hpp"
#include "platform/platform.hpp"

#include <array>
#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::platform;
using namespace siskinpaddle::tests;

namespace {

constexpr std::int64_t start_ms = 1'700'000'000'000;

/// A server that gives one answer to every call and keeps the last call.
class answering_server {
  public:
    explicit answering_server(std::string body)
        : m_server(loop, {}, [this, body = std::move(body)](const std::shared_ptr<server_request>& request) {
              id_header = request->headers().get("Expect-Instance");
              received = request->body();
              request->reply(200, {}, body);
          }) {
        REQUIRE(m_server.listen({"127.0.0.1", 0}));
    }

    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }
    [[nodiscard]] jobs::vm_info vm(std::int64_t started_ms) const {
        jobs::vm_info info;
        info.incarnation = jobs::make_incarnation("i-7", started_ms);
        info.address = "127.0.0.1";
        info.port = port();
        return info;
    }

    event_loop loop;
    std::string id_header;
    std::string received;

  private:
    http_server m_server;
};

} // namespace

// Guards against lists of runs that are taken for those of another start of their VM.
TEST_CASE("an answer to a renewal tells whether the VM has started again") {
    struct row {
        const char* born; ///< As JSON; empty: not reported.
        std::int64_t expected_start;
        jobs::order_outcome outcome;
    };
    constexpr auto accepted = jobs::order_outcome::accepted;
    constexpr auto restarted = jobs::order_outcome::restarted;
    constexpr auto unknown = jobs::order_outcome::unknown;
    for (const row& item :
         {row{"", 0, accepted}, row{"", start_ms, accepted}, row{"1700000000000", 0, accepted},
          row{"1700000000000", start_ms, accepted}, row{"1700000000000.0", start_ms, accepted},
          row{"1700000000001", start_ms, restarted},
          row{"1699999999999", start_ms, restarted}, // The time of day may be set back.
          row{R"("1700000000000")", start_ms, unknown}, row{"1.5", start_ms, unknown},
          row{"-1", start_ms, unknown}, row{"null", 0, unknown}, row{"1e300", 0, unknown},
          row{"[1]", 0, unknown}}) {
        INFO(std::string(item.born), " expected ", item.expected_start);
        const std::string born = *item.born == 0 ? "" : std::string(R"("born":)") + item.born + ",";
        answering_server server("{" + born +
                                R"("clock_ms":5,"running":[["j.0.0.1",2,"",41]],"finished":[]})");
        vm_client client(server.loop);
        std::optional<renewal_answer> answer;
        client.renew_lease(server.vm(item.expected_start), 1, 0, 0, 0ms,
                           [&](const renewal_answer& result) { answer = result; });
        REQUIRE(loop_until(server.loop, [&] { return answer.has_value(); }));
        CHECK(server.id_header == "i-7");
        CHECK(answer->outcome == item.outcome);
        CHECK(answer->report.has_value() == (item.outcome != unknown));
        CHECK(answer->problem.has_value() == (item.outcome == unknown));
        if (answer->problem) {
            CHECK(answer->problem->location == "/born");
            CHECK(answer->problem->message == "must be a whole number from 0 to 9007199254740992");
        }
        if (answer->report) {
            CHECK(answer->report->running.size() == 1);
            CHECK(answer->report->requested_at > timestamp(0));
        }
    }
}

// Guards against clocks of different starts of a VM that are compared with each other.
TEST_CASE("the clock of an order's answer counts only if its incarnation is known") {
    struct row {
        const char* body;
        std::int64_t expected_start;
        jobs::order_outcome outcome;
        std::int64_t clock_ms;
    };
    constexpr auto accepted = jobs::order_outcome::accepted;
    for (const row& item :
         {row{R"({"clock_ms":5})", 0, accepted, 5}, row{R"({"clock_ms":5})", start_ms, accepted, 0},
          row{R"({"clock_ms":5,"born":1700000000000})", start_ms, accepted, 5},
          row{R"({"clock_ms":5,"born":1700000000001})", start_ms, jobs::order_outcome::unknown, 0},
          row{R"({"clock_ms":5,"born":"x"})", start_ms, jobs::order_outcome::unknown, 0}}) {
        INFO(std::string(item.body), " expected ", item.expected_start);
        answering_server server(item.body);
        vm_client client(server.loop);
        std::vector<order_answer> answers;
        const auto record = [&](const order_answer& answer) { answers.push_back(answer); };
        const jobs::vm_info vm = server.vm(item.expected_start);
        const jobs::task_id task{"j", 0, 0, 1};
        client.start_run(vm, 1, {vm.incarnation, task, 1, 9, "", ""}, "s", record);
        client.stop_run(vm, 1, {vm.incarnation, task, 1}, record);
        client.set_pace(vm, 1, {vm.incarnation, task, 1, 50}, record);
        REQUIRE(loop_until(server.loop, [&] { return answers.size() == 3; }));
        for (const order_answer& answer : answers) {
            CHECK(answer.outcome == item.outcome);
            CHECK(answer.clock_ms == item.clock_ms);
        }
    }
}

// Guards against tickets of a VM's previous start, and against a service that is asked about unknown names.
TEST_CASE("the policy service is asked by id, and its tickets are for the incarnation that was asked about") {
    answering_server server(R"({"valid_ms":500,"approved":[["i-7","t7"],["i-9","t9"],["i-8","t8"]]})");
    advice_client client(server.loop, {"127.0.0.1", server.port()});
    std::optional<jobs::advice_answer> answer;
    client.request_advice({"j", 0, 1, {"i-7/1700000000000", "i-8"}, 10ms},
                          [&](const jobs::advice_answer& result) { answer = result; });
    REQUIRE(loop_until(server.loop, [&] { return answer.has_value(); }));
    CHECK(boost::json::parse(server.received).at("workers") == boost::json::array{"i-7", "i-8"});
    CHECK(answer->succeeded);
    CHECK(answer->tickets == std::map<std::string, std::string>{{"i-7/1700000000000", "t7"}, {"i-8", "t8"}});
}
