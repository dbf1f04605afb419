#pragma once

#include <auburnchute/tables.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Tables read from text, with the faults found.
struct parsed_tables {
    tables tables_;
    std::vector<table_fault> faults_;
};

/// \brief Reads both tables from YAML text. Unknown keys, wrong types and out-of-range numbers are faults
/// with file, line and column. \param routes_name,pools_name Names shown in faults, usually the files' paths.
/// \returns The tables and all faults; the tables may be used only if there are none. Thread safety: pure.
///
/// \code
/// auto parsed = parse_tables("routes.yaml", routes_text, "pools.yaml", pools_text);
/// \endcode
[[nodiscard]] parsed_tables parse_tables(std::string_view routes_name, std::string_view routes_text,
                                         std::string_view pools_name, std::string_view pools_text);

/// \returns `file:line:column: field: message`. Thread safety: pure.
[[nodiscard]] std::string to_string(table_fault const& fault);

/// \brief Writes the tables as YAML that `parse_tables` reads back to the same rows. Thread safety: pure.
[[nodiscard]] std::string routes_to_yaml(tables const& all);
[[nodiscard]] std::string pools_to_yaml(tables const& all);

} // namespace auburnchute
