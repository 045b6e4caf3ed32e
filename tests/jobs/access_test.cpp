#include "jobs/jobs.hpp"

#include <doctest/doctest.h>

using namespace siskinpaddle;
using namespace siskinpaddle::jobs;

namespace {

const key_digest acme_key{1};
const key_digest revoked_key{2};

fleet_configuration make_configuration(bool uses_accounts) {
    fleet_configuration configuration;
    configuration.version = 2;
    configuration.uses_accounts = uses_accounts;
    client_account acme;
    acme.name = "acme";
    configuration.accounts.add(acme, {acme_key});
    return configuration;
}

} // namespace

TEST_CASE("a call is served by its key, its queue and the age of the configuration") {
    struct access_case {
        std::string name;
        bool configured = true; ///< The configuration has accounts.
        bool expected = true;   ///< The settings say so.
        bool is_public = false;
        std::optional<key_digest> key;
        milliseconds age{0};
        milliseconds max_age{4600};
        access_verdict verdict = access_verdict::granted;
        std::string account;
        bool is_confirmed = true; ///< No newer configuration can be in force elsewhere.
    };
    using enum access_verdict;
    const std::vector<access_case> cases{
        {"valid key", true, true, false, acme_key, 0ms, 4600ms, granted, "acme"},
        {"no key", true, true, false, {}, 0ms, 4600ms, unauthorized, ""},
        {"key that was never valid, or was revoked", true, true, false, revoked_key, 0ms, 4600ms,
         unauthorized, ""},
        {"public queue without a key", true, true, true, {}, 0ms, 4600ms, granted, ""},
        {"public queue with a key", true, true, true, acme_key, 0ms, 4600ms, granted, ""},
        {"public queue and an old configuration", true, true, true, {}, 60s, 4600ms, granted, ""},
        {"oldest configuration that proves the key", true, true, false, acme_key, 4600ms, 4600ms, granted,
         "acme"},
        {"older configuration", true, true, false, acme_key, 4601ms, 4600ms, unconfirmed, ""},
        {"unknown key in an older configuration", true, true, false, revoked_key, 4601ms, 4600ms, outdated,
         "", false},
        {"unknown key that a newer configuration may have", true, true, false, revoked_key, 3000ms, 4600ms,
         outdated, "", false},
        {"unknown key that a peer's configuration may have", true, true, false, revoked_key, 0ms, 0ms,
         outdated, "", false},
        {"valid key in a configuration that is behind", true, true, false, acme_key, 3000ms, 4600ms, granted,
         "acme", false},
        {"no key, and the queue may have become public",
         true,
         true,
         false,
         {},
         60s,
         4600ms,
         outdated,
         "",
         false},
        {"configuration that could not be read", true, true, false, acme_key, milliseconds::max(), 4600ms,
         unconfirmed, ""},
        {"revocation that is not strict", true, true, false, acme_key, 60s, 0ms, granted, "acme"},
        {"deployment without accounts", false, false, false, {}, 60s, 0ms, granted, ""},
        {"configuration from which all accounts were removed",
         false,
         true,
         false,
         {},
         0ms,
         4600ms,
         unauthorized,
         ""},
        {"accounts that the settings don't mention", true, false, false, {}, 0ms, 0ms, unauthorized, ""}};
    for (const access_case& item : cases) {
        INFO(item.name);
        queue_settings queue;
        queue.is_public = item.is_public;
        const access_decision decision =
            check_access(make_configuration(item.configured), queue, item.key, {item.age, item.is_confirmed},
                         {item.expected, item.max_age});
        CHECK(decision.verdict == item.verdict);
        CHECK(decision.account == item.account);
    }
}

TEST_CASE("a job with an account is accessible by that account only") {
    CHECK(may_access_job("a", "a"));
    CHECK_FALSE(may_access_job("a", "b"));
    CHECK_FALSE(may_access_job("a", ""));
    CHECK(may_access_job("", "b"));
    CHECK(may_access_job("", ""));
}

// Guards against records that are unreadable for earlier versions of the program.
TEST_CASE("records of jobs without an account keep their format") {
    job_record record;
    record.spec.id = "j";
    record.accepted_ms = 5;
    std::string bytes = encode_archive(record.spec);
    bytes += encode_archive(record.accepted_ms);
    CHECK(encode_archive(record) == bytes);
    CHECK(decode_archive<job_record>(bytes).value().account.empty());
    record.account = "acme";
    CHECK(decode_archive<job_record>(encode_archive(record)).value().account == "acme");

    job_progress progress;
    progress.done = "01";
    const std::string without = encode_archive(progress);
    progress.account = "acme";
    CHECK(encode_archive(progress).starts_with(without));
    CHECK(decode_archive<job_progress>(encode_archive(progress)).value().account == "acme");
    CHECK(decode_archive<job_progress>(without).value().account.empty());
}
