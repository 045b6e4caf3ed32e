#include "core/hash.hpp"

#include <array>
#include <cstdio>
#include <xxhash.h>

namespace siskinpaddle {

std::uint64_t hash64(std::string_view data, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string to_hex(std::uint64_t value) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

} // namespace siskinpaddle
