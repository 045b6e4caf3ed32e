#include "jobs/scheduler_fixture.hpp"

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Records `count` tasks estimated at a second, of which `tail` in a hundred take `tail_factor` times as long
/// as the others, whose time is `typical`.
run_times record_tasks(int count, int tail, int tail_factor, milliseconds typical) {
    run_times times;
    for (int i = 0; i < count; ++i) {
        times.record("q", 1000, i % 100 < tail ? typical * tail_factor : typical);
    }
    return times;
}

/// A quantile is exact to one bin.
void check_within_a_bin(milliseconds observed, milliseconds expected) {
    CHECK(static_cast<double>(observed.count()) >= static_cast<double>(expected.count()) * 0.999);
    CHECK(static_cast<double>(observed.count()) <=
          static_cast<double>(expected.count()) * run_times::bin_growth * 1.001);
}

} // namespace

TEST_CASE("quantiles show the tail of the run times and estimates that are off") {
    struct tail_case {
        int tail;
        int factor;
        milliseconds typical;
    };
    for (const tail_case& item :
         {tail_case{1, 7, 1000ms}, tail_case{3, 3, 1000ms}, tail_case{3, 7, 1000ms}, tail_case{3, 20, 1000ms},
          tail_case{10, 7, 1000ms}, tail_case{3, 7, 200ms}, tail_case{3, 7, 1900ms}}) {
        INFO(item.tail, " in a hundred take ", item.factor, " times ", item.typical.count(), " ms");
        const run_times times = record_tasks(2000, item.tail, item.factor, item.typical);
        check_within_a_bin(times.quantile("q", 1000, 0.5), item.typical);
        check_within_a_bin(times.quantile("q", 1000, 0.999), item.typical * item.factor);
        check_within_a_bin(times.quantile("q", 500, 0.5), item.typical / 2);
    }
}

TEST_CASE("a task that has run longer than most is expected to be one of the tail") {
    const run_times times = record_tasks(2000, 3, 7, 1000ms);
    CHECK(times.expected_remaining("q", 1000, 0ms) < 1500ms);
    CHECK(times.expected_remaining("q", 1000, 1500ms) > 5s);
    CHECK(times.expected_remaining("q", 1000, 6000ms) < 2s);
}

TEST_CASE("few observations leave the estimate as it is") {
    const run_times times = record_tasks(10, 0, 1, 4000ms);
    CHECK(times.observations("q") < run_times::min_observations);
    CHECK(times.quantile("q", 1000, 0.5) == 1000ms);
    CHECK(times.expected_remaining("q", 1000, 400ms) == 600ms);
    CHECK(times.expected_remaining("other", 1000, 1400ms) == 0ms);
}

TEST_CASE("a change of the work shows after a few hundred tasks") {
    run_times times = record_tasks(2000, 0, 1, 500ms);
    for (int i = 0; i < 600; ++i) {
        times.record("q", 1000, 2000ms);
    }
    check_within_a_bin(times.quantile("q", 1000, 0.5), 2000ms);
}
