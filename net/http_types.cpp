#include "net/http_types.hpp"

#include <event2/util.h>

namespace siskinpaddle {

bool equals_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && evutil_ascii_strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view http_headers::get(std::string_view name) const {
    for (const auto& [field, value] : m_fields) {
        if (equals_ignoring_case(field, name)) {
            return value;
        }
    }
    return {};
}

bool http_headers::has(std::string_view name) const {
    for (const auto& [field, value] : m_fields) {
        if (equals_ignoring_case(field, name)) {
            return true;
        }
    }
    return false;
}

std::string query_parameter(std::string_view target, std::string_view name) {
    const std::size_t separator = target.find('?');
    std::string_view query =
        separator == std::string_view::npos ? std::string_view{} : target.substr(separator + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return std::string(pair.substr(equals + 1));
        }
    }
    return {};
}

std::string_view path_of_target(std::string_view target) {
    return target.substr(0, target.find('?'));
}

} // namespace siskinpaddle
