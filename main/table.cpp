#include "main/table.hpp"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <vector>

namespace siskinpaddle {

std::string cell_text(const boost::json::value& value) {
    if (value.is_string()) {
        return value.get_string().empty() ? "-" : std::string(value.get_string());
    }
    return boost::json::serialize(value);
}

void print_fields(std::ostream& out, const boost::json::value& value) {
    const auto* object = value.if_object();
    if (object == nullptr) {
        return;
    }
    for (const auto& field : *object) {
        const bool empty_list = field.value().is_array() && field.value().get_array().empty();
        if (!field.value().is_structured() ||
            (field.value().is_array() && field.key() == "changed_paths" && !empty_list)) {
            out << std::string(field.key()) << ": " << cell_text(field.value()) << "\n";
        }
    }
}

void print_table(std::ostream& out, const boost::json::array& rows) {
    if (rows.empty()) {
        return;
    }
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& field : rows.front().as_object()) {
        lines.front().emplace_back(field.key());
    }
    for (const auto& row : rows) {
        std::vector<std::string> line;
        for (const auto& field : row.as_object()) {
            line.push_back(cell_text(field.value()));
        }
        lines.push_back(std::move(line));
    }
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < widths.size() && i < line.size(); ++i) {
            widths[i] = std::max(widths[i], line[i].size());
        }
    }
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < widths.size() && i < line.size(); ++i) {
            out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << line[i];
        }
        out << "\n";
    }
}

} // namespace siskinpaddle
