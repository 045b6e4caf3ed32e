#include "jobs/time_model.hpp"

#include <algorithm>
#include <cmath>

namespace siskinpaddle::jobs {

namespace {

/// Weight of each earlier task against the next in the common factor: about the last two hundred tasks count,
/// a second or two of a busy pool, since slow VMs come and go.
constexpr double factor_memory = 0.995;
/// The same for the trust in estimates, which belongs to the queue's clients and lasts: a thousand tasks,
/// some 150 steps, whose tasks share one estimate.
constexpr double trust_memory = 0.999;
/// Estimates count as right with the weight of this many milliseconds of tasks: ten tasks or so.
constexpr double prior_ms = 10'000;
/// Estimates count as right with this much spread: that of twenty tasks whose estimates differ by a factor of
/// about 1.6, a handful of jobs.
constexpr double prior_spread = 4;
/// Beyond these it is not the estimates that are wrong but the VMs that are slow, or the tasks that fail
/// early.
constexpr double least_factor = 0.5;
constexpr double largest_factor = 2.5;

double log_of(std::int64_t ms) {
    return std::log(static_cast<double>(std::max<std::int64_t>(1, ms)));
}

} // namespace

void time_model::book(std::int64_t estimate_ms, milliseconds took) {
    if (estimate_ms <= 0) {
        return;
    }
    m_weighed_ms = m_weighed_ms * factor_memory + weighed_ms(estimate_ms);
    m_taken_ms = m_taken_ms * factor_memory + static_cast<double>(took.count());

    const double x = log_of(estimate_ms);
    const double y = log_of(took.count());
    m_count = m_count * trust_memory + 1;
    const double off_x = x - m_mean_x;
    m_mean_x += off_x / m_count;
    m_mean_y += (y - m_mean_y) / m_count;
    m_spread_xx = m_spread_xx * trust_memory + off_x * (x - m_mean_x);
    m_spread_xy = m_spread_xy * trust_memory + off_x * (y - m_mean_y);
}

double time_model::trust() const noexcept {
    return std::clamp((m_spread_xy + prior_spread) / (m_spread_xx + prior_spread), 0.0, 1.0);
}

double time_model::weighed_ms(std::int64_t estimate_ms) const {
    if (m_count == 0) {
        return static_cast<double>(estimate_ms);
    }
    return std::exp(m_mean_x + trust() * (log_of(estimate_ms) - m_mean_x));
}

double time_model::common_factor() const noexcept {
    return std::clamp((m_taken_ms + prior_ms) / (m_weighed_ms + prior_ms), least_factor, largest_factor);
}

double time_model::expected_ms(std::int64_t estimate_ms) const {
    return estimate_ms <= 0 ? 0 : weighed_ms(estimate_ms) * common_factor();
}

} // namespace siskinpaddle::jobs
