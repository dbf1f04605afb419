#include "protocol/peer_message.hpp"

#include <nlohmann/json.hpp>

namespace auburnchute {

namespace {

using nlohmann::json;

json encode_needs(need_map const& needs)
{
    auto rows = json::array();
    for (auto const& [key, need] : needs) {
        rows.push_back({key.service_, key.model_, key.adapter_, need.waiting_, need.running_, need.rate_,
                        need.urgency_, need.oldest_wait_.count_});
    }
    return rows;
}

need_map decode_needs(json const& rows)
{
    need_map needs;
    for (auto const& row : rows) {
        need_key key{row.at(0), row.at(1), row.at(2)};
        needs[std::move(key)] = {row.at(3), row.at(4), row.at(5), row.at(6), millis{row.at(7)}};
    }
    return needs;
}

json encode_placement(placement_notice const& notice)
{
    auto models = json::array();
    for (auto const& [name, held] : notice.models_) {
        models.push_back({name, held.version_, held.adapters_});
    }
    auto loading = json::array();
    for (auto const& load : notice.loading_) {
        loading.push_back({load.model_, load.adapter_, load.remaining_.count_});
    }
    return {notice.upstream_id_, notice.started_at_, models, notice.retiring_, loading};
}

placement_notice decode_placement(json const& row)
{
    placement_notice notice;
    notice.upstream_id_ = row.at(0);
    notice.started_at_ = row.at(1);
    for (auto const& model : row.at(2)) {
        held_model held;
        held.version_ = model.at(1);
        for (auto const& adapter : model.at(2)) {
            held.adapters_.insert(adapter.get<std::string>());
        }
        notice.models_.emplace(model.at(0).get<std::string>(), std::move(held));
    }
    for (auto const& name : row.at(3)) {
        notice.retiring_.insert(name.get<std::string>());
    }
    for (auto const& load : row.at(4)) {
        notice.loading_.push_back({load.at(0), load.at(1), millis{load.at(2)}});
    }
    return notice;
}

template <typename Value>
json encode_pairs(std::map<std::string, Value, std::less<>> const& pairs)
{
    auto rows = json::array();
    for (auto const& [key, value] : pairs) {
        rows.push_back({key, value});
    }
    return rows;
}

template <typename Value>
void decode_pairs(json const& rows, std::map<std::string, Value, std::less<>>& pairs)
{
    for (auto const& row : rows) {
        pairs.emplace(row.at(0).get<std::string>(), row.at(1).get<Value>());
    }
}

peer_state decode_state(json const& fields)
{
    peer_state state;
    state.vm_ = fields.at(0);
    state.incarnation_ = fields.at(1);
    state.callers_address_ = fields.at(2);
    state.ready_ = fields.at(3);
    state.config_next_ = fields.at(4);
    state.config_age_ = fields.at(5);
    decode_pairs(fields.at(6), state.used_);
    decode_pairs(fields.at(7), state.level_);
    for (auto const& row : fields.at(8)) {
        state.upstreams_[row.at(0)] = {row.at(1), row.at(2), row.at(3)};
    }
    decode_pairs(fields.at(9), state.crashes_);
    state.needs_ = decode_needs(fields.at(10));
    state.lease_epoch_ = fields.at(11);
    state.lease_end_ = fields.at(12);
    state.orders_in_ = fields.at(13);
    state.news_from_ = fields.at(15);
    state.news_to_ = fields.at(16);
    for (auto const& row : fields.at(17)) {
        upstream_entry_news change{row.at(0), row.at(1), std::nullopt};
        if (!row.at(2).is_null()) {
            change.document_ = row.at(2).get<std::string>();
        }
        state.news_.push_back(std::move(change));
    }
    for (auto const& row : fields.at(14)) {
        state.placements_.push_back(decode_placement(row));
    }
    state.placements_from_ = fields.at(18);
    state.placements_to_ = fields.at(19);
    state.seen_epoch_ = fields.at(20);
    state.seen_placements_ = fields.at(21);
    state.seen_news_ = fields.at(22);
    state.strength_ = fields.at(23);
    decode_pairs(fields.at(24), state.asked_);
    return state;
}

} // namespace

std::vector<std::uint8_t> encode_state(peer_state const& state)
{
    auto upstreams = json::array();
    for (auto const& [id, use] : state.upstreams_) {
        upstreams.push_back({id, use.requests_, use.tokens_, use.unread_tokens_});
    }
    auto placements = json::array();
    for (auto const& notice : state.placements_) {
        placements.push_back(encode_placement(notice));
    }
    auto news = json::array();
    for (auto const& change : state.news_) {
        news.push_back({change.offset_, change.id_, change.document_ ? json(*change.document_) : json()});
    }
    json const fields{state.vm_,
                      state.incarnation_,
                      state.callers_address_,
                      state.ready_,
                      state.config_next_,
                      state.config_age_,
                      encode_pairs(state.used_),
                      encode_pairs(state.level_),
                      upstreams,
                      encode_pairs(state.crashes_),
                      encode_needs(state.needs_),
                      state.lease_epoch_,
                      state.lease_end_,
                      state.orders_in_,
                      placements,
                      state.news_from_,
                      state.news_to_,
                      news,
                      state.placements_from_,
                      state.placements_to_,
                      state.seen_epoch_,
                      state.seen_placements_,
                      state.seen_news_,
                      state.strength_,
                      encode_pairs(state.asked_)};
    return json::to_cbor(fields);
}

std::vector<std::uint8_t> encode_datagram(peer_times const& times, std::span<std::uint8_t const> state)
{
    return json::to_cbor(json{times.sent_at_, times.echo_, times.echo_held_,
                              json::binary(std::vector<std::uint8_t>(state.begin(), state.end()))});
}

std::optional<peer_datagram> decode_datagram(std::span<std::uint8_t const> bytes)
{
    try {
        auto const outer = json::from_cbor(bytes.begin(), bytes.end());
        peer_datagram datagram;
        datagram.times_ = {outer.at(0), outer.at(1), outer.at(2)};
        datagram.state_ = decode_state(json::from_cbor(outer.at(3).get_binary()));
        return datagram;
    } catch (json::exception const&) {
        return std::nullopt; // counted by the caller: a datagram of another sender or release
    }
}

} // namespace auburnchute
