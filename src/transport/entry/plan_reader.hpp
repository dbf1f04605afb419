#pragma once

#include "transport/entry/store_reader.hpp"

namespace auburnchute {

/// \file Reads and stores the version plans; a part of the store's reader. Thread safety: the control loop's
/// thread.

/// \brief Reads the plans up to the end of their topic.
/// \throws error as the calls of `store_client`.
net::awaitable<void> read_plans(store_reader& reader, platform::store_client& store);

/// \brief Reads the plans if a newer one may count, and books the proof that none is missing. While all
/// upstreams of each service are of the only version of its plan, none can. \param sent_at When the read was
/// sent that reached the end of the upstreams' entries. \throws error as `read_plans`.
net::awaitable<void> follow_plans(store_reader& reader, platform::store_client& store, millis sent_at);

/// \brief Takes over the plans that a peer told.
void take_plans(store_reader& reader, entry_report const& report);

/// \brief Takes over a peer's proof that no newer plan counts, if this VM has the peer's plans.
/// \pre This VM has the upstreams' entries that the peer has.
void take_plans_proof(store_reader& reader, entry_report const& report);

/// \returns The time since the plans were last known to be the newest that count.
[[nodiscard]] millis plans_age(store_reader const& reader);

/// \brief Has a plan stored, unless one was stored meanwhile that this VM did not know.
void offer_plan(store_reader& reader, std::string const& service, version_plan plan);

/// \brief Stores the plans that are offered.
net::awaitable<void> store_plans(store_reader& reader);

} // namespace auburnchute
