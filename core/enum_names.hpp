#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace siskinpaddle {

/// Name table of an `enum class`. Each enum specialises it next to its declaration as
/// `inline constexpr std::array enum_names<E>{std::pair{E::a, "a"}, ...}`. Immutable, therefore thread-safe.
template <typename Enum>
inline constexpr std::array<std::pair<Enum, std::string_view>, 0> enum_names{};

/// Returns the name of `value`, or "?" for a value outside the table.
template <typename Enum>
constexpr std::string_view name_of(Enum value) noexcept {
    for (const auto& [candidate, name] : enum_names<Enum>) {
        if (candidate == value) {
            return name;
        }
    }
    return "?";
}

/// Returns the value with this name, or nothing when the table doesn't contain the name.
template <typename Enum>
constexpr std::optional<Enum> value_named(std::string_view name) noexcept {
    for (const auto& [candidate, known] : enum_names<Enum>) {
        if (known == name) {
            return candidate;
        }
    }
    return std::nullopt;
}

} // namespace siskinpaddle
