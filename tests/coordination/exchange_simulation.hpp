#pragma once

#include <auburnchute/entry_feed.hpp>
#include <auburnchute/fleet_exchange.hpp>
#include <auburnchute/ids.hpp>
#include <auburnchute/shared_bucket.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace auburnchute::tests {

/// \brief An entry VM in simulated time, with its exchange and the bucket of one workspace.
struct simulated_vm {
    fleet_exchange exchange_;
    shared_bucket bucket_;
    std::int64_t used_{};
    std::int64_t asked_{};
    std::int64_t running_{}; ///< Requests in flight at the only upstream.
    millis clock_shift_{};   ///< Offset of its boot clock from the simulated time.
    millis next_send_{};
    millis config_read_at_{-1}; ///< In its own clock; -1: never.
    bool reads_store_{};
    bool reads_for_all_{};
    bool follows_entries_{}; ///< Reads the entries itself or hears of them; see `follow_entries`.
    entry_log entries_;
    millis entries_proof_at_{-1}; ///< In its own clock; -1: never.
    millis entries_read_at_{-10'000};
    millis call_ends_at_{-1}; ///< Of a read that is under way, in simulated time; -1: none.
    bool loses_store_{};      ///< Its reads of the store get no answer.
    bool alive_{true};
    millis paused_until_{};
    std::int64_t sent_{};
    std::int64_t received_{};
};

/// \brief A simulated fleet whose network delays, loses and blocks messages.
class exchange_simulation {
public:
    exchange_simulation(int zones, int vms_in_zone, unsigned seed, double loss = 0, double rate = 1'000,
                        double burst = 1'000'000)
        : rng_{seed}, loss_{loss}, rate_{rate}, burst_{burst}, true_level_{burst}
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < vms_in_zone; ++i) {
                auto const zone_name = std::string(1, static_cast<char>('a' + zone));
                auto const name = "front-" + zone_name + "-" + std::to_string(i);
                members_.push_back({name, 1, "10.0." + std::to_string(zone) + "." + std::to_string(i) + ":1",
                                    "c:" + name, zone_name, i % 3 == 0 ? 50 : 12});
            }
        }
        for (auto const& member : members_) {
            start(member.vm_, true);
        }
    }

    void start(std::string const& name, bool first_start)
    {
        auto made = std::make_unique<simulated_vm>();
        made->clock_shift_ = millis{static_cast<std::int64_t>(rng_() % 1'000'000) + 1'000};
        auto& exchange = made->exchange_;
        exchange.vm_ = name;
        exchange.incarnation_ = ++incarnations_;
        exchange.started_at_ = now_ + made->clock_shift_;
        exchange.first_start_ = first_start;
        set_members(exchange, members_);
        set_limit(made->bucket_, rate_, burst_, now_ + made->clock_shift_);
        if (!first_start) {
            set_restart_level(made->bucket_, reachable_share(exchange, now_ + made->clock_shift_));
        }
        made->next_send_ = now_ + millis{static_cast<std::int64_t>(rng_() % 100)};
        vms_[name] = std::move(made);
    }

    void kill(std::string const& name) { vms_.at(name)->alive_ = false; }

    /// \brief Advances the time in steps of 10 ms and calls `each_step` after each.
    void run(millis time, std::function<void(millis)> const& each_step = {})
    {
        for (auto const end = now_ + time; now_ < end; now_ += step) {
            deliver();
            for (auto& [name, vm] : vms_) {
                if (!vm->alive_ || now_ < vm->paused_until_) {
                    continue;
                }
                if (vm->follows_entries_) {
                    read_entries(*vm);
                }
                if (now_ >= vm->next_send_) {
                    send(name, *vm);
                }
            }
            if (each_step) {
                each_step(now_);
            }
        }
    }

    /// \brief Records usage at a VM even if its bucket does not hold the units.
    void spend_at(std::string const& name, std::int64_t units)
    {
        auto& vm = *vms_.at(name);
        vm.used_ += units;
        vm.asked_ += units;
        refill(vm.bucket_, {1.0}, now_ + vm.clock_shift_);
        vm.bucket_.level_ -= static_cast<double>(units);
        true_level_ -= static_cast<double>(units);
    }

    /// \brief Sends a request to a VM. \returns Whether it was admitted.
    [[nodiscard]] bool try_spend_at(std::string const& name, std::int64_t units)
    {
        auto& vm = *vms_.at(name);
        auto const now = own_now(vm);
        auto const draw = std::uniform_real_distribution<>{0, 1}(rng_);
        bool const admitted = try_spend(vm.bucket_,
                                        {static_cast<double>(units), peer_visibility_of(vm.exchange_, now),
                                         propagation_delay(vm.exchange_), draw},
                                        now);
        vm.asked_ += units;
        vm.used_ += admitted ? units : 0;
        return admitted;
    }

    /// \returns The level of a bucket that all VMs update without delay.
    [[nodiscard]] double true_level()
    {
        true_level_ = std::min(
            burst_, true_level_ + rate_ * static_cast<double>((now_ - refilled_at_).count_) / 1'000.0);
        refilled_at_ = now_;
        return true_level_;
    }

    [[nodiscard]] double level_at(std::string const& name)
    {
        auto& vm = *vms_.at(name);
        refill(vm.bucket_, {1.0}, now_ + vm.clock_shift_);
        return vm.bucket_.level_;
    }

    /// \brief Lets all VMs follow the upstreams' entries from now on, which are changed by `change_entries`.
    void follow_entries(millis leave_in_force)
    {
        budget_ = leave_budget_of(leave_in_force);
        for (auto& [name, vm] : vms_) {
            vm->follows_entries_ = true;
        }
    }

    /// \brief Has the store confirm changes of entries. \param document Empty for removals.
    void change_entries(std::size_t count, std::optional<std::string> const& document)
    {
        for (std::size_t i = 0; i < count; ++i) {
            store_.push_back({store_.size() + 1, "i-" + std::to_string(store_.size()), document});
        }
    }

    /// \returns Whether the VM has all changes.
    [[nodiscard]] bool has_entries(simulated_vm const& vm) const { return vm.entries_.to_ == store_end(); }

    [[nodiscard]] millis own_now(simulated_vm const& vm) const { return now_ + vm.clock_shift_; }

    static constexpr millis step{10};
    static constexpr short_hash upstream = 7;
    static constexpr name_hash workspace = 9;

    millis now_{1'000};
    std::mt19937 rng_;
    double loss_;
    double rate_;
    double burst_;
    std::vector<entry_member> members_;
    std::map<std::string, std::unique_ptr<simulated_vm>> vms_;
    /// Returns whether the network drops messages from the first VM to the second.
    std::function<bool(std::string const&, std::string const&)> drops_ = [](auto const&, auto const&) {
        return false;
    };
    /// Returns by how much messages from the first VM to the second are late, above the usual delay.
    std::function<millis(std::string const&, std::string const&)> late_by_ = [](auto const&, auto const&) {
        return millis{0};
    };
    std::int64_t newer_than_read_proofs_{}; ///< Confirmations later than the last read of the store.
    millis config_changed_at_{-1};
    double true_level_;
    millis store_call_{20};       ///< Time that a read of the store takes.
    std::int64_t store_reads_{0}; ///< Reads of the entries that all VMs began.

private:
    struct datagram {
        millis due_;
        std::string to_;
        fleet_message message_;
    };

    [[nodiscard]] local_status local_status_of(simulated_vm& vm) const
    {
        auto const now = own_now(vm);
        local_status own;
        own.ready_ = true;
        own.spent_ = {{workspace, vm.used_, vm.asked_}};
        refill(vm.bucket_, peer_visibility_of(vm.exchange_, now), now);
        own.levels_ = {{workspace, static_cast<std::int64_t>(vm.bucket_.level_)}};
        if (vm.running_ != 0) {
            own.use_ = {{upstream, {vm.running_, vm.running_ * 10, vm.running_}}};
            own.needs_ = {{1, {0, vm.running_, 0.5, 9, {}}}};
        }
        own.config_age_ = vm.config_read_at_ < millis{0} ? -1 : (now - vm.config_read_at_).count_;
        own.entries_age_ = vm.entries_proof_at_ < millis{0} ? -1 : (now - vm.entries_proof_at_).count_;
        own.seen_news_ = vm.entries_.to_;
        return own;
    }

    /// Offset after the store's last record; a fleet without entries would have nothing to tell.
    [[nodiscard]] std::uint64_t store_end() const { return store_.size() + 1; }

    [[nodiscard]] relay_candidate candidate_of(std::string const& name) const
    {
        auto const& member = *std::find_if(members_.begin(), members_.end(),
                                           [&](entry_member const& known) { return known.vm_ == name; });
        return {member.vm_, member.availability_zone_, member.strength_};
    }

    /// Reads the entries as store_reader.cpp does: in turn, or when what the VM knows is too old.
    void read_entries(simulated_vm& vm)
    {
        auto const now = own_now(vm);
        if (vm.call_ends_at_ >= millis{0}) {
            if (now_ < vm.call_ends_at_) {
                return;
            }
            vm.call_ends_at_ = millis{-1};
            if (!vm.loses_store_) {
                auto const from = std::max<std::uint64_t>(vm.entries_.to_, 1);
                std::vector<upstream_entry_update> read{
                    store_.begin() + static_cast<std::ptrdiff_t>(from - 1), store_.end()};
                append_updates(vm.entries_, vm.entries_.to_, store_end(), std::move(read), now);
                vm.entries_proof_at_ = std::max(vm.entries_proof_at_, vm.entries_read_at_);
            }
        }
        bool const due = vm.reads_for_all_ ? now - vm.entries_read_at_ >= budget_.read_interval_
                                           : now - vm.entries_proof_at_ >= budget_.proof_limit_ &&
                                                 now_.count_ % look_interval.count_ == 0;
        if (due) {
            ++store_reads_;
            vm.entries_read_at_ = now;
            vm.call_ends_at_ = now_ + (vm.loses_store_ ? lost_call : store_call_);
        }
    }

    void add_entries(simulated_vm const& vm, message_target const& target, bool tells, millis now,
                     fleet_message& message)
    {
        if (carries_updates(vm.exchange_, vm.entries_, target, tells, now)) {
            auto const peer = vm.exchange_.peers_.find(target.vm_);
            auto updates = updates_after(
                vm.entries_, peer == vm.exchange_.peers_.end() ? 0 : peer->second.last_.seen_news_);
            message.news_from_ = updates.from_;
            message.news_to_ = updates.to_;
            message.news_ = std::move(updates.changes_);
        }
    }

    void take_entries(simulated_vm& vm, fleet_message const& message, std::optional<millis> proof, millis now)
    {
        auto const next = vm.entries_.to_;
        if (next > 0 && message.news_from_ <= next && next < message.news_to_) {
            std::vector<upstream_entry_update> newer;
            std::copy_if(message.news_.begin(), message.news_.end(), std::back_inserter(newer),
                         [&](auto const& update) {
                             return update.offset_ >= next && update.offset_ < message.news_to_;
                         });
            append_updates(vm.entries_, next, message.news_to_, std::move(newer), now);
        }
        if (proof && message.seen_news_ > 0 && vm.entries_.to_ >= message.seen_news_) {
            vm.entries_proof_at_ = std::max(vm.entries_proof_at_, *proof);
        }
    }

    void send(std::string const& name, simulated_vm& vm)
    {
        auto const now = own_now(vm);
        if (vm.reads_store_) {
            vm.config_read_at_ = now;
        }
        auto const own = local_status_of(vm);
        refresh_peers(vm.exchange_, own.spent_, now);
        vm.reads_for_all_ = reader_duty_of(vm.exchange_, candidate_of(name)).reads_for_all_;
        bool const tells = tells_updates(vm.exchange_, candidate_of(name), budget_, now);
        std::map<message_kind, fleet_message> common;
        for (auto const& target : send_targets(vm.exchange_, now)) {
            if (!common.contains(target.kind_)) {
                common[target.kind_] = compose_common(vm.exchange_, own, target.kind_, now);
            }
            auto message = common.at(target.kind_);
            add_target_fields(vm.exchange_, own, target, now, message);
            if (vm.follows_entries_) {
                add_entries(vm, target, tells, now, message);
            }
            ++vm.sent_;
            bool const lost = std::uniform_real_distribution<>{0, 1}(rng_) < loss_;
            if (!lost && !drops_(name, std::string{target.vm_})) {
                auto const delay = millis{static_cast<std::int64_t>(rng_() % 3) * 10} +
                                   late_by_(name, std::string{target.vm_});
                network_.push_back({now_ + delay, std::string{target.vm_}, std::move(message)});
            }
        }
        vm.next_send_ = now_ + send_interval(vm.exchange_);
    }

    void deliver()
    {
        auto due = std::stable_partition(network_.begin(), network_.end(),
                                         [&](datagram const& sent) { return sent.due_ > now_; });
        std::vector<datagram> arrived(std::make_move_iterator(due), std::make_move_iterator(network_.end()));
        network_.erase(due, network_.end());
        for (auto& sent : arrived) {
            auto& vm = *vms_.at(sent.to_);
            if (vm.alive_ && now_ >= vm.paused_until_) {
                receive(vm, sent.message_);
            }
        }
    }

    void receive(simulated_vm& vm, fleet_message const& message)
    {
        ++vm.received_;
        auto const now = own_now(vm);
        spend_row const own{workspace, vm.used_, vm.asked_};
        auto const effects = apply_message(vm.exchange_, message, {&own, 1}, now);
        for (auto const& row : effects.spent_) {
            charge_units(vm.bucket_, static_cast<double>(row.used_), peer_visibility_of(vm.exchange_, now),
                         now);
            record_peer_demand(vm.bucket_, static_cast<double>(row.asked_), now);
        }
        for (auto const& row : effects.levels_) {
            adopt_level(vm.bucket_, static_cast<double>(row.level_), peer_visibility_of(vm.exchange_, now),
                        now);
        }
        if (effects.config_confirmed_at_) {
            vm.config_read_at_ = std::max(vm.config_read_at_, *effects.config_confirmed_at_);
        }
        if (vm.follows_entries_ && effects.accepted_) {
            take_entries(vm, message, effects.entries_confirmed_at_, now);
        }
    }

    static constexpr millis lost_call{2'500}; ///< After this time a read without an answer is given up.

    std::uint64_t incarnations_{};
    leave_budget budget_{};
    std::vector<upstream_entry_update> store_; ///< Of offsets from 1 on.
    std::vector<datagram> network_;
    millis refilled_at_{1'000};
};

} // namespace auburnchute::tests
