#pragma once

#include <auburnchute/tables.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Result of `parse_tables`.
struct parsed_tables {
    tables tables_; ///< Complete and valid only if `faults_` is empty.
    std::vector<table_fault> faults_;
};

/// \brief Parses both tables from YAML text and validates them. Unknown keys, wrong types and numbers out of
/// range are reported as faults with file, line and column. The rows are validated only if each text is
/// valid UTF-8 and exactly one well-formed YAML document.
/// \param routes_name,pools_name File names for the faults, usually the files' paths.
/// \returns The tables and all faults; the tables may be used only if there are none. Thread safety: pure.
///
/// \code
/// auto parsed = parse_tables("routes.yaml", routes_text, "pools.yaml", pools_text);
/// \endcode
[[nodiscard]] parsed_tables parse_tables(std::string_view routes_name, std::string_view routes_text,
                                         std::string_view pools_name, std::string_view pools_text);

/// \returns `file:line:column: field: message`, without `field: ` if the field is empty. Thread safety: pure.
[[nodiscard]] std::string to_string(table_fault const& fault);

/// \returns The workspaces and routes as YAML; `parse_tables` restores equal rows. Thread safety: pure.
[[nodiscard]] std::string routes_to_yaml(tables const& all);

/// \returns The store limits and pools as YAML; `parse_tables` restores equal rows. Thread safety: pure.
[[nodiscard]] std::string pools_to_yaml(tables const& all);

} // namespace auburnchute
