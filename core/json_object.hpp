#pragma once

#include "core/findings.hpp"

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace siskinpaddle {

/// Inclusive bounds of a number in a JSON document.
struct number_bounds {
    std::int64_t low;
    std::int64_t high;
};

/// Reads the fields of one JSON object and reports each problem with its JSON pointer: wrong types, numbers
/// out of bounds, missing and unknown keys. After a problem, reading continues with the field's default, so
/// that one pass finds all problems. Not thread-safe; keeps references to `value` and `out`.
class json_object {
  public:
    /// `path` is the JSON pointer of `value`. Adds a finding when `value` isn't an object.
    json_object(const boost::json::value& value, std::string path, findings& out);

    [[nodiscard]] std::string text(std::string_view key);
    [[nodiscard]] std::string text_or(std::string_view key, std::string fallback);
    [[nodiscard]] std::int64_t number(std::string_view key, number_bounds bounds);
    [[nodiscard]] std::int64_t number_or(std::string_view key, std::int64_t fallback, number_bounds bounds);
    [[nodiscard]] bool flag_or(std::string_view key, bool fallback);

    /// Calls `visit(name, value, path)` for each member of the object at `key`; does nothing when the key is
    /// missing.
    void for_each_member(
        std::string_view key,
        const std::function<void(const std::string&, const boost::json::value&, const std::string&)>& visit);

    /// Returns the value at `key`, or null when the key is missing. The caller checks its type.
    [[nodiscard]] const boost::json::value* child(std::string_view key);

    /// Returns the JSON pointer of the field `key`.
    [[nodiscard]] std::string path_of(std::string_view key) const;

    /// Reports each key that no earlier call has read. Call once, after all fields are read.
    void reject_unknown();

  private:
    const boost::json::value* find(std::string_view key);

    const boost::json::object* m_object = nullptr;
    std::string m_path;
    findings& m_findings;
    std::set<std::string, std::less<>> m_known_keys;
};

/// Escapes `key` as one reference token of a JSON pointer (RFC 6901).
[[nodiscard]] std::string escape_pointer(std::string_view key);

/// Parses `text` and adds a finding with line and column on a syntax error. The nesting depth is limited so
/// that hostile input can't exhaust the stack.
[[nodiscard]] boost::json::value parse_json(std::string_view text, const std::string& location,
                                            findings& out);

/// Reads and parses a file; adds a finding when the file can't be read or isn't valid JSON.
[[nodiscard]] boost::json::value parse_json_file(const std::string& path, findings& out);

} // namespace siskinpaddle
