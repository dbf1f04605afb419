#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief One incarnation of a daemon: the VM's name and a random number, drawn when the process starts and
/// again when the daemon rejoins after its removal.
struct member_id {
    std::string vm_;
    std::uint64_t incarnation_{};

    friend auto operator<=>(member_id const&, member_id const&) = default;
};

/// \brief Refers to a row of a configuration table at a version, as the reason of a decision.
struct row_ref {
    std::string table_; ///< `routes` or `pools`
    std::string row_;
    std::uint64_t version_{};

    friend auto operator<=>(row_ref const&, row_ref const&) = default;
};

/// \returns The row as shown to callers and operators, for example `routes/build-review@3`.
[[nodiscard]] std::string to_string(row_ref const& row);

/// \returns The member as shown in logs and request ids, for example `entry-a1-1f2e3d`.
[[nodiscard]] std::string to_string(member_id const& member);

/// \returns The bytes in lower-case hexadecimal.
[[nodiscard]] std::string to_hex(std::span<unsigned char const> bytes);

/// \brief Computes a salted digest, for example of an API key, of which the log stores only the digest.
/// \returns The SHA-256 of salt, a line feed and key, in lower-case hexadecimal.
[[nodiscard]] std::string salted_digest(std::string_view salt, std::string_view key);

/// \returns A 64-bit hash that is the same on all daemons.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0) noexcept;

} // namespace auburnchute
