#include <auburnchute/fleet_state.hpp>

#include <array>

namespace auburnchute {

std::string_view type_name(record_body const& body) noexcept
{
    // In the order of the alternatives of `record_body`.
    static constexpr std::array<std::string_view, std::variant_size_v<record_body>> names{
        "member_joined",    "member_leaving", "member_gone",   "member_suspected", "share_ack",
        "tables_published", "key_granted",    "key_withdrawn", "upstream_seen",    "upstream_gone",
        "load_decided",     "replica_loaded", "load_failed",   "unload_decided",   "replica_released",
        "claim_made",       "claim_outcome",  "crash_seen",    "crash_cleared",    "drain_set",
        "snapshot"};
    return names[body.index()];
}

} // namespace auburnchute
