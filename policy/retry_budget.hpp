#pragma once

#include <algorithm>

namespace siskinpaddle {

/// Lets retries be at most a fraction of the requests, so that a failing pool isn't flooded by its own
/// retries. Pure; not thread-safe.
class retry_budget {
  public:
    /// `fraction` of requests may be retried; up to `burst` unused retries are kept.
    explicit retry_budget(double fraction = 0.1, double burst = 10) noexcept
        : m_fraction(fraction), m_burst(burst), m_tokens(burst) {}

    void on_request() noexcept { m_tokens = std::min(m_burst, m_tokens + m_fraction); }

    [[nodiscard]] bool can_retry() const noexcept { return m_tokens >= 1; }

    /// Precondition: available().
    void consume() noexcept { m_tokens -= 1; }

  private:
    double m_fraction;
    double m_burst;
    double m_tokens;
};

} // namespace siskinpaddle
