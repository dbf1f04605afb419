#include "fleet_state_builder.hpp"

#include <auburnchute/fleet_state.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace auburnchute;
using namespace auburnchute::test;

namespace {

constexpr std::int64_t total_share_units = 1'000'000;
constexpr millis grace_period{5'000}; // Equal to `removal_grace_period` in authority.hpp.
constexpr millis day{24 * 60 * 60 * 1000};

/// Test oracle: derives what the guarantees allow from the accepted records alone, independently of the rules
/// in `apply`, and asserts that the replicated state stays within it.
struct guarantee_checker {
    struct claim {
        millis at_;
        member_id by_;
        bool freed_{};
    };
    std::map<std::string, claim> claims_;
    std::set<std::string> withdrawn_keys_;
    std::uint64_t version_{};
    std::map<member_id, std::int64_t> allowed_units_; ///< Share that each process may be using.
    std::map<member_id, millis>
        authority_ends_at_;             ///< For members removed by votes: when their authority has lapsed.
    std::uint64_t share_version_{};     ///< The share version in force.
    std::optional<millis> increase_at_; ///< When the members use their full share of the version in force.
    std::map<std::string, std::int64_t> replicas_;    ///< By model and adapter, after the last record.
    std::map<std::string, std::int64_t> reserved_mb_; ///< By upstream, after the last record.
    std::map<bool, std::int64_t> transfers_;          ///< From the weight store; key: whether of adapters.

    static std::int64_t share(share_version const& version, member_id const& m)
    {
        auto const& all = version.members_;
        return std::find(all.begin(), all.end(), m) == all.end()
                   ? 0
                   : total_share_units / static_cast<std::int64_t>(all.size());
    }

    void observe(record const& rec, apply_result const& result, fleet_state const& state)
    {
        if (result.verdict_ == verdict::accepted) {
            check_claims(rec, state);
            if (auto const* const key = std::get_if<key_withdrawn>(&rec.body_)) {
                withdrawn_keys_.insert(key->digest_);
            }
            if (auto const* const ack = std::get_if<share_ack>(&rec.body_)) {
                // A process that has not acknowledged the version may not have read it and may still use its
                // old share.
                auto const& version =
                    state.in_force_.number_ == ack->version_ ? state.in_force_ : state.pending_;
                allowed_units_[ack->member_] =
                    std::min(allowed_units_[ack->member_], share(version, ack->member_));
            }
        }
        check_shares(state);
        check(state);
    }

    void check_claims(record const& rec, fleet_state const& state)
    {
        if (auto const* const made = std::get_if<claim_made>(&rec.body_)) {
            auto const it = claims_.find(made->key_);
            // RC_ASSERT alone does not short-circuit; the inner parentheses make the expression do so.
            RC_ASSERT((it == claims_.end() || it->second.freed_ ||
                       it->second.at_ + claim_lifetime < state.log_time_));
            claims_[made->key_] = {state.log_time_, made->daemon_, false};
        } else if (auto const* const outcome = std::get_if<claim_outcome>(&rec.body_)) {
            auto& held = claims_.at(outcome->key_);
            RC_ASSERT(held.by_ == rec.writer_);
            held.freed_ = outcome->not_run_;
        }
    }

    void check_shares(fleet_state const& state)
    {
        auto const time = state.log_time_;
        for (auto const& [id, entry] : state.members_) {
            if (entry.status_ != member_status::gone) {
                continue;
            }
            if (!entry.by_suspicion_) {
                allowed_units_[id] = 0;
            } else if (auto const at = authority_ends_at_.try_emplace(id, time + grace_period).first->second;
                       at <= time) {
                allowed_units_[id] = 0;
            }
        }
        if (state.in_force_.number_ != share_version_) {
            share_version_ = state.in_force_.number_;
            increase_at_ = state.in_force_.after_suspicion_ ? time + grace_period : time;
        }
        if (increase_at_ && *increase_at_ <= time) {
            increase_at_.reset();
            for (auto const& m : state.in_force_.members_) {
                if (!is_gone(state, m)) {
                    // A member that has acknowledged the pending version uses at most its share of that
                    // version.
                    auto const limit = state.acks_.contains(m) ? share(state.pending_, m) : total_share_units;
                    allowed_units_[m] = std::min(share(state.in_force_, m), limit);
                }
            }
        }
        std::int64_t sum = 0;
        for (auto const& [id, units] : allowed_units_) {
            sum += units;
        }
        RC_ASSERT(sum <= total_share_units);
    }

    /// Asserts that `value` is within `bound`. A bound may be lowered below the current value; then the value
    /// must not grow.
    template <typename Key>
    static void check_limit(std::map<Key, std::int64_t>& last, Key const& key, std::int64_t value,
                            std::int64_t bound)
    {
        RC_ASSERT(value <= std::max(bound, last[key]));
        last[key] = value;
    }

    void check(fleet_state const& state)
    {
        RC_ASSERT(state.tables_->version_ >= version_);
        version_ = state.tables_->version_;
        for (auto const& digest : withdrawn_keys_) {
            RC_ASSERT(!state.keys_.contains(digest));
        }
        std::map<std::string, std::int64_t> replicas;
        std::map<std::string, std::int64_t> reserved;
        std::map<bool, std::int64_t> transfers;
        for (auto const& [id, r] : state.replicas_) {
            ++replicas[r.model_ + ":" + r.adapter_];
            reserved[r.upstream_] += r.memory_mb_;
            if (r.source_ == load_source::store && r.status_ == replica_status::loading) {
                ++transfers[!r.adapter_.empty()];
            }
        }
        auto const& models =
            state.tables_->pools_.empty() ? std::vector<model_row>{} : state.tables_->pools_.front().models_;
        for (auto const& model : models) {
            check_limit(replicas_, model.name_ + ":", replicas[model.name_ + ":"], model.max_replicas_);
            for (auto const& adapter : model.adapters_) {
                auto const name = model.name_ + ":" + adapter.name_;
                check_limit(replicas_, name, replicas[name], model.max_replicas_);
            }
        }
        for (auto const& [name, upstream] : state.upstreams_) {
            check_limit(reserved_mb_, name, reserved[name], upstream.memory_mb_);
        }
        check_limit(transfers_, false, transfers[false], state.tables_->store_.checkpoint_transfers_);
        check_limit(transfers_, true, transfers[true], state.tables_->store_.adapter_transfers_);
    }
};

struct log_entry {
    record record_;
    std::uint64_t offset_;
    millis time_;
};

struct log_simulation {
    fleet_state_builder builder_{make_state_builder()};
    guarantee_checker checker_;
    std::vector<log_entry> log_;
    std::uint64_t first_offset_{builder_.state_.next_offset_};
    std::optional<fleet_state> pending_snapshot_; ///< State of a snapshot whose record is not yet appended.
    std::optional<fleet_state> restored_; ///< State restored from the last snapshot and kept up to date.
    int replicas_named_{};

    log_simulation() { checker_.check_shares(builder_.state_); }

    void append(record const& rec)
    {
        auto const offset = builder_.state_.next_offset_;
        log_.push_back({rec, offset, builder_.time_});
        auto const before = builder_.state_;
        auto const result = apply(builder_.state_, rec, offset, builder_.time_);
        if (result.verdict_ != verdict::accepted) {
            auto same = before;
            same.next_offset_ = builder_.state_.next_offset_;
            same.log_time_ = builder_.state_.log_time_;
            same.rejected_ = builder_.state_.rejected_;
            same.repeated_ = builder_.state_.repeated_;
            same.sequences_ = builder_.state_.sequences_;
            RC_ASSERT(same_state(same, builder_.state_));
        }
        checker_.observe(rec, result, builder_.state_);
        if (restored_) {
            auto const other = apply(*restored_, rec, offset, builder_.time_);
            RC_ASSERT(other.verdict_ == result.verdict_);
            RC_ASSERT(same_state(*restored_, builder_.state_));
        }
    }

    void write(member_id const& writer, record_body body)
    {
        append({writer, ++builder_.next_sequence_[writer], std::move(body)});
    }

    member_id random_member()
    {
        std::vector<member_id> known;
        for (auto const& [id, e] : builder_.state_.members_) {
            known.push_back(id);
        }
        return *rc::gen::elementOf(known);
    }

    std::string random_replica()
    {
        std::vector<std::string> ids{"none"};
        for (auto const& [id, e] : builder_.state_.replicas_) {
            ids.push_back(id);
            ids.push_back(id);
        }
        return *rc::gen::elementOf(ids);
    }
};

using simulation_command = rc::state::Command<int, log_simulation>;

bool random_bool()
{
    return *rc::gen::arbitrary<bool>();
}

struct load_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const executor = w.random_member();
        auto const writer = w.random_member();
        auto const model = *rc::gen::element<std::string>("big", "small", "big", "big");
        auto const adapter = model == "big" ? *rc::gen::element<std::string>("", "a", "b") : std::string{};
        auto const count =
            replica_count(w.builder_.state_, "gpu", model, adapter) + *rc::gen::element(0, 0, 0, 1);
        auto const source = *rc::gen::element(load_source::store, load_source::disk_cache);
        w.write(writer, load_decided{"r" + std::to_string(++w.replicas_named_), "gpu", model, adapter,
                                     "u" + std::to_string(*rc::gen::inRange(0, 3)),
                                     !adapter.empty() ? 5
                                     : model == "big" ? 40
                                                      : 30,
                                     source, executor, count});
    }
    void show(std::ostream& os) const override { os << "load"; }
};

struct replica_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const id = w.random_replica();
        auto const it = w.builder_.state_.replicas_.find(id);
        auto const executor = it == w.builder_.state_.replicas_.end() || random_bool() ? w.random_member()
                                                                                       : it->second.executor_;
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            return w.write(executor, replica_loaded{id, random_bool()});
        case 1:
            return w.write(executor, load_failed{id, random_bool()});
        case 2:
            return w.write(w.random_member(), unload_decided{id, w.random_member()});
        default:
            auto const by = it == w.builder_.state_.replicas_.end() || random_bool()
                                ? w.random_member()
                                : it->second.unload_executor_;
            return w.write(by, replica_released{id, by});
        }
    }
    void show(std::ostream& os) const override { os << "replica"; }
};

struct upstream_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const name = "u" + std::to_string(*rc::gen::inRange(0, 3));
        auto const instance = "i" + std::to_string(*rc::gen::inRange(0, 6));
        if (random_bool()) {
            w.write(w.random_member(),
                    upstream_seen{name, instance, "x", "z", vm_memory_mb, random_bool(), false});
        } else {
            w.write(w.random_member(), upstream_gone{name, instance});
        }
    }
    void show(std::ostream& os) const override { os << "upstream"; }
};

struct member_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const target = w.random_member();
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            member_id const id{"e" + std::to_string(*rc::gen::inRange(0, 5)),
                               static_cast<std::uint64_t>(*rc::gen::inRange(1, 5))};
            auto const next = w.builder_.state_.next_offset_;
            auto const read_to = *rc::gen::element(next, next, next, next / 2, next - next);
            return w.write(id, member_joined{id, "z", "h", "p", "a", read_to});
        }
        case 1:
            return w.write(target, member_leaving{target});
        case 2:
            return w.write(
                random_bool() ? target : w.random_member(),
                member_gone{target, *rc::gen::element(gone_evidence::left, gone_evidence::vm_absent)});
        default:
            auto const voter = w.random_member();
            return w.write(voter, member_suspected{voter, target});
        }
    }
    void show(std::ostream& os) const override { os << "member"; }
};

struct share_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const all = random_bool();
        for (auto const& [id, e] : std::map{w.builder_.state_.members_}) {
            if (w.builder_.state_.pending_.number_ != 0 && (all || random_bool()) &&
                e.status_ != member_status::gone) {
                w.write(id, share_ack{id, w.builder_.state_.pending_.number_});
            }
        }
    }
    void show(std::ostream& os) const override { os << "share"; }
};

struct claim_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const key = *rc::gen::element<std::string>("k1", "k2");
        auto const by = w.random_member();
        if (random_bool()) {
            w.write(by, claim_made{key, "checkout", "shop", "d", by});
        } else {
            w.write(by, claim_outcome{key, by, 200, "", "body", true, random_bool()});
        }
    }
    void show(std::ostream& os) const override { os << "claim"; }
};

struct operator_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        auto const digest = *rc::gen::element<std::string>("d1", "d2", "d3");
        auto const writer = w.random_member();
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            return w.write(writer, key_granted{digest, "legal", "n"});
        case 1:
            return w.write(writer, key_withdrawn{digest});
        case 2: {
            auto all = make_tables();
            all.pools_[0].models_[0].max_replicas_ = *rc::gen::inRange(1, 4);
            all.store_.checkpoint_transfers_ = *rc::gen::inRange(1, 3);
            auto const version = w.builder_.state_.tables_->version_;
            return w.write(writer, tables_published{*rc::gen::element(version, version, version - 1), all});
        }
        case 3:
            return w.write(writer, drain_set{"u" + std::to_string(*rc::gen::inRange(0, 4)), random_bool()});
        case 4:
            return w.write(writer, crash_seen{digest, "u0", "q", random_bool()});
        default:
            return w.write(writer, crash_cleared{digest});
        }
    }
    void show(std::ostream& os) const override { os << "operator"; }
};

/// Appends earlier records again, as a writer does that received no acknowledgement. The repeat may come long
/// after the first append, when the writer was purged.
struct repeat_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        if (w.log_.empty()) {
            return;
        }
        auto const first = *rc::gen::inRange<std::size_t>(0, w.log_.size());
        auto const last = std::min(w.log_.size(), first + *rc::gen::inRange<std::size_t>(1, 4));
        for (auto i = first; i < last; ++i) {
            auto const rec = w.log_[i].record_;
            auto const known = w.builder_.state_.sequences_.contains(rec.writer_);
            auto const accepted = w.builder_.state_.accepted_;
            w.append(rec);
            // A rejected join of an unknown writer leaves no sequence number, so its repeat may be accepted.
            if (known || !std::holds_alternative<member_joined>(rec.body_)) {
                RC_ASSERT(w.builder_.state_.accepted_ == accepted);
            }
        }
    }
    void show(std::ostream& os) const override { os << "repeat"; }
};

struct advance_time : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        w.builder_.time_ +=
            *rc::gen::element(millis{1}, millis{1'000}, grace_period, grace_period, day / 2, day + millis{1});
    }
    void show(std::ostream& os) const override { os << "time"; }
};

struct snapshot_records : simulation_command {
    void run(int const&, log_simulation& w) const override
    {
        if (!w.pending_snapshot_ || random_bool()) {
            w.pending_snapshot_ = w.builder_.state_;
            return;
        }
        snapshot const body{w.pending_snapshot_->next_offset_,
                            std::make_shared<fleet_state const>(*w.pending_snapshot_)};
        w.write(w.random_member(), body);
        w.pending_snapshot_.reset();
        auto reader = restore(body);
        for (auto const& e : w.log_) {
            if (e.offset_ >= body.offset_) {
                (void)auburnchute::apply(reader, e.record_, e.offset_, e.time_);
            }
        }
        RC_ASSERT(same_state(reader, w.builder_.state_));
        w.restored_ = std::move(reader);
    }
    void show(std::ostream& os) const override { os << "snapshot"; }
};

} // namespace

// Guards against orders, repeats and delays of records with which `apply` breaks a guarantee on shares,
// claims, keys, replicas, memory or transfers, or with which a state restored from a snapshot differs.
TEST_CASE("the replicated state keeps the guarantees under any order of records",
          "[fleet_state][promise-1][promise-2][promise-6][promise-7][promise-10][promise-13]")
{
    CHECK(rc::check("the replicated state keeps the guarantees", [] {
        log_simulation w;
        rc::state::check(
            0, w,
            rc::state::gen::execOneOfWithArgs<load_records, load_records, replica_records, replica_records,
                                              upstream_records, member_records, share_records, share_records,
                                              claim_records, operator_records, repeat_records, advance_time,
                                              snapshot_records>());
    }));
}
