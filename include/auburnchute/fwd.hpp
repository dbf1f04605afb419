#pragma once

#include <cstdint>

/// \file Forward declarations of public types.
namespace auburnchute {

struct millis;
struct clock;
class error;
struct member_id;
struct row_ref;

struct workspace_row;
struct route_row;
struct adapter_row;
struct model_row;
struct pool_row;
struct store_row;
struct tables;
struct table_fault;
struct parsed_tables;
enum class priority : std::uint8_t;
enum class pool_kind : std::uint8_t;
enum class locality : std::uint8_t;

struct record;
struct fleet_state;
struct apply_result;
enum class verdict : std::uint8_t;
enum class load_source : std::uint8_t;

struct rate_bucket;
struct loan_grant;
struct routing_candidate;
struct routing_request;
struct waiting_request;
struct wait_queue;
struct placement_input;
struct model_key;
struct model_demand;
struct retry_budget;
enum class try_result : std::uint8_t;
enum class execution : std::uint8_t;
struct local_crash_evidence;
enum class crash_verdict : std::uint8_t;
struct authority_view;
enum class authority : std::uint8_t;
struct log_writer;

template <typename T>
class rcu_cell;

} // namespace auburnchute
