#pragma once

#include <auburnchute/fleet_state.hpp>
#include <auburnchute/record.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Encodes a batch as one record of the log service, in CBOR with named fields.
/// \pre A snapshot in the batch has a state. Thread safety: pure.
[[nodiscard]] std::string encode_batch(std::span<record const> batch);

/// \brief Decodes a batch. Unknown fields are ignored and missing ones keep their defaults, so that daemons
/// of neighbouring releases read each other's records. An unknown record type is an error, because a fold
/// without that record would differ from the fold of the other daemons.
/// \throws error with step `decode` on malformed data. Thread safety: pure.
[[nodiscard]] std::vector<record> decode_batch(std::string_view data);

} // namespace auburnchute
