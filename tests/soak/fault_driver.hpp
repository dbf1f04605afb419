#pragma once

#include "soak/soak_world.hpp"

#include <csignal>
#include <functional>
#include <iostream>
#include <random>

namespace auburnchute::tests {

using namespace std::chrono_literals;

/// \brief Begins planned work and faults, and ends them in time.
///
/// Thread safety: none.
class fault_driver {
public:
    /// \param trace Prints what begins and ends. \param logs Where the daemons' output goes; empty: nowhere.
    fault_driver(soak_world& world, oracle& checks, std::uint64_t seed, bool trace, std::string logs)
        : world_{world}, checks_{checks}, losses_{checks.losses_}, random_{seed}, trace_{trace},
          logs_{std::move(logs)}
    {
    }

    /// \brief Stops, reloads, releases and changes of the configuration only, so that nothing excuses a loss.
    void run_planned(std::chrono::seconds time)
    {
        run(time, 700ms, [this] { begin_planned(); });
    }

    /// \brief Releases while half of the VMs are lost at a time, and nothing else.
    void run_releases(std::chrono::milliseconds time)
    {
        if (time > 0ms) {
            wait(loss_check::contact); // the versions that serve by now are in touch
            kill_half();
        }
        run(time, 700ms, [this] { random_() % 3 == 0 ? change_versions() : kill_half(); });
    }

    /// \brief Planned work and faults.
    void run_all(std::chrono::seconds time)
    {
        run(time, 400ms, [this] { random_() % 4 == 0 ? begin_planned() : begin_one(); });
    }

private:
    struct ending {
        soak_clock::time_point at_;
        std::string name_;
        std::function<void()> end_;
    };

    void say(std::string const& what) const
    {
        if (trace_) {
            auto const at = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch());
            std::cout << "  " << at.count() << ' ' << what << std::endl;
        }
    }

    template <typename begin_next>
    void run(std::chrono::milliseconds time, std::chrono::milliseconds spread, begin_next begin)
    {
        auto const end = soak_clock::now() + time;
        may_replace_ = true;
        while (soak_clock::now() < end) {
            begin();
            wait(150ms + some_of(spread));
        }
        may_replace_ = false;
        while (!under_way_.empty()) {
            wait(50ms);
        }
    }

    void wait(std::chrono::milliseconds time)
    {
        auto const end = soak_clock::now() + time;
        while (true) {
            end_what_is_due();
            look_at(*world_.vms_[next_look_++ % world_.vms_.size()]);
            if (soak_clock::now() >= end) {
                return;
            }
            std::this_thread::sleep_for(step); // the faults' own timetable
        }
    }

    void end_what_is_due()
    {
        while (true) {
            auto const next =
                std::min_element(under_way_.begin(), under_way_.end(),
                                 [](auto const& one, auto const& other) { return one.at_ < other.at_; });
            if (next == under_way_.end() || next->at_ > soak_clock::now()) {
                return;
            }
            auto const due = std::move(*next);
            under_way_.erase(next);
            say("end " + due.name_);
            due.end_();
        }
    }

    void look_at(soak_vm& vm)
    {
        if (!vm.process_ || vm.frozen_) {
            return;
        }
        drain_output(vm);
        if (!is_busy(&vm) && vm.process_->has_ended()) {
            checks_.fail_with("a daemon ended by itself: " + vm.name_ + ", code " +
                              std::to_string(vm.process_->wait_end()));
            start(vm);
        }
    }

    /// Daemons drop log lines when the pipe is full; it is emptied so that they keep the usual cost.
    void drain_output(soak_vm& vm) const
    {
        constexpr auto for_one_read = 2ms; // a limit below a millisecond reads nothing
        std::optional<std::ofstream> log;
        if (!logs_.empty()) {
            log.emplace(logs_ + "/" + vm.name_ + ".log", std::ios::app);
        }
        try {
            while (true) {
                auto const line = vm.process_->wait_line("", for_one_read);
                if (log) {
                    *log << line << '\n';
                }
            }
        } catch (std::runtime_error const&) {
            return; // no further line; what came was read
        }
    }

    /// Ends the VM's process, if it still runs, and starts the next one.
    void start(soak_vm& vm)
    {
        if (vm.process_) {
            if (vm.process_->running()) {
                vm.process_->kill();
            }
            drain_output(vm);
        }
        world_.start(vm);
    }

    bool is_busy(void const* target) const { return busy_.contains(target); }

    void schedule(void const* target, std::string name, std::function<void()> end,
                  std::chrono::milliseconds longest = 4'500ms)
    {
        busy_.insert(target);
        constexpr std::uint64_t least = 500;
        auto const lasts = std::chrono::milliseconds{
            least + random_() % (static_cast<std::uint64_t>(longest.count()) - least)};
        say("begin " + name + " for " + std::to_string(lasts.count()) + " ms");
        under_way_.push_back(
            {soak_clock::now() + lasts, std::move(name), [this, target, end = std::move(end)] {
                 end();
                 busy_.erase(target);
             }});
    }

    link_fault any_link_fault(bool may_hold_back)
    {
        constexpr std::array all{link_fault::delayed, link_fault::reset, link_fault::cut_forward,
                                 link_fault::cut_backward, link_fault::silent};
        return all[random_() % (may_hold_back ? all.size() : 2)];
    }

    static bool listens(soak_vm const& vm)
    {
        try {
            (void)connect_to(vm.ip_, soak_ready_port);
            return true;
        } catch (std::runtime_error const&) {
            return false;
        }
    }

    void disturb_vm()
    {
        auto& vm = *world_.vms_[random_() % world_.vms_.size()];
        if (is_busy(&vm) || !vm.process_) {
            return;
        }
        switch (random_() % 4) {
        case 0:
            kill(vm);
            break;
        case 1:
            freeze(vm);
            schedule(&vm, "freeze " + vm.name_, [this, &vm] { resume(vm); });
            break;
        case 2:
            reload(vm);
            break;
        default:
            if (stop(vm) && random_() % 3 == 0) {
                freeze_in_stop(vm);
            }
        }
    }

    void kill(soak_vm& vm)
    {
        losses_.begin_fault(vm.ip_);
        vm.process_->kill();
        schedule(&vm, "kill " + vm.name_, [this, &vm] {
            start(vm);
            losses_.end_fault(vm.ip_);
        });
    }

    /// Kills half of the VMs, if all of them are in touch, so that the others take up their streams.
    void kill_half()
    {
        bool const calm = std::all_of(world_.vms_.begin(), world_.vms_.end(), [this](auto const& vm) {
            return !is_busy(vm.get()) && losses_.is_calm(vm->ip_, soak_clock::now());
        });
        for (auto i = random_() % 2; calm && i < world_.vms_.size(); i += 2) {
            kill(*world_.vms_[i]);
        }
    }

    void freeze(soak_vm& vm)
    {
        losses_.begin_fault(vm.ip_);
        vm.process_->freeze();
        vm.frozen_ = true;
        vm.was_frozen_ = true;
        checks_.note_interrupted(vm.ip_);
    }

    void resume(soak_vm& vm)
    {
        if (!vm.frozen_) {
            return;
        }
        vm.process_->resume();
        vm.frozen_ = false;
        checks_.note_interrupted(vm.ip_);
        losses_.end_fault(vm.ip_);
    }

    /// A process that is still being loaded has no handler yet, and nothing to reload either.
    void reload(soak_vm& vm)
    {
        if (vm.process_ && !vm.frozen_ && listens(vm)) {
            say("reload " + vm.name_);
            losses_.note_planned(vm.ip_, "reload");
            ::kill(vm.process_->pid(), SIGHUP);
        }
    }

    /// A pause in a stop, which may last until the kill.
    void freeze_in_stop(soak_vm& vm)
    {
        auto const grace = losses_.grace();
        later(some_of(grace), "pause " + vm.name_, [this, &vm] {
            if (vm.frozen_ || vm.process_->has_ended()) {
                return;
            }
            freeze(vm);
            later(some_of(losses_.grace()), "pause ends " + vm.name_, [this, &vm] { resume(vm); });
        });
    }

    /// \returns Whether a planned stop began.
    bool stop(soak_vm& vm)
    {
        if (is_busy(&vm) || !vm.process_ || !listens(vm)) {
            return false;
        }
        busy_.insert(&vm);
        vm.was_frozen_ = false;
        say("begin stop " + vm.name_);
        losses_.note_planned(vm.ip_, "stop");
        ::kill(vm.process_->pid(), SIGTERM);
        auto const grace = losses_.grace();
        under_way_.push_back({soak_clock::now() + grace, "stop " + vm.name_, [this, &vm] {
                                  // As the platform does after the grace time.
                                  bool const paused = std::exchange(vm.frozen_, false);
                                  bool const ended = !vm.process_->running() || vm.process_->has_ended();
                                  losses_.note_end_of_grace(
                                      vm.ip_, ended, ended ? vm.process_->wait_end() : 0, vm.was_frozen_);
                                  if (!ended) {
                                      vm.process_->kill();
                                  }
                                  drain_output(vm);
                                  vm.process_.reset();
                                  world_.start(vm);
                                  if (paused) {
                                      losses_.end_fault(vm.ip_);
                                  }
                                  busy_.erase(&vm);
                              }});
        // What an operator or the platform may do meanwhile.
        if (random_() % 3 == 0) {
            later(some_of(grace), "second SIGTERM " + vm.name_, [&vm] {
                if (!vm.process_->has_ended()) {
                    ::kill(vm.process_->pid(), SIGTERM);
                }
            });
        }
        if (random_() % 3 == 0) {
            later(some_of(grace), "reload in stop " + vm.name_, [this, &vm] {
                if (!vm.process_->has_ended()) {
                    reload(vm);
                }
            });
        }
        if (random_() % 3 == 0) {
            later(some_of(grace), "change in stop", [this] { change_config(); });
        }
        return true;
    }

    /// \returns A random moment before the time is over.
    std::chrono::milliseconds some_of(std::chrono::milliseconds time)
    {
        return std::chrono::milliseconds{random_() % static_cast<std::uint64_t>(time.count())};
    }

    /// Does something later that keeps nothing busy.
    void later(std::chrono::milliseconds in, std::string name, std::function<void()> then)
    {
        under_way_.push_back({soak_clock::now() + in, std::move(name), std::move(then)});
    }

    void change_config()
    {
        losses_.note_planned("", "change");
        world_.put_config();
    }

    void begin_planned()
    {
        auto const any_vm = [this]() -> soak_vm& { return *world_.vms_[random_() % world_.vms_.size()]; };
        switch (random_() % 9) {
        case 0:
        case 1:
            (void)stop(any_vm());
            break;
        case 2: { // a rolling stop
            auto in = 0ms;
            for (auto& vm : world_.vms_) {
                later(in, "rolling " + vm->name_, [this, &vm = *vm] { (void)stop(vm); });
                in += some_of(losses_.grace());
            }
            break;
        }
        case 3: // several at once
            for (auto& vm : world_.vms_) {
                if (random_() % 2 == 0) {
                    (void)stop(*vm);
                }
            }
            break;
        case 4:
            reload(any_vm());
            break;
        case 5: {
            auto& vm = any_vm();
            if (vm.process_ && !vm.frozen_ && listens(vm)) { // else its process may start with that file
                say("broken settings " + vm.name_);
                std::ofstream{vm.settings_} << "[a, b]: c\n";
                reload(vm);
            }
            break;
        }
        case 6:
            change_config();
            break;
        case 7:
            change_versions();
            break;
        default:
            say("key withdrawn");
            losses_.note_planned("", "change");
            world_.revoke_key();
        }
    }

    void disturb_link()
    {
        if (random_() % 2 == 0) {
            auto& vm = *world_.vms_[random_() % world_.vms_.size()];
            if (!is_busy(vm.to_store_.get())) {
                losses_.begin_fault(vm.ip_);
                vm.to_store_->set_fault(any_link_fault(true));
                // Longer than a withdrawn key may work at a daemon that cannot read of it.
                schedule(
                    vm.to_store_.get(), "link to store of " + vm.name_,
                    [this, &vm] {
                        vm.to_store_->set_fault(link_fault::none);
                        losses_.end_fault(vm.ip_);
                    },
                    oracle::key_withdrawal + 5'000ms);
            }
            return;
        }
        auto& upstream = *world_.upstreams_[random_() % world_.upstreams_.size()];
        if (!is_busy(&upstream)) {
            // Orders to engines are not held back: one that arrives after its link healed proves nothing.
            losses_.begin_fault(upstream.id_);
            upstream.proxy_->set_fault(any_link_fault(upstream.engine_ == nullptr));
            schedule(&upstream, "link to " + upstream.id_, [this, &upstream] {
                upstream.proxy_->set_fault(link_fault::none);
                losses_.end_fault(upstream.id_);
            });
        }
    }

    void disturb_store()
    {
        if (is_busy(&world_.store_) || is_busy(&store_away_)) {
            return;
        }
        switch (random_() % 4) {
        case 0:
            losses_.begin_fault(loss_check::store);
            world_.store_.set_down(true);
            schedule(&world_.store_, "store down", [this] {
                world_.store_.set_down(false);
                losses_.end_fault(loss_check::store);
            });
            break;
        case 1:
            losses_.begin_fault(loss_check::store);
            world_.store_.set_slow(150ms);
            schedule(&world_.store_, "store slow", [this] {
                world_.store_.set_slow(0ms);
                losses_.end_fault(loss_check::store);
            });
            break;
        case 2:
            // What is written until it goes away is lost.
            schedule(&world_.store_, "writes that are lost",
                     [this, copy = world_.store_.copy()] { return_store(copy, 1 + random_() % 2); });
            break;
        default:
            world_.store_.forget_history();
            say("store forgets its history");
        }
    }

    /// Has the store go away for a moment and come back from the copy, so many times in a row.
    void return_store(std::map<std::string, standin_store::stored_topic> const& copy, std::uint64_t times)
    {
        losses_.begin_fault(loss_check::store);
        world_.store_.set_down(true);
        ++store_away_;
        schedule(&store_away_, "store comes back from a copy", [this, copy, times] {
            world_.return_to(copy);
            losses_.end_fault(loss_check::store);
            if (times > 1) {
                schedule(&world_.store_, "writes that are lost again",
                         [this, copy, times] { return_store(copy, times - 1); });
            }
        });
    }

    int store_away_{}; ///< How often it went away to come back from a copy.

    void disturb_upstream()
    {
        auto& upstream = *world_.upstreams_[random_() % world_.upstreams_.size()];
        if (is_busy(&upstream)) {
            return;
        }
        losses_.begin_fault(upstream.absence());
        if (random_() % 2 == 0) {
            upstream.loses_answers_ = true;
            schedule(&upstream, upstream.id_ + " loses answers", [this, &upstream] {
                upstream.loses_answers_ = false;
                losses_.end_fault(upstream.absence());
            });
        } else {
            // It says so in its entry, by the removal of its entry, or in its answers alone.
            upstream.leaving_ = random_() % 2 == 0;
            if (auto const how = random_() % 3; how < 2 || !upstream.leaving_) {
                world_.put_entry(upstream, how == 0 ? "draining" : "");
            }
            schedule(&upstream, upstream.id_ + " leaves", [this, &upstream] {
                upstream.leaving_ = false;
                ++upstream.born_; // the next process under that id
                world_.put_entry(upstream, "ready");
                losses_.end_fault(upstream.absence());
            });
        }
    }

    /// A release or a rollback of some upstreams, one after the other; or all of a version leave at once.
    void change_versions()
    {
        std::vector<soak_upstream*> desks;
        for (auto const& upstream : world_.upstreams_) {
            if (upstream->service_ == "desk") {
                desks.push_back(upstream.get());
            }
        }
        int const to =
            random_() % 3 != 0 ? ++newest_version_ : 1 + static_cast<int>(random_() % newest_version_);
        int const from = desks[random_() % desks.size()]->version_;
        bool const ends = random_() % 3 == 0;
        say("release of v" + std::to_string(to) + (ends ? " instead of v" + std::to_string(from) : ""));
        auto in = 0ms;
        for (auto* const upstream : desks) {
            if (ends ? upstream->version_ == from : random_() % 3 != 0) {
                later(in, "turn of " + upstream->id_, [this, upstream, to] { replace(*upstream, to); });
                in += ends ? 0ms : some_of(2'000ms);
            }
        }
    }

    /// Another process takes the upstream's place once it has left. Two others serve meanwhile.
    void replace(soak_upstream& upstream, int version)
    {
        if (!may_replace_) {
            return;
        }
        auto const serving =
            std::count_if(world_.upstreams_.begin(), world_.upstreams_.end(), [this](auto const& other) {
                return other->service_ == "desk" && !is_busy(other.get());
            });
        if (is_busy(&upstream) || serving < 3) {
            later(200ms, "turn of " + upstream.id_,
                  [this, &upstream, version] { replace(upstream, version); });
            return;
        }
        busy_.insert(&upstream);
        losses_.begin_fault(upstream.absence());
        upstream.leaving_ = random_() % 2 == 0;
        world_.put_entry(upstream, random_() % 2 == 0 ? "draining" : "");
        say("begin " + upstream.id_ + " leaves for v" + std::to_string(version));
        later(drain_time + some_of(2'000ms), upstream.id_ + " leaves", [this, &upstream, version] {
            soak_world::end_process(upstream);
            start_after_exit(upstream, version);
        });
    }

    void start_after_exit(soak_upstream& upstream, int version)
    {
        later(150ms, "next process of " + upstream.id_, [this, &upstream, version] {
            if (!upstream.proxy_->fault_in_force()) {
                start_after_exit(upstream, version);
                return;
            }
            world_.start_process(upstream, version);
            losses_.end_fault(upstream.absence());
            busy_.erase(&upstream);
        });
    }

    void begin_one()
    {
        switch (random_() % 11) {
        case 0:
        case 1:
        case 2:
            disturb_vm();
            break;
        case 3:
        case 4:
        case 5:
            disturb_link();
            break;
        case 6:
            disturb_store();
            break;
        case 7:
            say("key withdrawn");
            losses_.note_planned("", "change");
            world_.revoke_key();
            break;
        case 8:
            say("all daemons killed");
            for (auto& vm : world_.vms_) {
                if (!is_busy(vm.get()) && vm->process_) {
                    losses_.begin_fault(vm->ip_);
                    start(*vm);
                    losses_.end_fault(vm->ip_);
                }
            }
            break;
        case 9:
            change_versions();
            break;
        default:
            disturb_upstream();
        }
    }

    /// Between two looks at what is due.
    static constexpr auto step = 5ms;
    /// An upstream serves at least this long after it has said that it leaves: longer than a VM in touch goes
    /// on sending.
    static constexpr auto drain_time = oracle::leave_in_force + 500ms;

    soak_world& world_;
    oracle& checks_;
    loss_check& losses_;
    std::mt19937_64 random_;
    bool trace_;
    std::string logs_;
    std::size_t next_look_{};
    int newest_version_{1};
    bool may_replace_{}; ///< Releases go on; false while what is under way ends.
    std::vector<ending> under_way_;
    std::set<void const*> busy_;
};

} // namespace auburnchute::tests
