#include "jobs/account_replay.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

using rates = account_replay::rates;

struct share_case {
    const char* description;
    rates weights;
    rates asked;    ///< Jobs a second.
    rates expected; ///< Jobs a second that end in time.
};

constexpr rates equal_weights{1, 1, 1, 1};
/// Shares are measured over two seconds, and jobs of the time before fill the queue for another two.
constexpr milliseconds settling_time = 5s;
constexpr milliseconds measured_time = 10s;

/// Shares hold whole jobs, and what they leave free goes to the account that submits first.
constexpr double share_tolerance = 0.15;

void check_rates(const std::array<account_replay::result, account_replay::account_count>& results,
                 const rates& expected) {
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const std::string account = account_replay::name_of_account(i);
        CAPTURE(account);
        const account_replay::result& counts = results.at(i);
        const double in_time_per_second = static_cast<double>(counts.in_time) * 1000 / measured_time.count();
        CHECK(in_time_per_second == doctest::Approx(expected.at(i)).epsilon(share_tolerance));
        CHECK(counts.late * 20 <= counts.in_time);
    }
}

} // namespace

TEST_CASE("capacity is divided by weight, and nobody gets more than it asks for") {
    struct division {
        const char* description;
        std::vector<share_request> requests;
        std::int64_t capacity;
        std::optional<double> level;
    };
    const std::vector<division> cases{
        {"nobody asks", {}, 100, {}},
        {"all fits", {{1, 30}, {1, 40}}, 100, {}},
        {"all fits exactly", {{1, 60}, {1, 40}}, 100, {}},
        {"equal weights", {{1, 600}, {1, 60}}, 100, 50},
        {"what one doesn't ask for goes to the others", {{1, 600}, {1, 10}, {1, 60}}, 100, 45},
        {"weights", {{3, 600}, {1, 600}}, 100, 25},
        {"weights, one asks for less", {{3, 30}, {1, 600}, {1, 600}}, 100, 35},
        {"one account", {{0.5, 600}}, 100, 200},
        {"no capacity", {{1, 600}, {1, 600}}, 0, 0},
        {"less than none", {{1, 600}}, -50, 0}};
    for (const division& item : cases) {
        INFO(item.description);
        CHECK(find_fair_level(item.requests, item.capacity) == item.level);
    }
}

// Guards against a hot account that takes the pool from accounts which ask for no more than their usual.
TEST_CASE("accounts of a full pool are served by their shares") {
    const std::vector<share_case> cases{
        {"a hot account, twice its usual", equal_weights, {14, 7, 7, 7}, {11, 7, 7, 7}},
        {"a hot account, six times its usual", equal_weights, {42, 7, 7, 7}, {11, 7, 7, 7}},
        {"a hot account, twenty times its usual", equal_weights, {140, 7, 7, 7}, {11, 7, 7, 7}},
        {"the same burst by all", equal_weights, {16, 16, 16, 16}, {8, 8, 8, 8}},
        {"all ask for more than their weight", {4, 2, 1, 1}, {32, 32, 32, 32}, {16, 8, 4, 4}},
        {"all within", equal_weights, {6, 6, 6, 6}, {6, 6, 6, 6}},
        {"one alone", equal_weights, {64, 0, 0, 0}, {32, 0, 0, 0}},
        {"unequal weights, one asks for little", {3, 1, 1, 1}, {40, 3, 20, 20}, {17.4, 3, 5.8, 5.8}},
        {"two without a weight", {2, 1, 0, 0}, {20, 20, 20, 20}, {12.8, 6.4, 6.4, 6.4}}};
    for (const share_case& item : cases) {
        INFO(item.description);
        account_replay replay;
        replay.set_weights(item.weights);
        replay.advance(settling_time, item.asked);
        replay.take_results();
        replay.advance(measured_time, item.asked);
        check_rates(replay.take_results(), item.expected);
    }
}

// Guards against an account that is refused although it asks for less than its share, while one above its
// share starts.
TEST_CASE("an account below its share isn't refused while another one is above its share") {
    for (const double hot : {14.0, 42.0, 140.0}) {
        CAPTURE(hot);
        account_replay replay;
        replay.set_weights(equal_weights);
        replay.advance(settling_time, {hot, 7, 7, 7});
        replay.take_results();
        replay.advance(measured_time, {hot, 7, 7, 7});
        const auto results = replay.take_results();
        CHECK(results[0].refused_as_surplus > 0);
        for (std::size_t i = 1; i < results.size(); ++i) {
            CHECK(results.at(i).refused == 0);
            CHECK(results.at(i).late == 0);
        }
    }
}

TEST_CASE("with room for all, nothing is surplus") {
    account_replay replay;
    replay.set_weights(equal_weights);
    replay.advance(settling_time, {12, 6, 6, 6});
    for (const account_replay::result& counts : replay.take_results()) {
        CHECK(counts.refused == 0);
    }
    CHECK_FALSE(replay.pool().shares().share_of("a").share_millicores);
}

TEST_CASE("what an account's limit keeps from it is divided among the others") {
    account_replay replay;
    const rates asked{14, 14, 14, 14};
    replay.set_weights(equal_weights);
    replay.advance(settling_time, asked);
    const std::map<std::string, resources> limit{{"a", {4000, unlimited_amount, unlimited_amount}}};
    replay.pool().accounts().set_limits(limit);
    replay.pool().accounts().set_ceilings(limit);
    replay.advance(settling_time, asked);
    replay.take_results();
    replay.advance(measured_time, asked);
    const auto results = replay.take_results();
    for (std::size_t i = 1; i < results.size(); ++i) {
        CHECK(results.at(i).in_time >= 90);
    }
    CHECK(results[0].in_time + results[0].late == 20);
}

// Guards against a new owner that refuses by shares which it hasn't measured.
TEST_CASE("a new owner refuses nothing as surplus until it has measured for two seconds") {
    account_replay replay(1);
    const rates asked{42, 7, 7, 7};
    replay.set_weights(equal_weights);
    replay.advance(1900ms, asked);
    CHECK(replay.take_results()[0].refused_as_surplus == 0);
    CHECK_FALSE(replay.pool().shares().share_of("a").share_millicores);
    replay.advance(200ms, asked);
    REQUIRE(replay.pool().shares().share_of("a").share_millicores);
    replay.advance(settling_time, asked);
    CHECK(replay.take_results()[0].refused_as_surplus > 0);
}

TEST_CASE("repeats of a job count once") {
    fair_shares shares(0ms);
    shares.set_weights({{"a", 1}, {"b", 1}});
    for (int i = 0; i < 10; ++i) {
        shares.record_arrival("a1", "a", 4'000'000, 1s + i * 100ms);
    }
    shares.record_arrival("b1", "b", 4'000'000, 2s);
    shares.update(2000, account_ledger(), 2s);
    CHECK(shares.share_of("a").asked_millicores == 2000);
    CHECK(shares.share_of("a").share_millicores == 1000);
    shares.update(2000, account_ledger(), 4s);
    CHECK(shares.share_of("a").asked_millicores == 0);
    CHECK_FALSE(shares.share_of("a").share_millicores);
}

TEST_CASE("jobs without an account, long-lived jobs and jobs with due times are never surplus") {
    account_replay replay;
    const rates asked{42, 42, 42, 42};
    replay.set_weights(equal_weights);
    replay.advance(settling_time, asked);
    job_spec spec = scheduler_fixture::record("n", {scheduler_fixture::step(16)}).spec;
    CHECK_FALSE(replay.pool().check_admission(spec).is_surplus);
    const auto is_surplus = [&](const std::string& account) {
        return replay.pool().check_admission(spec, account).is_surplus;
    };
    CHECK((is_surplus("a") || is_surplus("b") || is_surplus("c") || is_surplus("d")));
    spec.has_due_times = true;
    CHECK_FALSE(replay.pool().check_admission(spec, "a").is_surplus);
    spec = scheduler_fixture::record("l", {scheduler_fixture::step(1)}).spec;
    spec.steps[0].long_lived = true;
    CHECK_FALSE(replay.pool().check_admission(spec, "a").is_surplus);
}

TEST_CASE("surplus ranks after work that can be in time and before late work") {
    queue_settings queue;
    queue.stretch_factor = 1;
    queue.target_latency = 1s;
    job_state within(scheduler_fixture::record("w", {scheduler_fixture::step(1)}).spec, 5s);
    job_state surplus(scheduler_fixture::record("s", {scheduler_fixture::step(1)}).spec, 4s);
    surplus.is_surplus = true;
    CHECK(rank_of(within, queue, 5s, 5s) < rank_of(surplus, queue, 4s, 5s));
    const job_rank late = rank_of(within, queue, 1s, 5s);
    CHECK(rank_of(surplus, queue, 4s, 5s) < late);
    CHECK(rank_of(surplus, queue, 1s, 5s).is_surplus == false);
}

TEST_CASE("without configured accounts nothing is measured or divided") {
    account_replay replay;
    replay.advance(settling_time, {42, 7, 7, 7});
    for (const account_replay::result& counts : replay.take_results()) {
        CHECK(counts.refused_as_surplus == 0);
    }
    CHECK(replay.pool().shares().asking_accounts().empty());
}
