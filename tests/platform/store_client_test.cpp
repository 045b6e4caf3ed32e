#include "net/loop_until.hpp"
#include "platform/platform.hpp"

#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <vector>

using namespace siskinpaddle;
using namespace siskinpaddle::platform;
using siskinpaddle::tests::loop_until;

namespace {

/// A store that answers every call with the same code and body.
class fixed_store {
  public:
    fixed_store(int code, std::string body)
        : m_server(m_loop, {},
                   [code, body = std::move(body)](const std::shared_ptr<server_request>& request) {
                       request->reply(code, {}, body);
                   }) {
        REQUIRE(m_server.listen({"127.0.0.1", 0}));
    }

    store_answer list_items() {
        return run_call([](store_client& client, store_client::callback done) {
            client.range("servers/", {}, std::move(done));
        });
    }
    store_answer watch_items() {
        return run_call([](store_client& client, store_client::callback done) {
            client.watch("servers/", 1, 1s, std::move(done));
        });
    }
    store_answer read_item() {
        return run_call([](store_client& client, store_client::callback done) {
            client.get("servers/a", std::move(done));
        });
    }
    store_answer commit_write() {
        return run_call([](store_client& client, store_client::callback done) {
            client.commit({{}, {{"sp/a", "x", 0}}, {}}, std::move(done));
        });
    }

  private:
    template <typename Call>
    store_answer run_call(Call call) {
        store_client client(m_loop, {"127.0.0.1", m_server.port()});
        std::optional<store_answer> result;
        call(client, [&result](store_answer answer) { result = std::move(answer); });
        REQUIRE(loop_until(m_loop, [&] { return result.has_value(); }));
        return *result;
    }

    event_loop m_loop;
    http_server m_server;
};

std::vector<std::string> keys_of(const store_answer& answer) {
    std::vector<std::string> keys;
    for (const store_item& item : answer.items) {
        keys.push_back(item.key);
    }
    return keys;
}

} // namespace

TEST_CASE("an unreadable item does not affect the other items of a listing or watch") {
    // Guards against a crash of all nodes, one after another, and against nodes that lose all VMs: one item
    // among hundreds holds invalid UTF-8, invalid base64 or no key, and either the whole answer is discarded
    // or the empty key crashes the process.
    struct malformed_item {
        std::string description;
        std::string text;
        std::vector<std::string> expected_keys; ///< Keys of the items that are decoded from `text`.
    };
    const std::vector<malformed_item> malformed_items{
        {"not an object", "7", {}},
        {"null", "null", {}},
        {"no key", R"({"value":"eA==","revision":4})", {}},
        {"a key of another type", R"({"key":7,"value":"eA==","revision":4})", {}},
        {"an empty key", R"({"key":"","value":"eA==","revision":4})", {}},
        {"no value", R"({"key":"servers/o","revision":4})", {"servers/o"}},
        {"invalid base64", R"({"key":"servers/o","value":"e*=","revision":4})", {"servers/o"}},
        {"a value of another type", R"({"key":"servers/o","value":{},"revision":4})", {"servers/o"}},
        {"invalid UTF-8",
         "{\"key\":\"servers/\xff\xfe\",\"value\":\"eA==\",\"revision\":4}",
         {"servers/\xff\xfe"}},
    };
    for (const malformed_item& item : malformed_items) {
        INFO(item.description);
        const std::string rows = R"([{"key":"servers/a","value":"eA==","revision":2},)" + item.text +
                                 R"(,{"key":"servers/z","value":"eQ==","revision":3}])";
        std::vector<std::string> expected{"servers/a"};
        expected.insert(expected.end(), item.expected_keys.begin(), item.expected_keys.end());
        expected.emplace_back("servers/z");
        const store_answer listed =
            fixed_store(200, R"({"items":)" + rows + R"(,"current_rev":9})").list_items();
        CHECK(listed.status == store_status::ok);
        CHECK(listed.revision == 9);
        CHECK(keys_of(listed) == expected);
        if (!listed.items.empty()) {
            CHECK(listed.items.front().value == "x");
            CHECK(listed.items.back().value == "y");
        }
        const store_answer watched =
            fixed_store(200, R"({"events":)" + rows + R"(,"current_rev":9})").watch_items();
        CHECK(watched.status == store_status::ok);
        CHECK(keys_of(watched) == expected);
    }
}

TEST_CASE("an answer with an unreadable body counts as no answer") {
    // Guards against the loss of a pool's jobs at a takeover: the store's answer is truncated or corrupted,
    // and the unreadable listing counts as an empty one.
    for (const std::string body : {"", "{", "[]", "null", R"({"items":[{"key":"servers/a")"}) {
        for (const int code : {200, 412}) {
            INFO(code << " " << body);
            fixed_store store(code, body);
            CHECK(store.list_items().status == store_status::unknown);
            CHECK(store.watch_items().status == store_status::unknown);
            CHECK(store.read_item().status == store_status::unknown);
            CHECK(store.commit_write().status == store_status::unknown);
        }
    }
}

// Guards against a job that runs although its client was told that it never would: the store executes the
// write of the job and then fails.
TEST_CASE("only an answer that says that nothing was done counts as a refusal") {
    struct answer_case {
        int code;
        store_status expected;
    };
    for (const answer_case& answer :
         {answer_case{400, store_status::refused}, answer_case{403, store_status::refused},
          answer_case{404, store_status::no_lease}, answer_case{429, store_status::refused},
          answer_case{500, store_status::unknown}, answer_case{502, store_status::unknown},
          answer_case{503, store_status::refused}, answer_case{504, store_status::unknown}}) {
        INFO("code ", answer.code);
        CHECK(fixed_store(answer.code, "{}").commit_write().status == answer.expected);
    }
}

TEST_CASE("a call from an outage that fails after its end does not make the store unresponsive again") {
    // Guards against clients that are refused in the first second after an outage of the store although the
    // store responds: a call that was sent during the outage times out after it, and the store counts as
    // unresponsive since that call was sent.
    event_loop loop;
    bool is_unresponsive = true;
    std::vector<std::shared_ptr<server_request>> unanswered;
    http_server server(loop, {}, [&](const std::shared_ptr<server_request>& request) {
        if (is_unresponsive) {
            unanswered.push_back(request);
        } else {
            request->reply(404, {}, "");
        }
    });
    REQUIRE(server.listen({"127.0.0.1", 0}));
    store_client client(loop, {"127.0.0.1", server.port()});
    std::optional<milliseconds> unresponsive_time_at_failure;
    client.get("a", [&](const store_answer& answer) {
        CHECK(answer.status == store_status::unknown);
        unresponsive_time_at_failure = client.unresponsive_for(event_loop::now());
    });
    REQUIRE(loop_until(loop, [&] { return client.unresponsive_for(event_loop::now()) >= 600ms; }));
    is_unresponsive = false;
    bool answered = false;
    client.get("b", [&](const store_answer&) { answered = true; });
    REQUIRE(loop_until(loop, [&] { return answered; }));
    CHECK_FALSE(unresponsive_time_at_failure.has_value()); // The first call is still in flight.
    CHECK(client.unresponsive_for(event_loop::now()) < 300ms);
    // The store answers further calls until the first call times out.
    REQUIRE(loop_until(loop, [&] {
        client.get("c", [](const store_answer&) {});
        return unresponsive_time_at_failure.has_value();
    }));
    CHECK(*unresponsive_time_at_failure < 300ms);
}
