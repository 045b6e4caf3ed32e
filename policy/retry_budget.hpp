#pragma once

#include <algorithm>

namespace siskinpaddle {

/// Limits retries to a fraction of the requests, so that retries don't overload a failing pool further. Pure;
/// not thread-safe.
class retry_budget {
  public:
    /// Allows retries for `fraction` of the requests; up to `burst` unused retries accumulate.
    explicit retry_budget(double fraction = 0.1, double burst = 10) noexcept
        : m_fraction(fraction), m_burst(burst), m_tokens(burst) {}

    void on_request() noexcept { m_tokens = std::min(m_burst, m_tokens + m_fraction); }

    [[nodiscard]] bool can_retry() const noexcept { return m_tokens >= 1; }

    /// Deducts one retry. Precondition: can_retry().
    void consume() noexcept { m_tokens -= 1; }

  private:
    double m_fraction;
    double m_burst;
    double m_tokens;
};

} // namespace siskinpaddle
