#pragma once

#include "core/core.hpp"

#include <cstdint>

namespace siskinpaddle::jobs {

/// Learns from the tasks of one queue how long a task takes, given its estimate. Not thread-safe.
///
/// Answers estimates that are wrong one by one: where one task in three is declared at less than half or more
/// than twice its time, a short estimate says little. Taken at its word, a job that was estimated too short
/// is turned away for an objective that it would have met, and one estimated too long is let in and ends
/// late. So an estimate counts by its word only as far as earlier ones were right: it is drawn towards the
/// queue's usual time by the slope of a regression of the logarithms of times on those of estimates. The sum
/// of many tasks, too, may be longer or shorter than declared; what is left of that is a common factor.
class time_model {
  public:
    /// A task ended as done after `took`, from its start to the word of its end. Tasks without an estimate
    /// teach nothing.
    void book(std::int64_t estimate_ms, milliseconds took);

    /// How long a task with this estimate takes, ms; the estimate itself while little is known, 0 without
    /// one.
    [[nodiscard]] double expected_ms(std::int64_t estimate_ms) const;
    /// How much longer tasks take together than their estimates, each weighed as above, say.
    [[nodiscard]] double common_factor() const noexcept;
    /// How far an estimate counts: 1 by its word, 0 not at all.
    [[nodiscard]] double trust() const noexcept;

  private:
    [[nodiscard]] double weighed_ms(std::int64_t estimate_ms) const;

    // Moments of the logarithms of estimates (x) and times (y), the newest tasks weighing most.
    double m_count = 0;
    double m_mean_x = 0;
    double m_mean_y = 0;
    double m_spread_xx = 0;
    double m_spread_xy = 0;
    // For the common factor.
    double m_weighed_ms = 0;
    double m_taken_ms = 0;
};

} // namespace siskinpaddle::jobs
