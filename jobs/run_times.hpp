#pragma once

#include "core/core.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace siskinpaddle::jobs {

/// Distribution of the run times of a pool's tasks, by queue, as a multiple of what their jobs estimated. Not
/// thread-safe.
///
/// Answers run times with a heavy tail: a mean says neither how long most tasks take nor which of them has
/// run unusually long. Each queue has a histogram with bins of equal width in the logarithm of the ratio, so
/// a quantile is exact to one bin, which is `bin_growth`. Earlier tasks count less with each new one, so a
/// change of the work shows within a few hundred tasks.
class run_times {
  public:
    /// Records a task that ended as done. Only tasks that ran from their beginning on a VM that is not known
    /// to be slow are recorded, so that a slow VM doesn't change what is expected of all.
    void record(const std::string& queue, std::int64_t estimate_ms, milliseconds took);

    /// Number of tasks that the distribution of the queue rests on, by their present weight.
    [[nodiscard]] double observations(const std::string& queue) const;
    /// Time that a share `q` of the tasks with this estimate take at most; the estimate itself while fewer
    /// than min_observations are known. Precondition: 0 < q < 1.
    [[nodiscard]] milliseconds quantile(const std::string& queue, std::int64_t estimate_ms, double q) const;
    /// Expected time until a task ends that has run for `elapsed`: the mean over the tasks that took longer.
    [[nodiscard]] milliseconds expected_remaining(const std::string& queue, std::int64_t estimate_ms,
                                                  milliseconds elapsed) const;

    static constexpr double bin_growth = 1.12;
    static constexpr double min_observations = 20;

  private:
    /// Ratios from 0.05 to about 50.
    static constexpr double min_ratio = 0.05;
    static constexpr std::size_t bin_count = 61;
    struct histogram {
        std::array<double, bin_count> weights{};
        double total = 0;
    };

    [[nodiscard]] static std::size_t bin_of(double ratio);
    /// The upper edge of the bin.
    [[nodiscard]] static double ratio_of(std::size_t bin);
    [[nodiscard]] const histogram* find(const std::string& queue) const;

    std::map<std::string, histogram> m_queues;
};

} // namespace siskinpaddle::jobs
