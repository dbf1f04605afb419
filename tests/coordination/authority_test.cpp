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

constexpr std::size_t slots = 7;
constexpr std::size_t started = 5;
constexpr std::int64_t step_ms = 100;

/// One daemon with its own clock, fold and messages.
struct daemon_model {
    member_id id_;
    double rate_{1.0}; ///< Of its clock against real time.
    std::int64_t offset_{};
    fleet_state state_;
    authority_view view_;
    std::size_t folded_{};
    std::uint64_t sequence_{};
    std::uint64_t acked_{};
    bool running_{};
    bool paused_{};
    bool log_works_{true};
    std::set<std::size_t> cut_;                ///< Peers to which nothing leaves.
    std::map<member_id, millis> removal_seen_; ///< By member gone by suspicion, in own time.
};

struct message {
    enum class kind : std::uint8_t { heartbeat, question, confirmation } kind_{};
    std::size_t from_{};
    std::size_t to_{};
    member_id sender_;
    member_id receiver_;
    millis question_sent_; ///< By the asker's clock.
    std::int64_t arrives_{};
};

struct log_read {
    std::size_t reader_{};
    member_id id_;
    std::size_t tail_{};
    millis sent_;
    std::int64_t arrives_{};
};

struct log_append {
    record record_;
    std::int64_t arrives_{};
};

struct authority_world {
    std::int64_t real_{1'000'000};
    std::array<daemon_model, slots> daemons_;
    std::vector<record> log_;
    std::vector<message> messages_;
    std::vector<log_read> reads_;
    std::vector<log_append> appends_;
    std::mt19937_64 random_{1};
    std::int64_t message_delay_{300};
    int loss_percent_{10};
    std::string fault_;

    [[nodiscard]] millis local(daemon_model const& d) const
    {
        return {d.offset_ + static_cast<std::int64_t>(static_cast<double>(real_) * d.rate_)};
    }

    std::int64_t pick(std::int64_t below)
    {
        return static_cast<std::int64_t>(random_() %
                                         static_cast<std::uint64_t>(std::max<std::int64_t>(below, 1)));
    }

    void append(daemon_model& d, record_body body, std::int64_t delay)
    {
        if (d.log_works_) {
            appends_.push_back({{d.id_, ++d.sequence_, std::move(body)}, real_ + delay});
        }
    }

    void start(std::size_t i, std::uint64_t incarnation)
    {
        auto& d = daemons_[i];
        auto const log_works = d.log_works_;
        auto const rate = d.rate_;
        auto const cut = d.cut_;
        d = {};
        d.id_ = {"e" + std::to_string(i), incarnation};
        d.rate_ = rate;
        d.cut_ = cut;
        d.offset_ = 10'000'000 + static_cast<std::int64_t>(i) * 7'777;
        d.log_works_ = log_works;
        d.running_ = true;
        d.view_.self_ = d.id_;
        d.view_.started_at_ = local(d);
    }

    void send(message::kind kind, std::size_t from, std::size_t to, millis question_sent)
    {
        auto const& a = daemons_[from];
        if (a.cut_.contains(to) || pick(100) < loss_percent_) {
            return;
        }
        messages_.push_back(
            {kind, from, to, a.id_, daemons_[to].id_, question_sent, real_ + pick(message_delay_)});
    }

    void receive(message const& m)
    {
        auto& d = daemons_[m.to_];
        d.view_.last_message_from_[m.sender_] = local(d);
        if (m.kind_ == message::kind::question && may_confirm_outage(d.state_, d.view_, m.sender_)) {
            d.view_.outage_confirmed_to_[m.sender_] = local(d);
            send(message::kind::confirmation, m.to_, m.from_, m.question_sent_);
        } else if (m.kind_ == message::kind::confirmation) {
            auto& at = d.view_.outage_confirmed_by_[m.sender_];
            at = std::max(at, m.question_sent_);
        }
    }

    void finish_read(log_read const& r)
    {
        auto& d = daemons_[r.reader_];
        for (; d.folded_ < r.tail_; ++d.folded_) {
            apply(d.state_, log_[d.folded_], d.folded_, {});
        }
        d.view_.log_reachable_ = true;
        d.view_.log_tail_read_at_ = std::max(d.view_.log_tail_read_at_, r.sent_);
        for (auto const& [id, entry] : d.state_.members_) {
            if (entry.by_suspicion_) {
                d.removal_seen_.emplace(id, local(d));
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

    [[nodiscard]] bool can_take(std::size_t i, member_id const& id) const
    {
        return daemons_[i].running_ && !daemons_[i].paused_ && daemons_[i].id_ == id;
    }

    void tick(std::size_t i)
    {
        auto& d = daemons_[i];
        if (!d.log_works_) {
            d.view_.log_reachable_ = false;
        } else {
            // The answer holds what the log held when the read was sent: the oldest it may hold.
            reads_.push_back({i, d.id_, log_.size(), local(d), real_ + pick(400)});
        }
        for (std::size_t to = 0; to < slots; ++to) {
            if (to != i && daemons_[to].running_) {
                send(message::kind::heartbeat, i, to, {});
                if (!d.view_.log_reachable_) {
                    send(message::kind::question, i, to, local(d));
                }
            }
        }
        if (!d.state_.members_.contains(d.id_) && d.sequence_ == 0) {
            append(d, member_joined{d.id_, "a", "h", "p", "ad", d.state_.next_offset_}, pick(200));
        }
        for (auto const& suspect : cast_removal_votes(d.state_, d.view_, local(d))) {
            append(d, member_suspected{d.id_, suspect}, pick(3'000));
        }
        if (d.state_.pending_.number_ > d.acked_) {
            d.acked_ = d.state_.pending_.number_;
            append(d, share_ack{d.id_, d.acked_}, pick(500));
        }
    }

    void step()
    {
        real_ += step_ms;
        deliver(
            appends_, [&](auto const& a) { return a.arrives_ <= real_; },
            [&](auto const& a) { log_.push_back(a.record_); });
        // What reaches a paused daemon waits in its sockets until it resumes; what reaches an ended one is
        // lost.
        deliver(
            messages_,
            [&](auto const& m) {
                return m.arrives_ <= real_ &&
                       (can_take(m.to_, m.receiver_) || daemons_[m.to_].id_ != m.receiver_);
            },
            [&](auto const& m) {
                if (can_take(m.to_, m.receiver_)) {
                    receive(m);
                }
            });
        deliver(
            reads_,
            [&](auto const& r) {
                return r.arrives_ <= real_ &&
                       (can_take(r.reader_, r.id_) || daemons_[r.reader_].id_ != r.id_);
            },
            [&](auto const& r) {
                if (can_take(r.reader_, r.id_)) {
                    finish_read(r);
                }
            });
        for (std::size_t i = 0; i < slots; ++i) {
            bool const due = (real_ / step_ms + static_cast<std::int64_t>(i)) % 5 == 0;
            if (daemons_[i].running_ && !daemons_[i].paused_ && due) {
                tick(i);
            }
        }
        check();
    }

    [[nodiscard]] authority judged(daemon_model const& d) const
    {
        return evaluate_authority(d.state_, d.view_, local(d));
    }

    /// Nobody may use the share of a member that still acts on it.
    void check()
    {
        for (auto const& user : daemons_) {
            for (auto const& [removed, seen] : user.removal_seen_) {
                if (!user.running_ || local(user) - seen < removal_grace_period) {
                    continue;
                }
                for (auto const& d : daemons_) {
                    if (d.running_ && d.id_ == removed && judged(d) != authority::lapsed) {
                        fault_ = to_string(user.id_) + " uses the share of " + to_string(removed) +
                                 ", whose authority is " + std::to_string(static_cast<int>(judged(d)));
                    }
                }
            }
        }
    }
};

authority_world make_world(std::uint64_t seed, std::array<int, slots> const& rates)
{
    authority_world w;
    w.random_.seed(seed);
    for (std::size_t i = 0; i < slots; ++i) {
        // The fastest clock runs 10% faster than the slowest one.
        w.daemons_[i].rate_ = 1.0 + 0.001 * rates[i];
        if (i < started) {
            w.start(i, i + 1);
        }
    }
    for (int i = 0; i < 150; ++i) {
        w.step();
    }
    return w;
}

struct authority_oracle {};
using authority_command = rc::state::Command<authority_oracle, authority_world>;

void run_for(authority_world& w, std::int64_t duration)
{
    for (std::int64_t t = 0; t < duration && w.fault_.empty(); t += step_ms) {
        w.step();
    }
    if (!w.fault_.empty()) {
        RC_FAIL(w.fault_);
    }
}

struct pass : authority_command {
    int seconds_ = *rc::gen::inRange(1, 15);
    void apply(authority_oracle&) const override {}
    void run(authority_oracle const&, authority_world& w) const override { run_for(w, seconds_ * 1'000); }
    void show(std::ostream& os) const override { os << "pass " << seconds_; }
};

struct pause_or_resume : authority_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, slots);
    bool paused_ = *rc::gen::arbitrary<bool>();
    void apply(authority_oracle&) const override {}
    void run(authority_oracle const&, authority_world& w) const override
    {
        w.daemons_[who_].paused_ = paused_;
    }
    void show(std::ostream& os) const override { os << "pause " << who_ << " " << paused_; }
};

struct set_log : authority_command {
    int mask_ = *rc::gen::inRange(0, 1 << slots);
    bool all_ = *rc::gen::arbitrary<bool>();
    void apply(authority_oracle&) const override {}
    void run(authority_oracle const&, authority_world& w) const override
    {
        for (std::size_t i = 0; i < slots; ++i) {
            w.daemons_[i].log_works_ = all_ || ((mask_ >> i) & 1) != 0;
        }
    }
    void show(std::ostream& os) const override { os << "log " << (all_ ? -1 : mask_); }
};

/// Cuts one member off from some others, in one direction or both.
struct cut_links : authority_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, slots);
    int mask_ = *rc::gen::inRange(0, 1 << slots);
    bool both_ = *rc::gen::arbitrary<bool>();
    void apply(authority_oracle&) const override {}
    void run(authority_oracle const&, authority_world& w) const override
    {
        for (std::size_t i = 0; i < slots; ++i) {
            bool const cut = ((mask_ >> i) & 1) != 0;
            cut ? static_cast<void>(w.daemons_[who_].cut_.insert(i))
                : static_cast<void>(w.daemons_[who_].cut_.erase(i));
            if (both_ || !cut) {
                cut ? static_cast<void>(w.daemons_[i].cut_.insert(who_))
                    : static_cast<void>(w.daemons_[i].cut_.erase(who_));
            }
        }
    }
    void show(std::ostream& os) const override { os << "cut " << who_ << " " << mask_ << " " << both_; }
};

struct restart : authority_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, slots);
    void apply(authority_oracle&) const override {}
    void run(authority_oracle const&, authority_world& w) const override
    {
        w.start(who_, static_cast<std::uint64_t>(w.real_) + who_);
    }
    void show(std::ostream& os) const override { os << "restart " << who_; }
};

struct set_delay : authority_command {
    int delay_ = *rc::gen::element(100, 1'000, 6'000);
    int loss_ = *rc::gen::element(0, 10, 60);
    void apply(authority_oracle&) const override {}
    void run(authority_oracle const&, authority_world& w) const override
    {
        w.message_delay_ = delay_;
        w.loss_percent_ = loss_;
    }
    void show(std::ostream& os) const override { os << "delay " << delay_ << " loss " << loss_; }
};

std::array<int, slots> any_rates()
{
    std::array<int, slots> rates{};
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

// Guards against a voted-out daemon that goes on granting tokens while others use its share.
TEST_CASE("a removed member's authority has lapsed before others use its share", "[authority][promise-7]")
{
    CHECK(rc::check("authority", [] {
        auto const seed = *rc::gen::arbitrary<std::uint64_t>();
        auto const rates = any_rates();
        auto w = make_world(seed, rates);
        rc::state::check(authority_oracle{}, w,
                         rc::state::gen::execOneOfWithArgs<pass, pass, pause_or_resume, set_log, cut_links,
                                                           restart, set_delay>());
    }));
}

// Guards against daemons that stop serving in a log outage although a majority of them is connected.
TEST_CASE("in an outage for all no member of a connected majority lapses", "[authority][promise-3]")
{
    CHECK(rc::check("outage", [] {
        auto w = make_world(*rc::gen::arbitrary<std::uint64_t>(), any_rates());
        auto const cut_off = *rc::gen::inRange<std::size_t>(0, 3);
        for (std::size_t i = 0; i < started; ++i) {
            w.daemons_[i].log_works_ = false;
            for (std::size_t j = 0; j < started; ++j) {
                if ((i < cut_off) != (j < cut_off)) {
                    w.daemons_[i].cut_.insert(j);
                }
            }
        }
        for (int t = 0; t < 900; ++t) {
            w.step();
            for (std::size_t i = 0; i < started; ++i) {
                bool const serves = w.judged(w.daemons_[i]) != authority::lapsed;
                if (i >= cut_off) {
                    RC_ASSERT(serves);
                } else if (t > 100) {
                    RC_ASSERT(!serves);
                }
            }
        }
    }));
}

// Guards against a daemon that acts on old knowledge, and against one that stops too early.
TEST_CASE("authority follows the tail read and the majority", "[authority][promise-6]")
{
    struct row {
        char const* what_;
        std::int64_t tail_age_; ///< -1: never read.
        bool reachable_;
        std::size_t confirmed_; ///< Of the four peers.
        std::int64_t confirmed_age_;
        authority expected_;
    };
    auto const r =
        GENERATE(row{"fresh read", 0, true, 0, 0, authority::fresh_log},
                 row{"last millisecond", 3'999, false, 0, 0, authority::fresh_log},
                 row{"lapsed at the lifetime", 4'000, false, 0, 0, authority::lapsed},
                 row{"majority with itself", 60'000, false, 2, 3'999, authority::fresh_outage},
                 row{"one answer short", 60'000, false, 1, 0, authority::lapsed},
                 row{"answers too old", 60'000, false, 4, 4'000, authority::lapsed},
                 row{"log reachable but not read to the tail", 60'000, true, 4, 0, authority::lapsed},
                 row{"started in the outage", -1, false, 4, 0, authority::lapsed});
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

// Guards against a majority of the old share version alone, while votes are counted in the new one.
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

// Guards against an answer given after a vote that the voter has not read back yet.
TEST_CASE("a voter gives no answer to the member it voted against, even before the vote is folded",
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
        auto const suspects = cast_removal_votes(state, view, t);
        if (!suspects.empty()) {
            CHECK(suspects == std::vector{silent});
        }
    }
    view.log_reachable_ = false;
    CHECK_FALSE(may_confirm_outage(state, view, silent));
    CHECK(may_confirm_outage(state, view, {"e2", 1}));
}

// Guards against a daemon that resumes from a pause and votes out everyone it did not hear meanwhile.
TEST_CASE("a daemon that was paused counts the silence of its peers anew", "[authority]")
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

// Guards against a vote right after an answer on which the other member's authority still rests.
TEST_CASE("a member that was answered is not voted out until the answer has aged", "[authority][promise-7]")
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
