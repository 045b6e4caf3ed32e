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
        : m_per_second(per_second), m_burst(burst), m_level(burst) {}

    /// Whether something may be sent now. Preconditions: `now` never goes back.
    [[nodiscard]] bool allows(timestamp now) noexcept {
        const std::int64_t earned = (now - m_last).count() * m_per_second / 1000;
        if (earned > 0) {
            m_level = std::min(m_burst, m_level + earned);
            m_last = now;
        }
        return m_level > 0;
    }

    /// Counts what was sent, also beyond the level: the debt is earned back before anything is allowed again.
    void spend(std::int64_t bytes) noexcept { m_level -= bytes; }

  private:
    std::int64_t m_per_second;
    std::int64_t m_burst;
    std::int64_t m_level;
    timestamp m_last{0};
};

} // namespace siskinpaddle
