#pragma once

#include "core/core.hpp"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinpaddle {

/// Header fields in order of arrival; names are compared without regard to case.
class http_headers {
  public:
    void add(std::string_view name, std::string_view value) { m_fields.emplace_back(name, value); }

    /// Returns the first value of the field, or "" when there is none.
    [[nodiscard]] std::string_view get(std::string_view name) const;
    [[nodiscard]] bool has(std::string_view name) const;

    [[nodiscard]] const std::vector<std::pair<std::string, std::string>>& fields() const noexcept {
        return m_fields;
    }

  private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// Whether two header names or tokens are equal without regard to ASCII case.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Returns the value of a query parameter in a request target, not decoded, or "" when there is none.
[[nodiscard]] std::string query_parameter(std::string_view target, std::string_view name);

/// Returns the path of a request target, without its query.
[[nodiscard]] std::string_view path_of_target(std::string_view target);

/// Address of a listener or peer: an IP address and a port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
    [[nodiscard]] std::string to_string() const { return address + ":" + std::to_string(port); }
};

} // namespace siskinpaddle
