#pragma once

#include <auburnchute/tables.hpp>

#include <string>
#include <vector>

namespace auburnchute {

enum class change_kind : std::uint8_t { added, removed, changed };

/// \brief One difference between two versions of the tables.
struct table_change {
    change_kind kind_{change_kind::changed};
    std::string row_;   ///< For example `routes/build-review` or `pools/large/models/ledger-70b`.
    std::string field_; ///< The key in the YAML file; empty if the whole row came or went.
    std::string before_;
    std::string after_;

    friend bool operator==(table_change const&, table_change const&) = default;
};

/// \returns The differences, row by row; empty exactly if `same_rows` holds but for the order of rows. The
/// order of routes decides which one matches first, so its change is a difference of the row `routes`. Thread
/// safety: pure.
[[nodiscard]] std::vector<table_change> diff(tables const& before, tables const& after);

/// \returns One line, for example `~ routes/build-review deadline_ms: 30000 -> 20000`. Thread safety: pure.
[[nodiscard]] std::string to_string(table_change const& change);

} // namespace auburnchute
