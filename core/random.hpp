#pragma once

#include <cstdint>

namespace siskinpaddle {

/// Seeded generator (splitmix64) with the same sequence on every platform, so that recorded sessions replay
/// byte for byte. Not for cryptographic use. Not thread-safe.
class random_source {
  public:
    explicit random_source(std::uint64_t seed) noexcept : m_state(seed) {}

    std::uint64_t next() noexcept {
        m_state += 0x9e3779b97f4a7c15ULL;
        std::uint64_t z = m_state;
        z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
        return z ^ (z >> 31U);
    }

    /// Returns a number uniform in [0, bound). Precondition: bound > 0.
    std::uint64_t next_below(std::uint64_t bound) noexcept { return next() % bound; }

    /// Returns a number uniform in [0, 1).
    double next_double() noexcept { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

  private:
    std::uint64_t m_state;
};

} // namespace siskinpaddle
