#pragma once

#include <boost/json.hpp>
#include <iosfwd>
#include <string>

namespace siskinpaddle {

/// A JSON value as the text of a table cell.
[[nodiscard]] std::string cell_text(const boost::json::value& value);

/// Prints the scalar fields of an object, one a line.
void print_fields(std::ostream& out, const boost::json::value& value);

/// Prints an array of objects as an aligned table, its head from the first object's keys.
void print_table(std::ostream& out, const boost::json::array& rows);

} // namespace siskinpaddle
