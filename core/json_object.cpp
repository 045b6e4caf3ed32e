#include "core/json_object.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace siskinpaddle {

namespace {

constexpr std::size_t max_json_depth = 16;

std::string position_of(std::string_view text, std::size_t offset) {
    const auto preceding = text.substr(0, std::min(offset, text.size()));
    const auto line = 1 + std::count(preceding.begin(), preceding.end(), '\n');
    const auto newline = preceding.rfind('\n');
    const auto column = newline == std::string_view::npos ? preceding.size() + 1 : preceding.size() - newline;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

} // namespace

json_object::json_object(const boost::json::value& value, std::string path, findings& out)
    : m_object(value.if_object()), m_path(std::move(path)), m_findings(out) {
    if (m_object == nullptr) {
        m_findings.add(m_path, "must be an object");
    }
}

std::string json_object::path_of(std::string_view key) const {
    return m_path + "/" + escape_pointer(key);
}

const boost::json::value* json_object::find(std::string_view key) {
    m_known_keys.emplace(key);
    return m_object == nullptr ? nullptr : m_object->if_contains(key);
}

const boost::json::value* json_object::child(std::string_view key) {
    return find(key);
}

std::string json_object::text(std::string_view key) {
    if (find(key) == nullptr) {
        m_findings.add(path_of(key), "is missing; a string is required");
        return {};
    }
    return text_or(key, {});
}

std::string json_object::text_or(std::string_view key, std::string fallback) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        m_findings.add(path_of(key), "must be a string");
        return fallback;
    }
    return std::string(value->get_string());
}

std::int64_t json_object::number(std::string_view key, number_bounds bounds) {
    if (find(key) == nullptr) {
        m_findings.add(path_of(key), "is missing; a whole number is required");
        return bounds.low;
    }
    return number_or(key, bounds.low, bounds);
}

std::int64_t json_object::number_or(std::string_view key, std::int64_t fallback, number_bounds bounds) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_int64()) {
        m_findings.add(path_of(key), "must be a whole number");
        return fallback;
    }
    if (value->get_int64() < bounds.low || value->get_int64() > bounds.high) {
        m_findings.add(path_of(key), "must be from " + std::to_string(bounds.low) + " to " +
                                         std::to_string(bounds.high) + ", not " +
                                         std::to_string(value->get_int64()));
        return fallback;
    }
    return value->get_int64();
}

bool json_object::flag_or(std::string_view key, bool fallback) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_bool()) {
        m_findings.add(path_of(key), "must be true or false");
        return fallback;
    }
    return value->get_bool();
}

void json_object::for_each_member(
    std::string_view key,
    const std::function<void(const std::string&, const boost::json::value&, const std::string&)>& visit) {
    const boost::json::value* value = find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_object()) {
        m_findings.add(path_of(key), "must be an object");
        return;
    }
    for (const auto& member : value->get_object()) {
        const std::string name(member.key());
        visit(name, member.value(), path_of(key) + "/" + escape_pointer(name));
    }
}

void json_object::reject_unknown() {
    if (m_object == nullptr) {
        return;
    }
    for (const auto& member : *m_object) {
        if (m_known_keys.find(std::string_view(member.key().data(), member.key().size())) ==
            m_known_keys.end()) {
            m_findings.add(path_of(std::string_view(member.key().data(), member.key().size())),
                           "is not a known key");
        }
    }
}

std::string escape_pointer(std::string_view key) {
    std::string escaped;
    for (const char c : key) {
        if (c == '~') {
            escaped += "~0";
        } else if (c == '/') {
            escaped += "~1";
        } else {
            escaped += c;
        }
    }
    return escaped;
}

boost::json::value parse_json(std::string_view text, const std::string& location, findings& out) {
    boost::json::parse_options options;
    options.max_depth = max_json_depth;
    boost::json::stream_parser parser({}, options);
    boost::json::error_code error;
    std::size_t parsed_bytes = parser.write_some(text.data(), text.size(), error);
    if (!error) {
        parser.finish(error);
    }
    if (!error && parsed_bytes < text.size() &&
        text.find_first_not_of(" \t\r\n", parsed_bytes) != std::string_view::npos) {
        error = boost::json::error::extra_data;
    }
    if (error) {
        out.add(location, "is not valid JSON at " + position_of(text, parsed_bytes) + ": " + error.message());
        return nullptr;
    }
    return parser.release();
}

boost::json::value parse_json_file(const std::string& path, findings& out) {
    const std::ifstream file(path, std::ios::binary);
    if (!file) {
        out.add("", "can't be read");
        return {};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_json(text.str(), "", out);
}

} // namespace siskinpaddle
