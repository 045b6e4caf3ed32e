#pragma once

#include "core/json_object.hpp"

#include <optional>
#include <ostream>

namespace siskinpaddle {

/// Exit codes of the server programs.
enum exit_code : int { exit_success = 0, exit_failure = 1, exit_invalid_settings = 2 };

/// Reads a program's settings with `parse(value, findings)`. If there are findings, writes each to `errors`
/// with the file name and the location, and returns nothing.
template <class Parse>
[[nodiscard]] auto load_settings(const std::string& path, const Parse& parse, std::ostream& errors)
    -> std::optional<decltype(parse(boost::json::value(), std::declval<findings&>()))> {
    findings problems;
    const boost::json::value document = parse_json_file(path, problems);
    if (problems.empty()) {
        auto settings = parse(document, problems);
        if (problems.empty()) {
            return settings;
        }
    }
    findings problems_in_file;
    problems_in_file.append(problems, path + ":");
    errors << problems_in_file.to_string();
    return std::nullopt;
}

} // namespace siskinpaddle
