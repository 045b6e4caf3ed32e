#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// 64-bit xxHash of `data`; the same in all builds and on all machines. Not for cryptographic use.
[[nodiscard]] std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0) noexcept;

/// Returns `value` as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

} // namespace siskinpaddle
