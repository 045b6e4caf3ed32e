#pragma once

#include "core/core.hpp"

#include <algorithm>

namespace siskinpaddle {

/// Holds control traffic to an average rate while single events go through at once. A fleet record or VM list
/// is large; sent at every change, a wave over a large fleet would cost more than a node may spend. Pure; not
/// thread-safe.
class byte_budget {
  public:
    /// `per_second` bytes are earned each second, up to `burst`.
    byte_budget(std::int64_t per_second, std::int64_t burst) noexcept
        : m_bytes_per_second(per_second), m_max_bytes(burst), m_available_bytes(burst) {}

    /// Whether something may be sent now. Preconditions: `now` never goes back.
    [[nodiscard]] bool allows(timestamp now) noexcept {
        const std::int64_t earned = (now - m_last_refill).count() * m_bytes_per_second / 1000;
        if (earned > 0) {
            m_available_bytes = std::min(m_max_bytes, m_available_bytes + earned);
            m_last_refill = now;
        }
        return m_available_bytes > 0;
    }

    /// Counts what was sent, also beyond the level: the debt is earned back before anything is allowed again.
    void consume(std::int64_t bytes) noexcept { m_available_bytes -= bytes; }

  private:
    std::int64_t m_bytes_per_second;
    std::int64_t m_max_bytes;
    std::int64_t m_available_bytes;
    timestamp m_last_refill{0};
};

} // namespace siskinpaddle
