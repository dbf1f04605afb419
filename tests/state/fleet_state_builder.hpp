#pragma once

#include <auburnchute/fleet_state.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace auburnchute::test {

inline constexpr std::int64_t vm_memory_mb = 100;

/// \returns Tables with a model of 40 MB (at most 2 replicas, two adapters of 5 MB), a model of 30 MB (at
/// most 3 replicas), a service pool, and a weight store that serves 2 checkpoints and 1 adapter at once.
inline tables make_tables()
{
    tables all;
    all.author_ = "ana";
    all.workspaces_ = {{"legal", 100, 1'000, 1}, {"shop", 100, 1'000, 1}};
    pool_row pool;
    pool.name_ = "gpu";
    pool.upstreams_ = {"u*"};
    model_row big;
    big.name_ = "big";
    big.memory_mb_ = 40;
    big.max_replicas_ = 2;
    big.adapters_ = {{"a", 5}, {"b", 5}};
    model_row small = big;
    small.name_ = "small";
    small.memory_mb_ = 30;
    small.max_replicas_ = 3;
    small.adapters_.clear();
    pool.models_ = {big, small};
    pool_row desk;
    desk.name_ = "desk";
    desk.kind_ = pool_kind::service;
    desk.upstreams_ = {"s*"};
    all.pools_ = {pool, desk};
    all.store_ = {2, 1};
    return all;
}

/// \brief Applies records to a fleet state at consecutive offsets, with increasing sequence numbers for each
/// writer.
struct fleet_state_builder {
    fleet_state state_;
    millis time_{1'000};
    std::map<member_id, std::uint64_t> next_sequence_;

    apply_result write(member_id const& writer, record_body body)
    {
        return apply(state_, {writer, ++next_sequence_[writer], std::move(body)}, state_.next_offset_, time_);
    }

    apply_result join(member_id const& member)
    {
        return write(member, member_joined{member, "za", "h", "p", "a", state_.next_offset_});
    }

    /// \brief Lets all members that are not gone acknowledge the pending share version, until none is
    /// pending.
    void acknowledge_shares()
    {
        while (state_.pending_.number_ != 0) {
            auto const number = state_.pending_.number_;
            auto members = state_.in_force_.members_;
            members.insert(members.end(), state_.pending_.members_.begin(), state_.pending_.members_.end());
            for (auto const& m : members) {
                if (state_.pending_.number_ == number && !is_gone(state_, m)) {
                    (void)write(m, share_ack{m, number});
                }
            }
        }
    }

    apply_result load(member_id const& executor, std::string replica, std::string model, std::string upstream,
                      std::string adapter = {}, load_source source = load_source::store)
    {
        auto const count = replica_count(state_, "gpu", model, adapter);
        auto const memory = !adapter.empty() ? 5 : model == "big" ? 40 : 30;
        return write(executor, load_decided{std::move(replica), "gpu", std::move(model), std::move(adapter),
                                            std::move(upstream), memory, source, executor, count});
    }
};

inline member_id const entry_a{"e0", 1};
inline member_id const entry_b{"e1", 1};
inline member_id const entry_c{"e2", 1};

/// \returns A builder whose state has three members, tables and the upstreams u0 (honours fencing tokens), u1
/// and u2 (ignore them).
inline fleet_state_builder make_state_builder()
{
    fleet_state_builder builder;
    for (auto const& m : {entry_a, entry_b, entry_c}) {
        (void)builder.join(m);
        builder.acknowledge_shares();
    }
    (void)builder.write(entry_a, tables_published{0, make_tables()});
    for (int i = 0; i < 3; ++i) {
        (void)builder.write(
            entry_a, upstream_seen{"u" + std::to_string(i), "i0", "x:1", "za", vm_memory_mb, i == 0, false});
    }
    return builder;
}

} // namespace auburnchute::test
