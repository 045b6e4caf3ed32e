#include "jobs/pool_bench.hpp"

#include <algorithm>
#include <cmath>
#include <random>

using namespace siskinpaddle;
using namespace siskinpaddle::tests;

namespace {

/// Steps of a queue: what they take, and what their client says they take.
struct step_times {
    std::int64_t estimate_ms = 0;
    milliseconds taken{0};
};

/// A factor whose logarithm is drawn from a normal distribution.
double random_factor(std::mt19937& random, double spread) {
    // The sum of twelve uniform draws; the library's own normal distribution differs from one to the next.
    double sum = -6;
    for (int i = 0; i < 12; ++i) {
        sum += static_cast<double>(random()) / static_cast<double>(std::mt19937::max());
    }
    return std::exp(spread * sum);
}

std::vector<step_times> draw(std::size_t count, double error) {
    std::mt19937 random(7);
    std::vector<step_times> steps;
    for (std::size_t i = 0; i < count; ++i) {
        const double taken = 800 * random_factor(random, 0.5);
        const double estimate = taken * random_factor(random, error);
        steps.push_back({static_cast<std::int64_t>(estimate), milliseconds(static_cast<int>(taken))});
    }
    return steps;
}

} // namespace

TEST_CASE("times follow what tasks of a queue take together, within bounds") {
    struct factor_case {
        const char* what = "";
        std::int64_t estimate_ms = 0;
        milliseconds taken{0};
        int tasks = 0;
        double factor = 1;
    };
    for (const factor_case& item : {factor_case{"nothing is known", 1000, 1500ms, 0, 1.0},
                                    factor_case{"one task says little", 1000, 1500ms, 1, 11'500.0 / 11'000},
                                    factor_case{"many tasks", 1000, 1500ms, 1000, 1.5},
                                    factor_case{"it is the VMs that are slow", 100, 5000ms, 1000, 2.5}}) {
        INFO(item.what);
        time_model model;
        for (int i = 0; i < item.tasks; ++i) {
            model.book(item.estimate_ms, item.taken);
        }
        CHECK(model.common_factor() == doctest::Approx(item.factor).epsilon(0.05));
        const double expected = item.factor * static_cast<double>(item.estimate_ms);
        CHECK(model.expected_ms(item.estimate_ms) == doctest::Approx(expected).epsilon(0.05));
    }
}

TEST_CASE("an estimate counts as far as earlier ones were right") {
    struct trust_case {
        const char* what = "";
        double error = 0;
        double least = 0;
        double most = 1;
    };
    for (const trust_case& item :
         {trust_case{"estimates that are right", 0, 0.95, 1},
          trust_case{"that are off by a fifth", 0.2, 0.75, 0.95},
          trust_case{"that are off by a factor of two and a half", 0.9, 0.15, 0.35}}) {
        INFO(item.what);
        time_model model;
        for (const step_times& step : draw(300, item.error)) {
            model.book(step.estimate_ms, step.taken);
        }
        CHECK(model.trust() >= item.least);
        CHECK(model.trust() <= item.most);
    }
    CHECK(time_model().trust() == 1);
    CHECK(time_model().expected_ms(0) == 0);
}

TEST_CASE("replayed: a busy pool turns fewer jobs away for wrong estimates") {
    // In each turn of demand a third of the quotes is refused though the pool could have served them in time,
    // and as many others end late. Their estimates are off by a factor of two and a half either way; taken at
    // their word they decide who is let in behind up to 1.5 s of waiting work.
    time_model model;
    for (const step_times& step : draw(300, 0.9)) {
        model.book(step.estimate_ms, step.taken);
    }
    queue_settings queue;
    queue.stretch_factor = 1.6;
    queue.target_latency = 600ms;
    const job_spec job = pool_bench::record("j", {pool_bench::step(8)}).spec;
    pool_load load;
    load.usable_millicores = 32'000;
    std::size_t wrong_by_word = 0;
    std::size_t wrong = 0;
    std::size_t judged = 0;
    const std::vector<step_times> steps = draw(800, 0.9);
    for (std::size_t i = 300; i < steps.size(); ++i) {
        load.waiting_work = static_cast<std::int64_t>(i % 15) * 100 * load.usable_millicores;
        const std::int64_t taken = steps[i].taken.count();
        const auto weighed = static_cast<std::int64_t>(model.expected_ms(steps[i].estimate_ms));
        const bool in_time = admit(job, queue, taken, load).accepted;
        wrong_by_word += admit(job, queue, steps[i].estimate_ms, load).accepted != in_time ? 1 : 0;
        wrong += admit(job, queue, weighed, load).accepted != in_time ? 1 : 0;
        ++judged;
    }
    MESSAGE("judged " << judged << ", wrong by the estimate's word " << wrong_by_word << ", weighed "
                      << wrong);
    CHECK(wrong * 10 <= wrong_by_word * 7);
}
