#include <auburnchute/error.hpp>
#include <auburnchute/fleet_state.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace auburnchute {

namespace {

apply_result rejected(std::string reason)
{
    return {verdict::rejected, std::move(reason)};
}

member_entry* find_member(fleet_state& state, member_id const& member)
{
    auto const it = state.members_.find(member);
    return it == state.members_.end() ? nullptr : &it->second;
}

bool contains(std::vector<member_id> const& members, member_id const& member)
{
    return std::find(members.begin(), members.end(), member) != members.end();
}

/// \returns True if the member's process is known to have ended. A member that was only removed by votes may
/// be paused, and may still send an order when it resumes.
bool process_known_ended(fleet_state const& state, member_id const& member)
{
    auto const it = state.members_.find(member);
    return it != state.members_.end() && it->second.status_ == member_status::gone &&
           !it->second.by_suspicion_;
}

/// \returns True if each member of the share version in force and of the pending one has acknowledged the
/// pending version or is gone.
bool pending_version_acknowledged(fleet_state const& state)
{
    auto const done = [&state](member_id const& m) { return state.acks_.contains(m) || is_gone(state, m); };
    return std::all_of(state.in_force_.members_.begin(), state.in_force_.members_.end(), done) &&
           std::all_of(state.pending_.members_.begin(), state.pending_.members_.end(), done);
}

/// \returns True if a member removed by votes may still use a share of an earlier version. It does so until
/// its authority lapses, even if several versions come into force before that. A member that acknowledged the
/// pending version already limits itself to it.
bool removed_member_may_use_share(fleet_state const& state)
{
    return std::any_of(state.members_.begin(), state.members_.end(), [&state](auto const& item) {
        return item.second.status_ == member_status::gone && item.second.by_suspicion_ &&
               !state.acks_.contains(item.first);
    });
}

/// Proposes the next share version when the set of live members has changed, and puts a pending version in
/// force when all its members and those of the version before have acknowledged it or are gone.
void advance_share_version(fleet_state& state)
{
    for (;;) {
        if (state.pending_.number_ == 0) {
            auto live = live_members(state);
            if (live.empty() || live == state.in_force_.members_) {
                return;
            }
            state.pending_ = {state.in_force_.number_ + 1, std::move(live), false};
            state.acks_.clear();
        }
        if (!pending_version_acknowledged(state)) {
            return;
        }
        state.pending_.after_suspicion_ = removed_member_may_use_share(state);
        state.in_force_ = std::exchange(state.pending_, {});
        state.acks_.clear();
    }
}

void mark_gone(member_entry& entry, bool by_suspicion, millis at)
{
    if (entry.status_ != member_status::gone) {
        entry.gone_at_ = at;
    }
    entry.status_ = member_status::gone;
    entry.by_suspicion_ = by_suspicion;
}

/// \returns True if the load order can no longer reach any VM instance.
bool load_order_cannot_arrive(fleet_state const& state, replica_entry const& replica)
{
    return replica.load_order_ended_ || process_known_ended(state, replica.executor_);
}

/// \returns True if the load order cannot load the replica again after an unload: it can no longer arrive, or
/// the upstream honours fencing and refuses it.
bool load_order_cannot_act(fleet_state const& state, replica_entry const& replica)
{
    auto const upstream = state.upstreams_.find(replica.upstream_);
    bool const fenced = upstream != state.upstreams_.end() && upstream->second.honours_fencing_;
    return fenced || load_order_cannot_arrive(state, replica);
}

/// Marks a replica as failed whose VM instance is gone or was replaced.
void mark_failed(replica_entry& replica)
{
    replica.status_ = replica_status::failed;
    replica.was_loaded_ = false;
}

/// Removes the replicas of an upstream whose VM is gone. A replica whose load order may still arrive is
/// marked failed instead and keeps its memory: a new VM may get the same address, and an engine that ignores
/// fencing numbers or has just started does not refuse the order.
void remove_replicas_on(fleet_state& state, std::string const& upstream)
{
    for (auto it = state.replicas_.begin(); it != state.replicas_.end();) {
        if (it->second.upstream_ != upstream) {
            ++it;
        } else if (load_order_cannot_arrive(state, it->second)) {
            it = state.replicas_.erase(it);
        } else {
            mark_failed(it->second);
            ++it;
        }
    }
}

/// Marks all replicas of a replaced VM instance as failed. Their load orders may have reached the new
/// instance before it was recorded in the log, so they keep their memory until they are unloaded from it.
void mark_replicas_failed_on(fleet_state& state, std::string const& upstream)
{
    for (auto& [id, replica] : state.replicas_) {
        if (replica.upstream_ == upstream) {
            mark_failed(replica);
        }
    }
}

/// \returns The replicas that are unloading while their load order may still load them again.
std::vector<std::string> unloads_with_active_load_order(fleet_state const& state)
{
    std::vector<std::string> ids;
    for (auto const& [id, replica] : state.replicas_) {
        if (replica.status_ == replica_status::unloading && !load_order_cannot_act(state, replica)) {
            ids.push_back(id);
        }
    }
    return ids;
}

/// Marks each candidate that is still unloading as failed if its load order can no longer act. The order may
/// have loaded the replica again after the unload, so another unload must be decided before the memory is
/// released.
void revert_unloads(fleet_state& state, std::vector<std::string> const& candidates)
{
    for (auto const& id : candidates) {
        auto const it = state.replicas_.find(id);
        if (it != state.replicas_.end() && it->second.status_ == replica_status::unloading &&
            load_order_cannot_act(state, it->second)) {
            it->second.status_ = replica_status::failed;
        }
    }
}

/// \returns The members of the share versions, the executors of replicas and the holders of claims: the state
/// still needs their entries.
std::set<member_id> referenced_members(fleet_state const& state)
{
    std::set<member_id> members{state.in_force_.members_.begin(), state.in_force_.members_.end()};
    members.insert(state.pending_.members_.begin(), state.pending_.members_.end());
    for (auto const& [id, replica] : state.replicas_) {
        members.insert(replica.executor_);
        members.insert(replica.unload_executor_);
    }
    for (auto const& [key, claim] : state.claims_) {
        members.insert(claim.daemon_);
    }
    return members;
}

/// Removes expired claims, crash evidence and retired VM instances, and the members that have been gone for
/// `gone_retention` and are not referenced.
void purge_expired(fleet_state& state)
{
    auto const expired = [&state](millis since, millis lifetime) {
        return since + lifetime < state.log_time_;
    };
    std::erase_if(state.claims_,
                  [&](auto const& item) { return expired(item.second.made_at_, claim_lifetime); });
    std::erase_if(state.crashes_,
                  [&](auto const& item) { return expired(item.second.last_, claim_lifetime); });
    std::erase_if(state.retired_instances_,
                  [&](auto const& item) { return expired(item.second, gone_retention); });
    auto const referenced = referenced_members(state);
    std::erase_if(state.members_, [&](auto const& item) {
        auto const& [id, entry] = item;
        if (entry.status_ != member_status::gone || !expired(entry.gone_at_, gone_retention) ||
            referenced.contains(id)) {
            return false;
        }
        state.purged_to_ = std::max(state.purged_to_, entry.joined_at_ + 1);
        state.sequences_.erase(id);
        return true;
    });
}

std::string instance_key(std::string const& upstream, std::string const& vm_instance)
{
    return upstream + "/" + vm_instance;
}

/// Applies the body of a record; one overload for each type.
struct record_applier {
    fleet_state& state_;
    member_id const& writer_;
    std::uint64_t offset_;

    apply_result operator()(member_joined const& body)
    {
        if (writer_ != body.member_) {
            return rejected("a join must be written by the joining daemon");
        }
        if (state_.members_.contains(body.member_)) {
            return rejected(to_string(body.member_) + " is already a member");
        }
        if (body.read_to_ < state_.purged_to_) {
            return rejected("the daemon had not read the log far enough before its join");
        }
        for (auto const& [id, entry] : state_.members_) {
            if (id.vm_ == body.member_.vm_ && body.read_to_ <= entry.joined_at_) {
                return rejected("the daemon had not read the join of " + to_string(id));
            }
        }
        for (auto& [id, entry] : state_.members_) {
            if (id.vm_ == body.member_.vm_) {
                mark_gone(entry, false, state_.log_time_);
            }
        }
        member_entry entry;
        entry.availability_zone_ = body.availability_zone_;
        entry.http_ = body.http_;
        entry.peer_ = body.peer_;
        entry.admin_ = body.admin_;
        entry.joined_at_ = offset_;
        state_.members_[body.member_] = std::move(entry);
        advance_share_version(state_);
        return {};
    }

    apply_result operator()(member_leaving const& body)
    {
        auto* const entry = find_member(state_, body.member_);
        if (entry == nullptr || entry->status_ != member_status::live) {
            return rejected("member " + to_string(body.member_) + " is not live");
        }
        entry->status_ = member_status::leaving;
        advance_share_version(state_);
        return {};
    }

    apply_result operator()(member_gone const& body)
    {
        auto* const entry = find_member(state_, body.member_);
        if (entry == nullptr) {
            return rejected("member " + to_string(body.member_) + " is not known");
        }
        if (entry->status_ == member_status::gone && !entry->by_suspicion_) {
            return rejected("member " + to_string(body.member_) + " is already gone");
        }
        if (body.evidence_ == gone_evidence::left && writer_ != body.member_) {
            return rejected("a leave must be written by the member that left");
        }
        if (body.evidence_ == gone_evidence::replaced) {
            return rejected("a replacement is recorded only by the join of the newer incarnation");
        }
        mark_gone(*entry, false, state_.log_time_);
        advance_share_version(state_);
        return {};
    }

    apply_result operator()(member_suspected const& body)
    {
        auto* const entry = find_member(state_, body.member_);
        if (entry == nullptr || entry->status_ == member_status::gone) {
            return rejected("suspected member " + to_string(body.member_) + " is unknown or gone");
        }
        if (body.voter_ == body.member_) {
            return rejected("a member cannot vote for its own removal");
        }
        if (writer_ != body.voter_ || !contains(state_.in_force_.members_, body.voter_) ||
            is_gone(state_, body.voter_)) {
            return rejected(
                "the voter must be the writer, a member of the share version in force and not gone");
        }
        entry->voters_.insert(body.voter_);
        auto const& members = state_.in_force_.members_;
        auto const votes = std::count_if(members.begin(), members.end(),
                                         [entry](member_id const& m) { return entry->voters_.contains(m); });
        if (static_cast<std::size_t>(votes) > members.size() / 2) {
            mark_gone(*entry, true, state_.log_time_);
            advance_share_version(state_);
        }
        return {};
    }

    apply_result operator()(share_ack const& body)
    {
        if (writer_ != body.member_ || state_.pending_.number_ == 0 ||
            body.version_ != state_.pending_.number_) {
            return rejected("the acknowledgement must be of the writer and of the pending share version");
        }
        state_.acks_.insert(body.member_);
        advance_share_version(state_);
        return {};
    }

    apply_result operator()(tables_published const& body)
    {
        auto const& current = *state_.tables_;
        if (body.base_version_ != current.version_) {
            return rejected("the edit is based on version " + std::to_string(body.base_version_) +
                            ", but version " + std::to_string(current.version_) + " by " + current.author_ +
                            " is in force");
        }
        if (auto const faults = validate(body.tables_); !faults.empty()) {
            return rejected(faults.front().field_ + ": " + faults.front().message_);
        }
        if (same_rows(body.tables_, current)) {
            return {};
        }
        auto next = std::make_shared<tables>(body.tables_);
        next->version_ = current.version_ + 1;
        state_.tables_ = std::move(next);
        return {};
    }

    apply_result operator()(key_granted const& body)
    {
        if (state_.withdrawn_keys_.contains(body.digest_)) {
            return rejected("the key was withdrawn and cannot be granted again");
        }
        if (find_workspace(*state_.tables_, body.workspace_) == nullptr) {
            return rejected("workspace " + body.workspace_ + " does not exist");
        }
        if (state_.keys_.contains(body.digest_)) {
            return rejected("the key is already granted");
        }
        state_.keys_[body.digest_] = {body.workspace_, body.name_};
        return {};
    }

    apply_result operator()(key_withdrawn const& body)
    {
        if (state_.keys_.erase(body.digest_) == 0) {
            return rejected("the key is not granted");
        }
        state_.withdrawn_keys_.insert(body.digest_);
        return {};
    }

    apply_result operator()(upstream_seen const& body)
    {
        auto const it = state_.upstreams_.find(body.upstream_);
        if (it != state_.upstreams_.end() && it->second.vm_instance_ == body.vm_instance_) {
            return rejected("VM instance " + body.vm_instance_ + " of upstream " + body.upstream_ +
                            " is already known");
        }
        if (state_.retired_instances_.contains(instance_key(body.upstream_, body.vm_instance_))) {
            return rejected("VM instance " + body.vm_instance_ + " of upstream " + body.upstream_ +
                            " was replaced or is gone");
        }
        if (body.memory_mb_ < 0 || body.memory_mb_ > max_table_number) {
            return rejected("memory_mb " + std::to_string(body.memory_mb_) +
                            " is out of range: expected 0 to " + std::to_string(max_table_number));
        }
        if (it != state_.upstreams_.end()) {
            record_retired_instance(body.upstream_, it->second.vm_instance_);
        }
        mark_replicas_failed_on(state_, body.upstream_);
        state_.upstreams_[body.upstream_] = {body.vm_instance_,       body.address_,
                                             body.availability_zone_, body.memory_mb_,
                                             body.honours_fencing_,   body.checks_sender_};
        return {};
    }

    apply_result operator()(upstream_gone const& body)
    {
        auto const it = state_.upstreams_.find(body.upstream_);
        if (it == state_.upstreams_.end() || it->second.vm_instance_ != body.vm_instance_) {
            return rejected("VM instance " + body.vm_instance_ + " of upstream " + body.upstream_ +
                            " is not the current one");
        }
        record_retired_instance(body.upstream_, body.vm_instance_);
        remove_replicas_on(state_, body.upstream_);
        state_.upstreams_.erase(it);
        return {};
    }

    apply_result operator()(load_decided const& body)
    {
        if (auto reason = load_rejection_reason(body); !reason.empty()) {
            return rejected(std::move(reason));
        }
        replica_entry entry;
        entry.pool_ = body.pool_;
        entry.model_ = body.model_;
        entry.adapter_ = body.adapter_;
        entry.upstream_ = body.upstream_;
        entry.memory_mb_ = body.memory_mb_;
        entry.source_ = body.source_;
        entry.executor_ = body.executor_;
        entry.fencing_ = offset_;
        entry.version_ = state_.tables_->version_;
        entry.decided_at_ = state_.log_time_;
        state_.replicas_[body.replica_] = std::move(entry);
        return {};
    }

    apply_result operator()(replica_loaded const& body)
    {
        auto const it = state_.replicas_.find(body.replica_);
        if (it == state_.replicas_.end()) {
            return rejected("replica " + body.replica_ + " is not known");
        }
        bool const is_new = record_order_end(it->second, body.order_ended_);
        if (it->second.status_ != replica_status::loading) {
            return is_new ? apply_result{} : rejected("replica " + body.replica_ + " is not loading");
        }
        it->second.status_ = replica_status::loaded;
        it->second.was_loaded_ = true;
        return {};
    }

    apply_result operator()(load_failed const& body)
    {
        auto const it = state_.replicas_.find(body.replica_);
        if (it == state_.replicas_.end()) {
            return rejected("replica " + body.replica_ + " is not known");
        }
        auto& entry = it->second;
        bool const before_unload =
            entry.status_ == replica_status::loading || entry.status_ == replica_status::failed;
        // Only this report shows that the replica was never loaded. The end of the load order alone does not:
        // the executor may have reported it with `replica_loaded` after another daemon had recorded the load
        // as failed.
        if (before_unload && body.order_ended_ && writer_ == entry.executor_ && !entry.load_order_ended_) {
            state_.replicas_.erase(it);
            return {};
        }
        bool const is_new = record_order_end(entry, body.order_ended_);
        if (entry.status_ != replica_status::loading) {
            return is_new ? apply_result{} : rejected("replica " + body.replica_ + " is not loading");
        }
        entry.status_ = replica_status::failed;
        return {};
    }

    apply_result operator()(unload_decided const& body)
    {
        auto const it = state_.replicas_.find(body.replica_);
        if (it == state_.replicas_.end()) {
            return rejected("replica " + body.replica_ + " is not known");
        }
        if (is_gone(state_, writer_) || is_gone(state_, body.executor_) ||
            !state_.members_.contains(body.executor_)) {
            return rejected("the writer or executor " + to_string(body.executor_) + " is gone or unknown");
        }
        auto& entry = it->second;
        bool const takes_over =
            entry.status_ == replica_status::unloading && is_gone(state_, entry.unload_executor_);
        if (entry.status_ == replica_status::loading ||
            (entry.status_ == replica_status::unloading && !takes_over)) {
            return rejected("replica " + body.replica_ + " is loading or already being unloaded");
        }
        if (entry.adapter_.empty() && has_adapters(entry)) {
            return rejected("adapters of replica " + body.replica_ + " are still on its upstream");
        }
        entry.status_ = replica_status::unloading;
        entry.unload_executor_ = body.executor_;
        return {};
    }

    apply_result operator()(replica_released const& body)
    {
        auto const it = state_.replicas_.find(body.replica_);
        if (it == state_.replicas_.end()) {
            return rejected("replica " + body.replica_ + " is not known");
        }
        if (it->second.status_ != replica_status::unloading) {
            return rejected("replica " + body.replica_ + " is not unloading");
        }
        if (writer_ != body.by_ || body.by_ != it->second.unload_executor_) {
            return rejected("a release must be written by the executor of the unload");
        }
        if (!load_order_cannot_act(state_, it->second)) {
            return rejected("the load order of " + to_string(it->second.executor_) + " may still arrive");
        }
        state_.replicas_.erase(it);
        return {};
    }

    apply_result operator()(claim_made const& body)
    {
        if (writer_ != body.daemon_ || is_gone(state_, body.daemon_)) {
            return rejected("the claimant is gone");
        }
        auto const it = state_.claims_.find(body.key_);
        if (it != state_.claims_.end() && it->second.made_at_ + claim_lifetime >= state_.log_time_) {
            return rejected("the key is already claimed");
        }
        claim_entry entry;
        entry.route_ = body.route_;
        entry.workspace_ = body.workspace_;
        entry.request_digest_ = body.request_digest_;
        entry.daemon_ = body.daemon_;
        entry.made_at_ = state_.log_time_;
        state_.claims_[body.key_] = std::move(entry);
        return {};
    }

    apply_result operator()(claim_outcome const& body)
    {
        auto const it = state_.claims_.find(body.key_);
        if (it == state_.claims_.end() || it->second.daemon_ != body.daemon_ || writer_ != body.daemon_) {
            return rejected("the writer does not hold the claim");
        }
        if (it->second.finished_) {
            return rejected("the claim already has an outcome");
        }
        if (body.not_run_) {
            state_.claims_.erase(it);
            return {};
        }
        auto& entry = it->second;
        entry.finished_ = true;
        entry.status_ = body.status_;
        entry.content_type_ = body.content_type_;
        entry.body_kept_ = body.body_kept_ && body.body_.size() <= max_outcome_body_bytes;
        entry.body_ = entry.body_kept_ ? body.body_ : std::string{};
        return {};
    }

    apply_result operator()(crash_seen const& body)
    {
        auto& entry = state_.crashes_[body.fingerprint_];
        ++entry.crashes_;
        entry.confirmed_ = entry.confirmed_ || body.isolated_;
        entry.upstreams_.insert(body.upstream_);
        entry.last_ = state_.log_time_;
        return {};
    }

    apply_result operator()(crash_cleared const& body)
    {
        auto const it = state_.crashes_.find(body.fingerprint_);
        if (it == state_.crashes_.end() || it->second.confirmed_) {
            return rejected("the request is not a suspect, or is confirmed as the cause of a crash");
        }
        state_.crashes_.erase(it);
        return {};
    }

    apply_result operator()(drain_set const& body)
    {
        bool const known = state_.upstreams_.contains(body.target_) ||
                           state_.drained_.contains(body.target_) ||
                           std::any_of(state_.members_.begin(), state_.members_.end(),
                                       [&body](auto const& item) { return item.first.vm_ == body.target_; });
        if (!known) {
            return rejected("no upstream or VM " + body.target_ + " is known");
        }
        if (body.drained_) {
            state_.drained_.insert(body.target_);
        } else {
            state_.drained_.erase(body.target_);
        }
        return {};
    }

    /// For a daemon that applies the log in order, a snapshot only purges expired entries, at the same offset
    /// on all daemons. Its state is read only by daemons that start from it.
    apply_result operator()(snapshot const& body)
    {
        if (body.state_ == nullptr || body.offset_ > offset_ || body.state_->next_offset_ != body.offset_) {
            return rejected("the snapshot has no state, or one that does not end at its offset");
        }
        purge_expired(state_);
        return {};
    }

private:
    /// Records the end of the load order if the executor is the writer. \returns True if it was not known.
    bool record_order_end(replica_entry& entry, bool ended) const
    {
        bool const is_new = ended && writer_ == entry.executor_ && !entry.load_order_ended_;
        entry.load_order_ended_ = entry.load_order_ended_ || is_new;
        return is_new;
    }

    void record_retired_instance(std::string const& upstream, std::string const& vm_instance)
    {
        state_.retired_instances_[instance_key(upstream, vm_instance)] = state_.log_time_;
    }

    /// \returns True if a replica of an adapter of the base model exists on the same upstream and in the same
    /// pool, whatever its status.
    [[nodiscard]] bool has_adapters(replica_entry const& base) const
    {
        return std::any_of(state_.replicas_.begin(), state_.replicas_.end(), [&base](auto const& item) {
            auto const& other = item.second;
            return other.upstream_ == base.upstream_ && other.pool_ == base.pool_ &&
                   other.model_ == base.model_ && !other.adapter_.empty();
        });
    }

    /// \returns True if the upstream has a replica of the load's model and the adapter in its pool.
    [[nodiscard]] bool has_replica(load_decided const& body, std::string_view adapter, bool loaded_only) const
    {
        return std::any_of(state_.replicas_.begin(), state_.replicas_.end(), [&](auto const& item) {
            auto const& r = item.second;
            return r.upstream_ == body.upstream_ && r.pool_ == body.pool_ && r.model_ == body.model_ &&
                   r.adapter_ == adapter && (!loaded_only || r.status_ == replica_status::loaded);
        });
    }

    /// \returns Why the load is rejected; empty if it is accepted.
    [[nodiscard]] std::string load_rejection_reason(load_decided const& body) const
    {
        if (is_gone(state_, writer_) || is_gone(state_, body.executor_) ||
            !state_.members_.contains(body.executor_)) {
            return "the writer or executor " + to_string(body.executor_) + " is gone or unknown";
        }
        if (state_.replicas_.contains(body.replica_)) {
            return "replica id " + body.replica_ + " is already used";
        }
        if (auto reason = pool_rejection_reason(body); !reason.empty()) {
            return reason;
        }
        return capacity_rejection_reason(body);
    }

    /// \returns Why the tables, the existing replicas or the upstream do not permit the load; empty if they
    /// do.
    [[nodiscard]] std::string pool_rejection_reason(load_decided const& body) const
    {
        auto const* const pool = find_pool(*state_.tables_, body.pool_);
        auto const* const model = pool == nullptr ? nullptr : find_model(*pool, body.model_);
        if (model == nullptr) {
            return "pool " + body.pool_ + " has no model " + body.model_;
        }
        auto const* const adapter = body.adapter_.empty() ? nullptr : find_adapter(*model, body.adapter_);
        if (!body.adapter_.empty() && adapter == nullptr) {
            return "model " + body.model_ + " has no adapter " + body.adapter_;
        }
        if (body.memory_mb_ != (adapter != nullptr ? adapter->memory_mb_ : model->memory_mb_)) {
            return "memory_mb " + std::to_string(body.memory_mb_) + " differs from that of the row";
        }
        auto const count = replica_count(state_, body.pool_, body.model_, body.adapter_);
        if (count != body.expected_count_) {
            return "the replica count changed from " + std::to_string(body.expected_count_) + " to " +
                   std::to_string(count);
        }
        if (count >= model->max_replicas_) {
            return "max_replicas " + std::to_string(model->max_replicas_) + " is reached";
        }
        if (has_replica(body, body.adapter_, false)) {
            return "upstream " + body.upstream_ + " already has a replica of it";
        }
        if (adapter != nullptr && !has_replica(body, "", true)) {
            return "the base model " + body.model_ + " is not loaded on upstream " + body.upstream_;
        }
        return upstream_rejection_reason(body, *pool);
    }

    /// \returns Why the upstream may not take the load: it is unknown, drained or not allowed by the pool's
    /// row; empty if it may.
    [[nodiscard]] std::string upstream_rejection_reason(load_decided const& body, pool_row const& pool) const
    {
        auto const upstream = state_.upstreams_.find(body.upstream_);
        if (upstream == state_.upstreams_.end() || state_.drained_.contains(body.upstream_)) {
            return "upstream " + body.upstream_ + " is unknown or drained";
        }
        if (!matches_upstream(pool.upstreams_, body.upstream_)) {
            return "upstream " + body.upstream_ + " is not in the pool's row";
        }
        auto const& zones = pool.availability_zones_;
        if (pool.locality_ == locality::require && !zones.empty() &&
            std::find(zones.begin(), zones.end(), upstream->second.availability_zone_) == zones.end()) {
            return "availability zone " + upstream->second.availability_zone_ +
                   " is not allowed by the pool's row";
        }
        return {};
    }

    /// \returns The memory or transfer limit that the load exceeds; empty if there is none.
    [[nodiscard]] std::string capacity_rejection_reason(load_decided const& body) const
    {
        auto const& upstream = state_.upstreams_.find(body.upstream_)->second;
        if (reserved_memory_mb(state_, body.upstream_) + body.memory_mb_ > upstream.memory_mb_) {
            return "upstream " + body.upstream_ + " has less than " + std::to_string(body.memory_mb_) +
                   " MB of unreserved memory";
        }
        auto const& pool = *find_pool(*state_.tables_, body.pool_);
        if (pool.memory_mb_ > 0 &&
            reserved_memory_mb(state_, body.upstream_, body.pool_) + body.memory_mb_ > pool.memory_mb_) {
            return "pool " + body.pool_ + " has less than " + std::to_string(body.memory_mb_) +
                   " MB of unreserved memory on upstream " + body.upstream_;
        }
        bool const is_adapter = !body.adapter_.empty();
        auto const& store = state_.tables_->store_;
        auto const max_transfers = is_adapter ? store.adapter_transfers_ : store.checkpoint_transfers_;
        if (body.source_ == load_source::store && transfers_in_flight(state_, is_adapter) >= max_transfers) {
            return "the weight store already serves its limit of " + std::to_string(max_transfers) +
                   " transfers";
        }
        return {};
    }
};

} // namespace

apply_result apply(fleet_state& state, record const& rec, std::uint64_t offset, millis log_time)
{
    if (offset + 1 < state.next_offset_) {
        return {verdict::repeated, "the offset was already applied"};
    }
    state.next_offset_ = offset + 1;
    state.log_time_ = std::max(state.log_time_, log_time);
    // The sequence of a purged member is purged with it. A late duplicate of one of its records is rejected
    // because its writer is no longer a member.
    auto const* const join = std::get_if<member_joined>(&rec.body_);
    bool const joins = join != nullptr && join->member_ == rec.writer_;
    if (!state.members_.contains(rec.writer_) && !joins) {
        ++state.rejected_;
        return rejected("the writer is not a member");
    }
    auto const last_sequence = state.sequences_.find(rec.writer_);
    if (rec.sequence_ <= (last_sequence == state.sequences_.end() ? 0 : last_sequence->second)) {
        ++state.repeated_;
        return {verdict::repeated, "the record was already applied"};
    }
    auto const candidates = unloads_with_active_load_order(state);
    auto result = std::visit(record_applier{state, rec.writer_, offset}, rec.body_);
    revert_unloads(state, candidates);
    if (state.members_.contains(rec.writer_)) {
        state.sequences_[rec.writer_] = rec.sequence_;
    }
    ++(result.verdict_ == verdict::accepted ? state.accepted_ : state.rejected_);
    return result;
}

fleet_state restore(snapshot const& from)
{
    if (from.state_ == nullptr) {
        throw error{"restore", "", "the snapshot has no state"};
    }
    if (from.state_->next_offset_ != from.offset_) {
        throw error{"restore", "",
                    "the snapshot ends at offset " + std::to_string(from.offset_) +
                        ", but its state at offset " + std::to_string(from.state_->next_offset_)};
    }
    return *from.state_;
}

bool same_state(fleet_state const& a, fleet_state const& b)
{
    auto const& left = *a.tables_;
    auto const& right = *b.tables_;
    if (left.version_ != right.version_ || left.author_ != right.author_ || left.message_ != right.message_ ||
        !same_rows(left, right)) {
        return false;
    }
    auto copy = a;
    copy.tables_ = b.tables_;
    return copy == b;
}

std::int64_t reserved_memory_mb(fleet_state const& state, std::string_view upstream) noexcept
{
    std::int64_t sum = 0;
    for (auto const& [id, replica] : state.replicas_) {
        sum += replica.upstream_ == upstream ? replica.memory_mb_ : 0;
    }
    return sum;
}

std::int64_t reserved_memory_mb(fleet_state const& state, std::string_view upstream,
                                std::string_view pool) noexcept
{
    std::int64_t sum = 0;
    for (auto const& [id, replica] : state.replicas_) {
        sum += replica.upstream_ == upstream && replica.pool_ == pool ? replica.memory_mb_ : 0;
    }
    return sum;
}

std::int64_t replica_count(fleet_state const& state, std::string_view pool, std::string_view model,
                           std::string_view adapter) noexcept
{
    return std::count_if(state.replicas_.begin(), state.replicas_.end(), [&](auto const& item) {
        return item.second.pool_ == pool && item.second.model_ == model && item.second.adapter_ == adapter;
    });
}

std::int64_t transfers_in_flight(fleet_state const& state, bool adapters) noexcept
{
    return std::count_if(state.replicas_.begin(), state.replicas_.end(), [adapters](auto const& item) {
        auto const& replica = item.second;
        // A failed load, also while it is unloaded, may still transfer until its load order has ended.
        bool const may_transfer = !replica.was_loaded_ && !replica.load_order_ended_;
        return may_transfer && replica.source_ == load_source::store && replica.adapter_.empty() != adapters;
    });
}

std::vector<member_id> live_members(fleet_state const& state)
{
    std::vector<member_id> members;
    for (auto const& [id, entry] : state.members_) {
        if (entry.status_ == member_status::live) {
            members.push_back(id);
        }
    }
    return members;
}

bool is_gone(fleet_state const& state, member_id const& member) noexcept
{
    auto const it = state.members_.find(member);
    return it != state.members_.end() && it->second.status_ == member_status::gone;
}

} // namespace auburnchute
