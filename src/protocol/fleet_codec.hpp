#pragma once

#include <auburnchute/fleet_message.hpp>
#include <auburnchute/version_plan.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \returns The message as it travels. Thread safety of all functions: pure.
[[nodiscard]] std::vector<std::uint8_t> encode_message(fleet_message const& message);

/// \returns The message, or none if the bytes are not one or hold numbers that no daemon sends.
[[nodiscard]] std::optional<fleet_message> decode_message(std::span<std::uint8_t const> bytes);

/// \returns A record of the crash evidence as it is kept in the store, without times.
[[nodiscard]] std::string encode_evidence(trait_record const& record);

/// \returns The record, or none if the bytes are not one.
[[nodiscard]] std::optional<trait_record> decode_evidence(std::string_view bytes);

/// \returns A plan as it is kept in the store, without times.
[[nodiscard]] std::string encode_plan(version_plan const& plan);

/// \returns The plan, or none if the bytes are not one.
[[nodiscard]] std::optional<version_plan> decode_plan(std::string_view bytes);

} // namespace auburnchute
