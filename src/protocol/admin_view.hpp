#pragma once

#include <auburnchute/tables.hpp>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

/// \file What `auburnctl` shows of the answers of the admin interface (docs/admin-api.md).
namespace auburnchute {

/// \brief A member on which a change is not yet known to be in force.
struct member_behind {
    std::string vm_;
    std::uint64_t next_offset_{};
    std::int64_t heard_ms_ago_{};
};

/// \returns The members of a status answer that have not folded the record at that offset; members that are
/// gone are left out. \throws nlohmann::json::exception if the answer is malformed. Thread safety: pure.
[[nodiscard]] std::vector<member_behind> members_behind(nlohmann::json const& status, std::uint64_t offset);

/// \returns The admin addresses of all members that are not gone; the member whose VM begins the id comes
/// first, since it made the id. \throws nlohmann::json::exception if the answer is malformed. Thread safety:
/// pure.
[[nodiscard]] std::vector<std::string> members_to_ask(nlohmann::json const& status, std::string_view id);

/// \returns A status answer as text in sections. \throws nlohmann::json::exception if the answer is
/// malformed. Thread safety: pure.
[[nodiscard]] std::string show_status(nlohmann::json const& status);

/// \returns The keys of a workspace list as text, one line each. \throws nlohmann::json::exception if the
/// answer is malformed. Thread safety: pure.
[[nodiscard]] std::string show_keys(nlohmann::json const& answer);

/// \returns The digest that equals `text` or is the only one that begins with it.
/// \throws error with step `keys` if none or several do, or if fewer than 8 digits are given.
[[nodiscard]] std::string find_digest(nlohmann::json const& answer, std::string_view text);

/// \returns The faults in the form of the admin interface. Thread safety: pure.
[[nodiscard]] nlohmann::ordered_json to_json(std::span<table_fault const> faults);

} // namespace auburnchute
