#include "fold_builder.hpp"

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

constexpr std::int64_t whole_share = 1'000'000;
constexpr millis grace{5'000}; // `removal_grace_period` of the coordination layer.
constexpr millis day{24 * 60 * 60 * 1000};

/// Knows the guarantees and nothing of the fold's rules: it follows what was accepted.
struct oracle {
    struct claim {
        millis at_;
        member_id by_;
        bool freed_{};
    };
    std::map<std::string, claim> claims_;
    std::set<std::string> withdrawn_;
    std::uint64_t version_{};
    std::map<member_id, std::int64_t> units_;      ///< What each process may use.
    std::map<member_id, millis> stops_at_;         ///< When the authority of a removed member has lapsed.
    std::uint64_t share_number_{};                 ///< The version to which members rise.
    std::optional<millis> rise_at_;                ///< After a removal by votes.
    std::map<std::string, std::int64_t> replicas_; ///< By model, after the last record.
    std::map<std::string, std::int64_t> reserved_;
    std::map<bool, std::int64_t> transfers_;

    static std::int64_t share(share_version const& version, member_id const& m)
    {
        auto const& all = version.members_;
        return std::find(all.begin(), all.end(), m) == all.end()
                   ? 0
                   : whole_share / static_cast<std::int64_t>(all.size());
    }

    void follow(record const& rec, apply_result const& result, fleet_state const& state)
    {
        if (result.verdict_ == verdict::accepted) {
            follow_claims(rec, state);
            if (auto const* const key = std::get_if<key_withdrawn>(&rec.body_)) {
                withdrawn_.insert(key->digest_);
            }
            if (auto const* const ack = std::get_if<share_ack>(&rec.body_)) {
                // A process that does not acknowledge may not have read the version and keeps its old units.
                auto const& version =
                    state.in_force_.number_ == ack->version_ ? state.in_force_ : state.pending_;
                units_[ack->member_] = std::min(units_[ack->member_], share(version, ack->member_));
            }
        }
        follow_shares(state);
        check(state);
    }

    void follow_claims(record const& rec, fleet_state const& state)
    {
        if (auto const* const made = std::get_if<claim_made>(&rec.body_)) {
            auto const it = claims_.find(made->key_);
            // RC_ASSERT itself does not short-circuit.
            RC_ASSERT((it == claims_.end() || it->second.freed_ ||
                       it->second.at_ + claim_lifetime < state.log_time_));
            claims_[made->key_] = {state.log_time_, made->daemon_, false};
        } else if (auto const* const outcome = std::get_if<claim_outcome>(&rec.body_)) {
            auto& held = claims_.at(outcome->key_);
            RC_ASSERT(held.by_ == rec.writer_);
            held.freed_ = outcome->not_run_;
        }
    }

    void follow_shares(fleet_state const& state)
    {
        auto const time = state.log_time_;
        for (auto const& [id, entry] : state.members_) {
            if (entry.status_ != member_status::gone) {
                continue;
            }
            if (!entry.by_suspicion_) {
                units_[id] = 0;
            } else if (auto const at = stops_at_.try_emplace(id, time + grace).first->second; at <= time) {
                units_[id] = 0;
            }
        }
        if (state.in_force_.number_ != share_number_) {
            share_number_ = state.in_force_.number_;
            rise_at_ = state.in_force_.after_suspicion_ ? time + grace : time;
        }
        if (rise_at_ && *rise_at_ <= time) {
            rise_at_.reset();
            for (auto const& m : state.in_force_.members_) {
                if (!is_gone(state, m)) {
                    // A pending version that the member acknowledged limits it further.
                    auto const limit = state.acks_.contains(m) ? share(state.pending_, m) : whole_share;
                    units_[m] = std::min(share(state.in_force_, m), limit);
                }
            }
        }
        std::int64_t sum = 0;
        for (auto const& [id, units] : units_) {
            sum += units;
        }
        RC_ASSERT(sum <= whole_share);
    }

    /// Limits may fall below what is in use; then the use must not grow.
    template <typename Key>
    static void check_bound(std::map<Key, std::int64_t>& last, Key const& key, std::int64_t value,
                            std::int64_t bound)
    {
        RC_ASSERT(value <= std::max(bound, last[key]));
        last[key] = value;
    }

    void check(fleet_state const& state)
    {
        RC_ASSERT(state.tables_->version_ >= version_);
        version_ = state.tables_->version_;
        for (auto const& digest : withdrawn_) {
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
            check_bound(replicas_, model.name_ + ":", replicas[model.name_ + ":"], model.max_replicas_);
            for (auto const& adapter : model.adapters_) {
                auto const name = model.name_ + ":" + adapter.name_;
                check_bound(replicas_, name, replicas[name], model.max_replicas_);
            }
        }
        for (auto const& [name, upstream] : state.upstreams_) {
            check_bound(reserved_, name, reserved[name], upstream.memory_mb_);
        }
        check_bound(transfers_, false, transfers[false], state.tables_->store_.checkpoint_transfers_);
        check_bound(transfers_, true, transfers[true], state.tables_->store_.adapter_transfers_);
    }
};

struct entry {
    record record_;
    std::uint64_t offset_;
    millis time_;
};

struct fold_world {
    fold_builder fold_{make_fold()};
    oracle oracle_;
    std::vector<entry> log_;
    std::uint64_t first_offset_{fold_.state_.next_offset_};
    std::optional<fleet_state> kept_;   ///< Covers a snapshot that is not yet written.
    std::optional<fleet_state> reader_; ///< Started from a snapshot.
    int names_{};

    fold_world() { oracle_.follow_shares(fold_.state_); }

    void put(record const& rec)
    {
        auto const offset = fold_.state_.next_offset_;
        log_.push_back({rec, offset, fold_.time_});
        auto const before = fold_.state_;
        auto const result = apply(fold_.state_, rec, offset, fold_.time_);
        if (result.verdict_ != verdict::accepted) {
            auto same = before;
            same.next_offset_ = fold_.state_.next_offset_;
            same.log_time_ = fold_.state_.log_time_;
            same.rejected_ = fold_.state_.rejected_;
            same.repeated_ = fold_.state_.repeated_;
            same.sequences_ = fold_.state_.sequences_;
            RC_ASSERT(same_state(same, fold_.state_));
        }
        oracle_.follow(rec, result, fold_.state_);
        if (reader_) {
            auto const other = apply(*reader_, rec, offset, fold_.time_);
            RC_ASSERT(other.verdict_ == result.verdict_);
            RC_ASSERT(same_state(*reader_, fold_.state_));
        }
    }

    void write(member_id const& writer, record_body body)
    {
        put({writer, ++fold_.next_sequence_[writer], std::move(body)});
    }

    member_id pick_member()
    {
        std::vector<member_id> known;
        for (auto const& [id, e] : fold_.state_.members_) {
            known.push_back(id);
        }
        return *rc::gen::elementOf(known);
    }

    std::string pick_replica()
    {
        std::vector<std::string> ids{"none"};
        for (auto const& [id, e] : fold_.state_.replicas_) {
            ids.push_back(id);
            ids.push_back(id);
        }
        return *rc::gen::elementOf(ids);
    }
};

using fold_command = rc::state::Command<int, fold_world>;

bool flip()
{
    return *rc::gen::arbitrary<bool>();
}

struct load_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const executor = w.pick_member();
        auto const writer = w.pick_member();
        auto const model = *rc::gen::element<std::string>("big", "small", "big", "big");
        auto const adapter = model == "big" ? *rc::gen::element<std::string>("", "a", "b") : std::string{};
        auto const count =
            replica_count(w.fold_.state_, "gpu", model, adapter) + *rc::gen::element(0, 0, 0, 1);
        auto const source = *rc::gen::element(load_source::store, load_source::disk_cache);
        w.write(writer, load_decided{"r" + std::to_string(++w.names_), "gpu", model, adapter,
                                     "u" + std::to_string(*rc::gen::inRange(0, 3)),
                                     !adapter.empty() ? 5
                                     : model == "big" ? 40
                                                      : 30,
                                     source, executor, count});
    }
    void show(std::ostream& os) const override { os << "load"; }
};

struct replica_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const id = w.pick_replica();
        auto const it = w.fold_.state_.replicas_.find(id);
        auto const executor =
            it == w.fold_.state_.replicas_.end() || flip() ? w.pick_member() : it->second.executor_;
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            return w.write(executor, replica_loaded{id, flip()});
        case 1:
            return w.write(executor, load_failed{id, flip()});
        case 2:
            return w.write(w.pick_member(), unload_decided{id, w.pick_member()});
        default:
            auto const by = it == w.fold_.state_.replicas_.end() || flip() ? w.pick_member()
                                                                           : it->second.unload_executor_;
            return w.write(by, replica_released{id, by});
        }
    }
    void show(std::ostream& os) const override { os << "replica"; }
};

struct upstream_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const name = "u" + std::to_string(*rc::gen::inRange(0, 3));
        auto const instance = "i" + std::to_string(*rc::gen::inRange(0, 6));
        if (flip()) {
            w.write(w.pick_member(), upstream_seen{name, instance, "x", "z", vm_memory, flip(), false});
        } else {
            w.write(w.pick_member(), upstream_gone{name, instance});
        }
    }
    void show(std::ostream& os) const override { os << "upstream"; }
};

struct member_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const target = w.pick_member();
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            member_id const id{"e" + std::to_string(*rc::gen::inRange(0, 5)),
                               static_cast<std::uint64_t>(*rc::gen::inRange(1, 5))};
            auto const next = w.fold_.state_.next_offset_;
            auto const read_to = *rc::gen::element(next, next, next, next / 2, next - next);
            return w.write(id, member_joined{id, "z", "h", "p", "a", read_to});
        }
        case 1:
            return w.write(target, member_leaving{target});
        case 2:
            return w.write(
                flip() ? target : w.pick_member(),
                member_gone{target, *rc::gen::element(gone_evidence::left, gone_evidence::vm_absent)});
        default:
            auto const voter = w.pick_member();
            return w.write(voter, member_suspected{voter, target});
        }
    }
    void show(std::ostream& os) const override { os << "member"; }
};

struct share_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const all = flip();
        for (auto const& [id, e] : std::map{w.fold_.state_.members_}) {
            if (w.fold_.state_.pending_.number_ != 0 && (all || flip()) && e.status_ != member_status::gone) {
                w.write(id, share_ack{id, w.fold_.state_.pending_.number_});
            }
        }
    }
    void show(std::ostream& os) const override { os << "share"; }
};

struct claim_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const key = *rc::gen::element<std::string>("k1", "k2");
        auto const by = w.pick_member();
        if (flip()) {
            w.write(by, claim_made{key, "checkout", "shop", "d", by});
        } else {
            w.write(by, claim_outcome{key, by, 200, "", "body", true, flip()});
        }
    }
    void show(std::ostream& os) const override { os << "claim"; }
};

struct operator_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        auto const digest = *rc::gen::element<std::string>("d1", "d2", "d3");
        auto const writer = w.pick_member();
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            return w.write(writer, key_granted{digest, "legal", "n"});
        case 1:
            return w.write(writer, key_withdrawn{digest});
        case 2: {
            auto all = make_tables();
            all.pools_[0].models_[0].max_replicas_ = *rc::gen::inRange(1, 4);
            all.store_.checkpoint_transfers_ = *rc::gen::inRange(1, 3);
            auto const version = w.fold_.state_.tables_->version_;
            return w.write(writer, tables_published{*rc::gen::element(version, version, version - 1), all});
        }
        case 3:
            return w.write(writer, drain_set{"u" + std::to_string(*rc::gen::inRange(0, 4)), flip()});
        case 4:
            return w.write(writer, crash_seen{digest, "u0", "q", flip()});
        default:
            return w.write(writer, crash_cleared{digest});
        }
    }
    void show(std::ostream& os) const override { os << "operator"; }
};

/// Appends earlier records again, as after a lost acknowledgement, also a long time later.
struct repeat_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        if (w.log_.empty()) {
            return;
        }
        auto const first = *rc::gen::inRange<std::size_t>(0, w.log_.size());
        auto const last = std::min(w.log_.size(), first + *rc::gen::inRange<std::size_t>(1, 4));
        for (auto i = first; i < last; ++i) {
            auto const rec = w.log_[i].record_;
            auto const known = w.fold_.state_.sequences_.contains(rec.writer_);
            auto const accepted = w.fold_.state_.accepted_;
            w.put(rec);
            // A join that was rejected has left no trace, so its repeat is judged like a first one.
            if (known || !std::holds_alternative<member_joined>(rec.body_)) {
                RC_ASSERT(w.fold_.state_.accepted_ == accepted);
            }
        }
    }
    void show(std::ostream& os) const override { os << "repeat"; }
};

struct pass_time : fold_command {
    void run(int const&, fold_world& w) const override
    {
        w.fold_.time_ += *rc::gen::element(millis{1}, millis{1'000}, grace, grace, day / 2, day + millis{1});
    }
    void show(std::ostream& os) const override { os << "time"; }
};

struct snapshot_records : fold_command {
    void run(int const&, fold_world& w) const override
    {
        if (!w.kept_ || flip()) {
            w.kept_ = w.fold_.state_;
            return;
        }
        snapshot const body{w.kept_->next_offset_, std::make_shared<fleet_state const>(*w.kept_)};
        w.write(w.pick_member(), body);
        w.kept_.reset();
        auto reader = restore(body);
        for (auto const& e : w.log_) {
            if (e.offset_ >= body.offset_) {
                (void)auburnchute::apply(reader, e.record_, e.offset_, e.time_);
            }
        }
        RC_ASSERT(same_state(reader, w.fold_.state_));
        w.reader_ = std::move(reader);
    }
    void show(std::ostream& os) const override { os << "snapshot"; }
};

} // namespace

// Guards against any order of records, repeats and delays that breaks a guarantee in the fold.
TEST_CASE("the fold keeps the guarantees under any records",
          "[fleet_state][promise-1][promise-2][promise-6][promise-7][promise-10][promise-13]")
{
    CHECK(rc::check("fold", [] {
        fold_world w;
        rc::state::check(
            0, w,
            rc::state::gen::execOneOfWithArgs<load_records, load_records, replica_records, replica_records,
                                              upstream_records, member_records, share_records, share_records,
                                              claim_records, operator_records, repeat_records, pass_time,
                                              snapshot_records>());
    }));
}
