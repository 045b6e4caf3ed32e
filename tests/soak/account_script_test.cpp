#include "soak/account_script.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

namespace {

constexpr account_bounds bounds{.revocation = 5s, .key_lag = 5s, .limit_lag = 5s};
constexpr jobs::resources task{500, 64, 0};

fakes::vm_run run_of(const std::string& job, std::int64_t started_at, std::int64_t ended_at) {
    return {"v", {job + ".0.0.0", 1, timestamp(started_at), timestamp(ended_at), {}, timestamp(0)}};
}

} // namespace

TEST_CASE("each version issues a key and revokes the older of two") {
    account_script script(1);
    REQUIRE(script.publish(task, 1000ms).size() == account_script::accounts);
    const std::string first = script.valid_key(0);
    CHECK_FALSE(script.revoked_key(0).has_value());
    CHECK(script.publish(task, 2000ms)[0].keys.size() == 2);
    CHECK(script.publish(task, 3000ms)[0].keys.size() == 2);
    CHECK(script.revoked_key(0) == first);
    CHECK(script.limits().size() == 3 * account_script::accounts);
}

TEST_CASE("each published account has its weight") {
    account_script script(1);
    const std::vector<platform::account_entry> entries = script.publish(task, 1000ms);
    for (std::size_t account = 0; account < account_script::accounts; ++account) {
        CHECK(entries.at(account).account.weight == account_script::weights.at(account));
    }
}

TEST_CASE("raised limits are the largest of each account") {
    account_script script(1);
    for (const milliseconds at : {1000ms, 2000ms, 3000ms, 4000ms}) {
        static_cast<void>(script.publish(task, at));
    }
    script.raise_limits();
    static_cast<void>(script.publish(task, 5000ms));
    for (std::size_t account = 0; account < account_script::accounts; ++account) {
        const std::size_t raised = script.limits()[4 * account_script::accounts + account].tasks;
        CHECK(std::ranges::all_of(script.limits(), [&](const issued_limit& item) {
            return item.account != account || item.tasks <= raised;
        }));
    }
}

TEST_CASE("an answer to a call with a key is checked by when the call was sent") {
    account_script script(1);
    static_cast<void>(script.publish(task, 1000ms));
    const std::string key = script.valid_key(0);
    static_cast<void>(script.publish(task, 2000ms));
    static_cast<void>(script.publish(task, 30'000ms)); // Revokes the key.
    struct answer_case {
        const char* description;
        std::string key;
        int code;
        timestamp sent;
        bool violates;
    };
    const std::vector<answer_case> cases{{"served while valid", key, 200, 20'000ms, false},
                                         {"served within the bound", key, 200, 35'000ms, false},
                                         {"served past the bound", key, 200, 35'001ms, true},
                                         {"refused past the bound", key, 401, 40'000ms, false},
                                         {"valid key refused past the bound", key, 401, 6001ms, true},
                                         {"new key refused within the bound", key, 401, 6000ms, false},
                                         {"valid key turned away", key, 503, 20'000ms, false},
                                         {"key that never existed", "nobody", 401, 20'000ms, false},
                                         {"key that never existed served", "nobody", 200, 20'000ms, true}};
    for (const answer_case& item : cases) {
        INFO(item.description);
        CHECK(script.check_answer(item.key, item.code, item.sent, item.sent + 10ms, bounds).has_value() ==
              item.violates);
    }
}

TEST_CASE("starts beyond an account's limit on all VMs together are reported") {
    struct limit_case {
        const char* description;
        std::vector<issued_limit> limits;
        std::vector<fakes::vm_run> runs;
        std::size_t violations;
    };
    const std::vector<fakes::vm_run> four{run_of("a", 8000, 0), run_of("b", 8001, 0), run_of("a", 8002, 0),
                                          run_of("b", 8003, 0)};
    const std::vector<limit_case> cases{
        {"within the limit and one task more", {{0, 3, 0ms}}, four, 0},
        {"above it", {{0, 2, 0ms}}, four, 1},
        {"one has ended before", {{0, 2, 0ms}}, {run_of("a", 1, 8001), four[1], four[2], four[3]}, 0},
        {"limit lowered within the bound", {{0, 4, 0ms}, {0, 1, 4000ms}}, four, 0},
        {"limit lowered before", {{0, 4, 0ms}, {0, 1, 2000ms}}, four, 1},
        {"limit of another account", {{0, 4, 0ms}, {1, 1, 0ms}}, four, 0}};
    for (const limit_case& item : cases) {
        INFO(item.description);
        CHECK(check_account_limits(item.runs, {{"a", 0}, {"b", 0}, {"c", 1}}, item.limits, bounds, 9000ms)
                  .size() == item.violations);
    }
}
