#pragma once

#include <boost/json.hpp>
#include <iosfwd>
#include <string>

namespace siskinpaddle {

/// Returns the text of a JSON value for a table cell: "-" for an empty string, the unquoted text of another
/// string, JSON for all other values.
[[nodiscard]] std::string cell_text(const boost::json::value& value);

/// Prints the scalar fields of an object and a non-empty `changed_paths`, one per line. Prints nothing if
/// `value` is not an object.
void print_fields(std::ostream& out, const boost::json::value& value);

/// Prints an array of objects as an aligned table. The header row holds the keys of the first object. Prints
/// nothing if the array is empty.
void print_table(std::ostream& out, const boost::json::array& rows);

} // namespace siskinpaddle
