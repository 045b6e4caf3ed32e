#include "platform/platform.hpp"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::platform;

namespace {

jobs::client_accounts decode(const std::string& list, findings& problems) {
    return decode_accounts(boost::json::parse(list), problems);
}

const std::string valid_account =
    R"({"name":"acme","api_keys":["k1","k2"],"weight":112,"max_count":{"cpu":8000,"mem_mb":512,"gpu":0}})";

} // namespace

TEST_CASE("accounts are decoded with their keys and limits") {
    findings problems;
    const jobs::client_accounts accounts =
        decode("[" + valid_account + R"(,{"name":"free","api_keys":["k3"]}])", problems);
    CHECK(problems.empty());
    REQUIRE(accounts.all().size() == 2);
    const jobs::client_account* acme = accounts.find_by_key(digest_of_key("k2"));
    REQUIRE(acme != nullptr);
    CHECK(acme->name == "acme");
    CHECK(acme->weight == 112);
    CHECK(acme->limit == jobs::resources{8000, 512, jobs::unlimited_amount});
    CHECK(acme->has_limit());
    CHECK(accounts.find_by_key(digest_of_key("k3")) == accounts.find("free"));
    CHECK_FALSE(accounts.find("free")->has_limit());
    CHECK(accounts.find_by_key(digest_of_key("k")) == nullptr);
    CHECK(accounts.find_by_key(digest_of_key("")) == nullptr);
}

TEST_CASE("the digest of a key is its SHA-256") {
    const jobs::key_digest digest = digest_of_key("abc");
    CHECK(digest.front() == 0xba);
    CHECK(digest.back() == 0xad);
}

// Guards against keys of an account with an unreadable limit that are served without a limit.
TEST_CASE("an invalid account is left out with a finding, and its keys admit no call") {
    struct invalid_entry {
        std::string text;
        std::string place;
    };
    const std::vector<invalid_entry> entries{
        {"7", "/tenants/1"},
        {R"({"api_keys":["k9"]})", "/tenants/1/name"},
        {R"({"name":"","api_keys":["k9"]})", "/tenants/1/name"},
        {R"({"name":")" + std::string(max_account_name + 1, 'n') + R"(","api_keys":["k9"]})",
         "/tenants/1/name"},
        {R"({"name":"acme","api_keys":["k9"]})", "/tenants/1/name"},
        {R"({"name":"x","api_keys":"k9"})", "/tenants/1/api_keys"},
        {R"({"name":"x","api_keys":["k9",7]})", "/tenants/1/api_keys"},
        {R"({"name":"x","api_keys":["k9",""]})", "/tenants/1/api_keys"},
        {R"({"name":"x","api_keys":["k9"],"max_count":7})", "/tenants/1/max_count"},
        {R"({"name":"x","api_keys":["k9"],"max_count":{"cpu":"8000"}})", "/tenants/1/max_count/cpu"},
        {R"({"name":"x","api_keys":["k9"],"max_count":{"mem_mb":-1}})", "/tenants/1/max_count/mem_mb"},
        {R"({"name":"x","api_keys":["k9"],"max_count":{"gpu":1.5}})", "/tenants/1/max_count/gpu"}};
    for (const invalid_entry& entry : entries) {
        INFO(entry.text);
        findings problems;
        const jobs::client_accounts accounts = decode("[" + valid_account + "," + entry.text + "]", problems);
        REQUIRE(problems.items().size() == 1);
        CHECK(problems.items().front().location == entry.place);
        CHECK(accounts.all().size() == 1);
        CHECK(accounts.find_by_key(digest_of_key("k9")) == nullptr);
        CHECK(accounts.find_by_key(digest_of_key("k1")) != nullptr);
    }
}

// Guards against a key by which one account acts as another.
TEST_CASE("a key of two accounts admits no call") {
    findings problems;
    const jobs::client_accounts accounts =
        decode("[" + valid_account + R"(,{"name":"x","api_keys":["k2","k3"]}])", problems);
    CHECK(problems.items().size() == 2);
    CHECK(accounts.find_by_key(digest_of_key("k2")) == nullptr);
    CHECK(accounts.find_by_key(digest_of_key("k1"))->name == "acme");
    CHECK(accounts.find_by_key(digest_of_key("k3"))->name == "x");
}

TEST_CASE("encoded accounts are decoded to the same values") {
    jobs::fleet_configuration configuration;
    configuration.version = 3;
    configuration.queues.resize(1);
    configuration.queues[0].is_public = true;
    const std::vector<account_entry> entries{{{"a", 4, {1000, jobs::unlimited_amount, 2}}, {"k1", "k2"}},
                                             {{"b", 0, jobs::unlimited_resources}, {}}};
    findings problems;
    const auto decoded = decode_configuration(encode_configuration(configuration, entries), problems);
    REQUIRE(decoded);
    CHECK(problems.empty());
    CHECK(decoded->uses_accounts);
    CHECK(decoded->queues[0].is_public);
    REQUIRE(decoded->accounts.all().size() == 2);
    CHECK(decoded->accounts.find("a")->limit == entries[0].account.limit);
    CHECK(decoded->accounts.find("a")->weight == 4);
    CHECK(decoded->accounts.find_by_key(digest_of_key("k2"))->name == "a");
    CHECK_FALSE(decode_configuration(encode_configuration(configuration), problems)->uses_accounts);
}
