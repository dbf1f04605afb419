#include <auburnchute/authority.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <deque>
#include <random>
#include <set>
#include <vector>

using namespace auburnchute;

namespace {

constexpr std::size_t max_daemons = 7;
constexpr std::size_t initial_daemons = 5;
constexpr std::int64_t step_ms = 100;

/// A simulated daemon with its own clock, applied log state and evidence.
struct simulated_daemon {
    member_id id_;
    double clock_rate_{1.0}; ///< Rate of its clock relative to real time.
    std::int64_t clock_offset_{};
    fleet_state state_;
    authority_view view_;
    std::size_t next_entry_{};
    std::uint64_t sequence_{};
    std::uint64_t acked_version_{};
    bool running_{};
    bool paused_{};
    bool can_reach_log_{true};
    std::set<std::size_t> blocked_peers_;            ///< Peers that receive no message of this daemon.
    std::map<member_id, millis> removal_applied_at_; ///< By member removed by votes: local time at which this
                                                     ///< daemon applied the removal.
};

struct message {
    enum class kind : std::uint8_t { heartbeat, outage_query, outage_confirmation } kind_{};
    std::size_t from_{};
    std::size_t to_{};
    member_id sender_;
    member_id receiver_;
    millis query_sent_at_; ///< By the clock of the daemon that sent the query.
    std::int64_t arrives_at_{};
};

struct log_read {
    std::size_t reader_{};
    member_id id_;
    std::size_t tail_{};
    millis sent_;
    std::int64_t arrives_at_{};
};

struct log_append {
    record record_;
    std::int64_t arrives_at_{};
};

/// Daemons with drifting clocks, the log and the messages between them, advanced in steps of `step_ms`.
struct authority_simulation {
    std::int64_t real_time_{1'000'000};
    std::array<simulated_daemon, max_daemons> daemons_;
    std::vector<record> log_;
    std::vector<message> messages_;
    std::vector<log_read> reads_;
    std::vector<log_append> appends_;
    std::mt19937_64 random_{1};
    std::int64_t message_delay_{300};
    int loss_percent_{10};
    std::string violation_;

    [[nodiscard]] millis local_time(simulated_daemon const& d) const
    {
        return {d.clock_offset_ + static_cast<std::int64_t>(static_cast<double>(real_time_) * d.clock_rate_)};
    }

    std::int64_t random_below(std::int64_t bound)
    {
        return static_cast<std::int64_t>(random_() %
                                         static_cast<std::uint64_t>(std::max<std::int64_t>(bound, 1)));
    }

    void append(simulated_daemon& d, record_body body, std::int64_t delay)
    {
        if (d.can_reach_log_) {
            appends_.push_back({{d.id_, ++d.sequence_, std::move(body)}, real_time_ + delay});
        }
    }

    void start(std::size_t i, std::uint64_t incarnation)
    {
        auto& d = daemons_[i];
        auto const can_reach_log = d.can_reach_log_;
        auto const rate = d.clock_rate_;
        auto const blocked = d.blocked_peers_;
        d = {};
        d.id_ = {"e" + std::to_string(i), incarnation};
        d.clock_rate_ = rate;
        d.blocked_peers_ = blocked;
        d.clock_offset_ = 10'000'000 + static_cast<std::int64_t>(i) * 7'777;
        d.can_reach_log_ = can_reach_log;
        d.running_ = true;
        d.view_.self_ = d.id_;
        d.view_.started_at_ = local_time(d);
    }

    void send(message::kind kind, std::size_t from, std::size_t to, millis query_sent_at)
    {
        auto const& a = daemons_[from];
        if (a.blocked_peers_.contains(to) || random_below(100) < loss_percent_) {
            return;
        }
        messages_.push_back({kind, from, to, a.id_, daemons_[to].id_, query_sent_at,
                             real_time_ + random_below(message_delay_)});
    }

    void receive(message const& m)
    {
        auto& d = daemons_[m.to_];
        d.view_.last_message_from_[m.sender_] = local_time(d);
        if (m.kind_ == message::kind::outage_query && may_confirm_outage(d.state_, d.view_, m.sender_)) {
            d.view_.outage_confirmed_to_[m.sender_] = local_time(d);
            send(message::kind::outage_confirmation, m.to_, m.from_, m.query_sent_at_);
        } else if (m.kind_ == message::kind::outage_confirmation) {
            auto& at = d.view_.outage_confirmed_by_[m.sender_];
            at = std::max(at, m.query_sent_at_);
        }
    }

    void complete_read(log_read const& r)
    {
        auto& d = daemons_[r.reader_];
        for (; d.next_entry_ < r.tail_; ++d.next_entry_) {
            apply(d.state_, log_[d.next_entry_], d.next_entry_, {});
        }
        d.view_.log_reachable_ = true;
        d.view_.log_tail_read_at_ = std::max(d.view_.log_tail_read_at_, r.sent_);
        for (auto const& [id, entry] : d.state_.members_) {
            if (entry.by_suspicion_) {
                d.removal_applied_at_.emplace(id, local_time(d));
            }
        }
    }

    template <typename Item, typename Ready, typename Do>
    void deliver(std::vector<Item>& items, Ready ready, Do action)
    {
        std::vector<Item> due;
        std::vector<Item> rest;
        for (auto& item : items) {
            (ready(item) ? due : rest).push_back(item);
        }
        items = std::move(rest);
        for (auto const& item : due) {
            action(item);
        }
    }

    [[nodiscard]] bool can_receive(std::size_t i, member_id const& id) const
    {
        return daemons_[i].running_ && !daemons_[i].paused_ && daemons_[i].id_ == id;
    }

    void run_daemon(std::size_t i)
    {
        auto& d = daemons_[i];
        if (!d.can_reach_log_) {
            d.view_.log_reachable_ = false;
        } else {
            // The reply holds the log's content at the time of sending, the oldest content that a read may
            // return.
            reads_.push_back({i, d.id_, log_.size(), local_time(d), real_time_ + random_below(400)});
        }
        for (std::size_t to = 0; to < max_daemons; ++to) {
            if (to != i && daemons_[to].running_) {
                send(message::kind::heartbeat, i, to, {});
                if (!d.view_.log_reachable_) {
                    send(message::kind::outage_query, i, to, local_time(d));
                }
            }
        }
        if (!d.state_.members_.contains(d.id_) && d.sequence_ == 0) {
            append(d, member_joined{d.id_, "a", "h", "p", "ad", d.state_.next_offset_}, random_below(200));
        }
        for (auto const& silent : cast_removal_votes(d.state_, d.view_, local_time(d))) {
            append(d, member_suspected{d.id_, silent}, random_below(3'000));
        }
        if (d.state_.pending_.number_ > d.acked_version_) {
            d.acked_version_ = d.state_.pending_.number_;
            append(d, share_ack{d.id_, d.acked_version_}, random_below(500));
        }
    }

    void advance()
    {
        real_time_ += step_ms;
        deliver(
            appends_, [&](auto const& a) { return a.arrives_at_ <= real_time_; },
            [&](auto const& a) { log_.push_back(a.record_); });
        // Messages to a paused daemon stay in its sockets until it resumes; messages to a process that has
        // ended are lost.
        deliver(
            messages_,
            [&](auto const& m) {
                return m.arrives_at_ <= real_time_ &&
                       (can_receive(m.to_, m.receiver_) || daemons_[m.to_].id_ != m.receiver_);
            },
            [&](auto const& m) {
                if (can_receive(m.to_, m.receiver_)) {
                    receive(m);
                }
            });
        deliver(
            reads_,
            [&](auto const& r) {
                return r.arrives_at_ <= real_time_ &&
                       (can_receive(r.reader_, r.id_) || daemons_[r.reader_].id_ != r.id_);
            },
            [&](auto const& r) {
                if (can_receive(r.reader_, r.id_)) {
                    complete_read(r);
                }
            });
        for (std::size_t i = 0; i < max_daemons; ++i) {
            bool const due = (real_time_ / step_ms + static_cast<std::int64_t>(i)) % 5 == 0;
            if (daemons_[i].running_ && !daemons_[i].paused_ && due) {
                run_daemon(i);
            }
        }
        check();
    }

    [[nodiscard]] authority authority_of(simulated_daemon const& d) const
    {
        return evaluate_authority(d.state_, d.view_, local_time(d));
    }

    /// Records a violation if a daemon may use the share of a removed member whose authority has not lapsed.
    void check()
    {
        for (auto const& user : daemons_) {
            for (auto const& [removed, applied_at] : user.removal_applied_at_) {
                if (!user.running_ || local_time(user) - applied_at < removal_grace_period) {
                    continue;
                }
                for (auto const& d : daemons_) {
                    if (d.running_ && d.id_ == removed && authority_of(d) != authority::lapsed) {
                        violation_ = to_string(user.id_) + " may use the share of " + to_string(removed) +
                                     ", whose authority has not lapsed: " +
                                     std::to_string(static_cast<int>(authority_of(d)));
                    }
                }
            }
        }
    }
};

authority_simulation make_simulation(std::uint64_t seed, std::array<int, max_daemons> const& rates)
{
    authority_simulation sim;
    sim.random_.seed(seed);
    for (std::size_t i = 0; i < max_daemons; ++i) {
        // The fastest clock runs 10% faster than the slowest one.
        sim.daemons_[i].clock_rate_ = 1.0 + 0.001 * rates[i];
        if (i < initial_daemons) {
            sim.start(i, i + 1);
        }
    }
    for (int i = 0; i < 150; ++i) {
        sim.advance();
    }
    return sim;
}

struct empty_model {};
using authority_command = rc::state::Command<empty_model, authority_simulation>;

void advance_for(authority_simulation& sim, std::int64_t duration)
{
    for (std::int64_t t = 0; t < duration && sim.violation_.empty(); t += step_ms) {
        sim.advance();
    }
    if (!sim.violation_.empty()) {
        RC_FAIL(sim.violation_);
    }
}

struct advance_time : authority_command {
    int seconds_ = *rc::gen::inRange(1, 15);
    void apply(empty_model&) const override {}
    void run(empty_model const&, authority_simulation& sim) const override
    {
        advance_for(sim, seconds_ * 1'000);
    }
    void show(std::ostream& os) const override { os << "pass " << seconds_; }
};

struct pause_or_resume : authority_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, max_daemons);
    bool paused_ = *rc::gen::arbitrary<bool>();
    void apply(empty_model&) const override {}
    void run(empty_model const&, authority_simulation& sim) const override
    {
        sim.daemons_[who_].paused_ = paused_;
    }
    void show(std::ostream& os) const override { os << "pause " << who_ << " " << paused_; }
};

struct set_log_availability : authority_command {
    int mask_ = *rc::gen::inRange(0, 1 << max_daemons);
    bool all_ = *rc::gen::arbitrary<bool>();
    void apply(empty_model&) const override {}
    void run(empty_model const&, authority_simulation& sim) const override
    {
        for (std::size_t i = 0; i < max_daemons; ++i) {
            sim.daemons_[i].can_reach_log_ = all_ || ((mask_ >> i) & 1) != 0;
        }
    }
    void show(std::ostream& os) const override { os << "log " << (all_ ? -1 : mask_); }
};

/// Blocks the messages between one daemon and some others, in one direction or in both.
struct block_links : authority_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, max_daemons);
    int mask_ = *rc::gen::inRange(0, 1 << max_daemons);
    bool both_ = *rc::gen::arbitrary<bool>();
    void apply(empty_model&) const override {}
    void run(empty_model const&, authority_simulation& sim) const override
    {
        for (std::size_t i = 0; i < max_daemons; ++i) {
            bool const blocked = ((mask_ >> i) & 1) != 0;
            blocked ? static_cast<void>(sim.daemons_[who_].blocked_peers_.insert(i))
                    : static_cast<void>(sim.daemons_[who_].blocked_peers_.erase(i));
            if (both_ || !blocked) {
                blocked ? static_cast<void>(sim.daemons_[i].blocked_peers_.insert(who_))
                        : static_cast<void>(sim.daemons_[i].blocked_peers_.erase(who_));
            }
        }
    }
    void show(std::ostream& os) const override { os << "cut " << who_ << " " << mask_ << " " << both_; }
};

struct restart : authority_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, max_daemons);
    void apply(empty_model&) const override {}
    void run(empty_model const&, authority_simulation& sim) const override
    {
        sim.start(who_, static_cast<std::uint64_t>(sim.real_time_) + who_);
    }
    void show(std::ostream& os) const override { os << "restart " << who_; }
};

struct set_delay : authority_command {
    int delay_ = *rc::gen::element(100, 1'000, 6'000);
    int loss_ = *rc::gen::element(0, 10, 60);
    void apply(empty_model&) const override {}
    void run(empty_model const&, authority_simulation& sim) const override
    {
        sim.message_delay_ = delay_;
        sim.loss_percent_ = loss_;
    }
    void show(std::ostream& os) const override { os << "delay " << delay_ << " loss " << loss_; }
};

std::array<int, max_daemons> any_rates()
{
    std::array<int, max_daemons> rates{};
    for (auto& rate : rates) {
        rate = *rc::gen::element(0, 0, 50, 100, 100);
    }
    return rates;
}

fleet_state members_in_force(std::size_t n)
{
    fleet_state state;
    for (std::size_t i = 0; i < n; ++i) {
        member_id const id{"e" + std::to_string(i), 1};
        state.members_[id] = {};
        state.in_force_.members_.push_back(id);
    }
    state.in_force_.number_ = 1;
    return state;
}

} // namespace

// Guards against a removed daemon that still grants tokens of the rate limits while other members use its
// share.
TEST_CASE("a removed member's authority lapses before other members use its share", "[authority][promise-7]")
{
    CHECK(rc::check("authority", [] {
        auto const seed = *rc::gen::arbitrary<std::uint64_t>();
        auto const rates = any_rates();
        auto sim = make_simulation(seed, rates);
        rc::state::check(
            empty_model{}, sim,
            rc::state::gen::execOneOfWithArgs<advance_time, advance_time, pause_or_resume,
                                              set_log_availability, block_links, restart, set_delay>());
    }));
}

// Guards against daemons that stop serving during a log outage although they are connected to a majority.
TEST_CASE("a connected majority keeps its authority during a log outage", "[authority][promise-3]")
{
    CHECK(rc::check("outage", [] {
        auto sim = make_simulation(*rc::gen::arbitrary<std::uint64_t>(), any_rates());
        auto const cut_off = *rc::gen::inRange<std::size_t>(0, 3);
        for (std::size_t i = 0; i < initial_daemons; ++i) {
            sim.daemons_[i].can_reach_log_ = false;
            for (std::size_t j = 0; j < initial_daemons; ++j) {
                if ((i < cut_off) != (j < cut_off)) {
                    sim.daemons_[i].blocked_peers_.insert(j);
                }
            }
        }
        for (int t = 0; t < 900; ++t) {
            sim.advance();
            for (std::size_t i = 0; i < initial_daemons; ++i) {
                bool const serves = sim.authority_of(sim.daemons_[i]) != authority::lapsed;
                if (i >= cut_off) {
                    RC_ASSERT(serves);
                } else if (t > 100) {
                    RC_ASSERT(!serves);
                }
            }
        }
    }));
}

// Guards against a daemon that serves on expired evidence, and against one that stops before it expires.
TEST_CASE("authority depends on the age of the tail read and of the majority's confirmations",
          "[authority][promise-6]")
{
    struct row {
        char const* what_;
        std::int64_t tail_age_; ///< -1: never read.
        bool reachable_;
        std::size_t confirmed_; ///< Number of the four peers that confirmed the outage.
        std::int64_t confirmed_age_;
        authority expected_;
    };
    auto const r = GENERATE(
        row{"recent read", 0, true, 0, 0, authority::fresh_log},
        row{"read one millisecond before expiry", 3'999, false, 0, 0, authority::fresh_log},
        row{"read expired", 4'000, false, 0, 0, authority::lapsed},
        row{"majority that includes the daemon itself", 60'000, false, 2, 3'999, authority::fresh_outage},
        row{"one confirmation short of a majority", 60'000, false, 1, 0, authority::lapsed},
        row{"confirmations expired", 60'000, false, 4, 4'000, authority::lapsed},
        row{"log reachable but not read to the tail", 60'000, true, 4, 0, authority::lapsed},
        row{"started during the outage", -1, false, 4, 0, authority::lapsed});
    INFO(r.what_);
    auto const state = members_in_force(5);
    millis const now{1'000'000};
    authority_view view;
    view.self_ = {"e0", 1};
    view.log_reachable_ = r.reachable_;
    view.log_tail_read_at_ = r.tail_age_ < 0 ? millis{} : now - millis{r.tail_age_};
    for (std::size_t i = 1; i <= r.confirmed_; ++i) {
        view.outage_confirmed_by_[{"e" + std::to_string(i), 1}] = now - millis{r.confirmed_age_};
    }
    CHECK(evaluate_authority(state, view, now) == r.expected_);
}

// Guards against an outage confirmed by a majority of the share version in force alone while removal votes
// are already counted among the members of the pending version.
TEST_CASE("an outage must be confirmed by majorities of both share versions", "[authority][promise-7]")
{
    auto state = members_in_force(3);
    state.pending_.number_ = 2;
    state.pending_.members_ = {{"e0", 1}, {"e1", 1}, {"e2", 1}, {"f0", 1}, {"f1", 1}, {"f2", 1}, {"f3", 1}};
    millis const now{1'000'000};
    authority_view view;
    view.self_ = {"e0", 1};
    view.log_tail_read_at_ = now - millis{60'000};
    view.outage_confirmed_by_[{"e1", 1}] = now;
    CHECK(evaluate_authority(state, view, now) == authority::lapsed);
    view.outage_confirmed_by_[{"f0", 1}] = view.outage_confirmed_by_[{"f1", 1}] = now;
    CHECK(evaluate_authority(state, view, now) == authority::fresh_outage);
}

// Guards against an outage confirmation sent to a member after a vote against it that was not read back yet.
TEST_CASE("a voter does not confirm an outage to the member it voted against before the vote is applied",
          "[authority][promise-7]")
{
    auto const state = members_in_force(3);
    millis const now{1'000'000};
    authority_view view;
    view.self_ = {"e0", 1};
    view.log_reachable_ = true;
    member_id const silent{"e1", 1};
    view.last_message_from_[{"e2", 1}] = now;
    for (millis t = now - millis{20'000}; t <= now; t += millis{1'000}) {
        view.log_tail_read_at_ = t;
        view.last_message_from_[{"e2", 1}] = t;
        auto const silent_members = cast_removal_votes(state, view, t);
        if (!silent_members.empty()) {
            CHECK(silent_members == std::vector{silent});
        }
    }
    view.log_reachable_ = false;
    CHECK_FALSE(may_confirm_outage(state, view, silent));
    CHECK(may_confirm_outage(state, view, {"e2", 1}));
}

// Guards against a daemon that resumes from a pause and votes against all peers for the silence during it.
TEST_CASE("a daemon measures the silence of its peers from the end of its last pause", "[authority]")
{
    auto const state = members_in_force(3);
    authority_view view;
    view.self_ = {"e0", 1};
    view.log_reachable_ = true;
    millis now{1'000'000};
    for (int i = 0; i < 20; ++i) {
        now += millis{500};
        view.log_tail_read_at_ = now;
        view.last_message_from_[{"e1", 1}] = view.last_message_from_[{"e2", 1}] = now;
        CHECK(cast_removal_votes(state, view, now).empty());
    }
    now += millis{60'000};
    view.log_tail_read_at_ = now;
    CHECK(cast_removal_votes(state, view, now).empty());
    for (int i = 0; i < 15; ++i) {
        now += millis{500};
        view.log_tail_read_at_ = now;
        CHECK(cast_removal_votes(state, view, now).empty());
    }
    now += millis{500};
    view.log_tail_read_at_ = now;
    CHECK(cast_removal_votes(state, view, now).size() == 2);
}

// Guards against the removal of a member whose authority still rests on an outage confirmation by the voter.
TEST_CASE("a member is not voted out while an outage confirmation sent to it is recent",
          "[authority][promise-7]")
{
    auto const state = members_in_force(3);
    auto const age = GENERATE(0, 7'999, 8'000);
    millis const now{1'000'000};
    authority_view view;
    view.self_ = {"e0", 1};
    view.log_reachable_ = true;
    view.log_tail_read_at_ = now;
    view.last_message_from_[{"e2", 1}] = now;
    view.monitoring_since_ = now - millis{60'000};
    view.last_vote_check_ = now - millis{500};
    view.outage_confirmed_to_[{"e1", 1}] = now - millis{age};
    CHECK(cast_removal_votes(state, view, now).size() == (age < 8'000 ? 0U : 1U));
}
