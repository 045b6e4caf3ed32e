#pragma once

#include "core/core.hpp"

#include <algorithm>

namespace siskinpaddle {

/// Token bucket that limits control traffic to an average rate while single events are sent immediately. A
/// fleet record or VM list is large; if it were sent at every change, a wave over a large fleet would exceed
/// a node's budget for control traffic. Pure; not thread-safe.
class byte_budget {
  public:
    /// The budget refills by `per_second` bytes each second, up to `burst` bytes.
    byte_budget(std::int64_t per_second, std::int64_t burst) noexcept
        : m_bytes_per_second(per_second), m_max_bytes(burst), m_available_bytes(burst) {}

    /// Refills the budget and returns whether a message may be sent. Precondition: `now` never decreases.
    [[nodiscard]] bool allows(timestamp now) noexcept {
        const std::int64_t earned = (now - m_last_refill).count() * m_bytes_per_second / 1000;
        if (earned > 0) {
            m_available_bytes = std::min(m_max_bytes, m_available_bytes + earned);
            m_last_refill = now;
        }
        return m_available_bytes > 0;
    }

    /// Deducts the bytes that were sent. The budget may become negative; nothing is allowed until it has
    /// refilled above zero.
    void consume(std::int64_t bytes) noexcept { m_available_bytes -= bytes; }

  private:
    std::int64_t m_bytes_per_second;
    std::int64_t m_max_bytes;
    std::int64_t m_available_bytes;
    timestamp m_last_refill{0};
};

} // namespace siskinpaddle
