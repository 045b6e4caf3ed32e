#include "soak/account_script.hpp"
#include "soak/load_script.hpp"

#include <doctest/doctest.h>
#include <set>

using namespace siskinpaddle;
using namespace siskinpaddle::soak;

TEST_CASE("one account at a time is hot, for seconds, with 2 to 20 times its load") {
    std::set<std::size_t> accounts;
    std::set<std::uint32_t> factors;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        load_script script(seed);
        load_script again(seed);
        milliseconds hot(0);
        for (milliseconds offset(0); offset < 30s; offset += 10ms) {
            const hot_period* period = script.hot_at(offset);
            const hot_period* other = again.hot_at(offset);
            REQUIRE((period == nullptr) == (other == nullptr));
            if (period == nullptr) {
                continue;
            }
            hot += 10ms;
            CHECK(period->start_offset == other->start_offset);
            CHECK(period->start_offset <= offset);
            CHECK(offset < period->start_offset + period->duration);
            accounts.insert(period->account);
            factors.insert(period->factor);
        }
        CHECK(hot >= 8s);
        CHECK(hot <= 15s);
    }
    CHECK(accounts.size() == account_script::accounts);
    CHECK(*factors.begin() == load_script::min_factor);
    CHECK(*factors.rbegin() == load_script::max_factor);
}

TEST_CASE("a hot account sends its usual load so many times") {
    constexpr std::uint32_t iterations = 6000;
    load_script script(3);
    for (const std::uint32_t factor : {2U, 7U, 20U}) {
        std::uint32_t jobs = 0;
        for (std::uint32_t i = 0; i < iterations; ++i) {
            jobs += script.draw_additional_jobs({0ms, 1s, 0, factor});
        }
        INFO(factor);
        CHECK(static_cast<double>(jobs) / (iterations / 6.0) == doctest::Approx(factor - 1).epsilon(0.1));
    }
}

TEST_CASE("a few in a hundred tasks run several times as long, some jobs are speculative") {
    constexpr std::uint32_t jobs = 6000;
    load_script script(5);
    std::uint32_t tasks = 0;
    std::uint32_t tails = 0;
    std::uint32_t speculative = 0;
    for (std::uint32_t i = 0; i < jobs; ++i) {
        const std::uint32_t of_job = 1 + i % 4;
        const job_traits traits = script.draw_traits(of_job);
        tasks += of_job;
        speculative += traits.speculative ? 1 : 0;
        if (traits.tail) {
            ++tails;
            CHECK(traits.tail->index < of_job);
            CHECK(traits.tail->run_time >= 2s);
            CHECK(traits.tail->run_time <= 4s);
        }
    }
    CHECK(tails > tasks * 25 / 1000);
    CHECK(tails < tasks * 36 / 1000);
    CHECK(speculative > jobs / 10);
    CHECK(speculative < jobs / 6);
}
