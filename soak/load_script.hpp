#pragma once

#include "core/core.hpp"

#include <cstdint>
#include <optional>
#include <random>

namespace siskinpaddle::soak {

/// Period in which an account sends many times its usual load.
struct hot_period {
    milliseconds start_offset{0}; ///< Since the start of the load.
    milliseconds duration{0};
    std::size_t account = 0;
    std::uint32_t factor = 1; ///< How many times its usual load.
};

/// A task of a job that runs far longer than estimated.
struct long_task {
    std::uint32_t index = 0;
    milliseconds run_time{0};
};

/// What makes a job hard to schedule.
struct job_traits {
    bool speculative = false; ///< Two runs of a task at a time are allowed.
    std::optional<long_task> tail;
};

/// Draws the accounts' hot periods and the properties of jobs, each from a random sequence of its own, so
/// that a seed's faults and other calls don't change. The same seed gives the same results. Not thread-safe.
class load_script {
  public:
    static constexpr std::uint32_t min_factor = 2;
    static constexpr std::uint32_t max_factor = 20;

    explicit load_script(std::uint64_t seed);

    /// The hot period at `offset` since the start of the load; null if no account is hot. Precondition:
    /// offsets don't decrease from call to call.
    [[nodiscard]] const hot_period* hot_at(milliseconds offset);
    /// Number of jobs that the hot account sends beyond its usual load in one iteration of the load.
    [[nodiscard]] std::uint32_t draw_additional_jobs(const hot_period& period);
    [[nodiscard]] std::uint64_t draw_job_id() { return m_hot_random(); }
    [[nodiscard]] job_traits draw_traits(std::uint32_t tasks);

  private:
    void draw_period();

    std::mt19937_64 m_hot_random;
    std::mt19937_64 m_trait_random;
    milliseconds m_next_interval{0};
    hot_period m_period;
};

} // namespace siskinpaddle::soak
