#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

TEST_CASE("the first refusal of a job counts until its client can't return any more") {
    first_attempts attempts;
    attempts.record_refusal("j", timestamp(7000), timestamp(1000));
    attempts.record_refusal("j", timestamp(9000), timestamp(3000));
    attempts.record_refusal("j", timestamp(8000), timestamp(3200));
    CHECK(attempts.find("j", timestamp(3500)) == timestamp(1000));
    CHECK(attempts.waited("j", timestamp(8500)) == 7500ms);
    CHECK(!attempts.find("j", timestamp(9000)));
    CHECK(attempts.waited("j", timestamp(9000)) == 0ms);
    CHECK(attempts.waited("other", timestamp(3500)) == 0ms);
    // Forgotten jobs are recorded anew.
    attempts.record_refusal("j", timestamp(14'000), timestamp(9500));
    CHECK(attempts.find("j", timestamp(10'000)) == timestamp(9500));
    CHECK(attempts.size() == 1);
}

TEST_CASE("beyond the limit the oldest first attempts are forgotten") {
    first_attempts attempts;
    for (std::size_t i = 0; i < first_attempts::max_jobs + 2; ++i) {
        attempts.record_refusal("j" + std::to_string(i), timestamp(1'000'000),
                                timestamp(static_cast<std::int64_t>(i)));
    }
    CHECK(attempts.size() == first_attempts::max_jobs);
    CHECK(!attempts.find("j1", timestamp(20'000)));
    CHECK(attempts.find("j2", timestamp(20'000)) == timestamp(2));
}

TEST_CASE("the successor of an owner ranks a job by its first attempt") {
    // Guards against a record that holds the acceptance: after a change of owner, a job that was refused for
    // two seconds would have its whole objective before it once more.
    job_record record = scheduler_fixture::record("j", {scheduler_fixture::step(1)});
    record.accepted_ms = 5000;
    const auto stored = decode_archive<job_record>(encode_archive(record));
    REQUIRE(stored);
    CHECK(stored.value().accepted_ms == record.accepted_ms);
    scheduler_fixture owner;
    scheduler_fixture successor(1);
    const timestamp first_attempt = owner.now() - 2000ms;
    owner.decide();
    successor.decide();
    owner.pool().add_job(record, first_attempt);
    successor.pool().restore_job(stored.value(), std::nullopt, first_attempt);
    const auto by_owner = owner.pool().describe_job("j", 1, owner.now());
    const auto by_successor = successor.pool().describe_job("j", 1, successor.now());
    REQUIRE(by_owner);
    REQUIRE(by_successor);
    CHECK(by_owner->until_objective == 200ms); // 2.2 s from the first attempt.
    CHECK(by_successor->until_objective == by_owner->until_objective);
}
