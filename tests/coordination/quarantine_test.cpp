#include <auburnchute/quarantine.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

using namespace auburnchute;

namespace {

constexpr std::size_t daemons = 4;
constexpr std::size_t upstreams = 3;
constexpr millis tick{100};

/// Simulates daemons that run requests on shared upstreams; each applies the log to its fleet state with a
/// delay.
struct crash_simulation {
    struct request {
        std::string fingerprint_;
        std::size_t daemon_{};
        std::size_t upstream_{upstreams}; ///< `upstreams` while it waits.
        bool poison_{};
        bool isolated_{};
        millis remaining_{}; ///< Remaining run time; a poison request crashes its upstream at the end. Below
                             ///< 0: done.
        millis duration_{};
    };
    struct daemon_model {
        fleet_state state_;
        local_crash_evidence evidence_;
        std::size_t next_entry_{};
        std::uint64_t sequence_{};
        std::int64_t refused_{};
    };
    struct entry {
        record record_;
        millis at_{};
    };

    std::vector<daemon_model> daemons_{daemons};
    std::vector<entry> log_;
    std::vector<request> requests_;
    std::map<std::size_t, millis> down_until_; ///< When each upstream that is down comes back.
    std::set<std::string> unrelated_refused_;
    std::mt19937_64 random_{1};
    millis now_{1'000'000};
    millis log_delay_{300};
    std::int64_t crashes_{};
    std::int64_t poison_sent_{};
    std::int64_t poison_refused_{};
    std::int64_t finished_{};
    millis poison_next_at_{-1}; ///< When its caller sends it next; below 0 while it is in flight.
    bool poison_caller_active_{};

    crash_simulation()
    {
        for (std::size_t d = 0; d < daemons_.size(); ++d) {
            append(d, member_joined{{"e" + std::to_string(d), 1}, "z", "h", "p", "a"});
        }
    }

    std::size_t pick(std::size_t below) { return random_() % below; }

    void append(std::size_t d, record_body body)
    {
        log_.push_back({{{"e" + std::to_string(d), 1}, ++daemons_[d].sequence_, std::move(body)}, now_});
    }

    void apply_log(std::size_t d)
    {
        auto& daemon = daemons_[d];
        while (daemon.next_entry_ < log_.size() && log_[daemon.next_entry_].at_ + log_delay_ <= now_) {
            auto const& rec = log_[daemon.next_entry_].record_;
            apply(daemon.state_, rec, daemon.next_entry_++, now_);
            if (auto const* const seen = std::get_if<crash_seen>(&rec.body_)) {
                reconcile_evidence(daemon.state_, daemon.evidence_, seen->fingerprint_, now_);
            } else if (auto const* const cleared = std::get_if<crash_cleared>(&rec.body_)) {
                reconcile_evidence(daemon.state_, daemon.evidence_, cleared->fingerprint_, now_);
            }
        }
    }

    void start(request& q)
    {
        auto& d = daemons_[q.daemon_];
        auto const verdict = classify_request(d.state_, d.evidence_, q.fingerprint_);
        if (verdict == crash_verdict::confirmed) {
            q.remaining_ = {-1};
            ++d.refused_;
            if (q.poison_) {
                ++poison_refused_;
                poison_next_at_ = now_ + millis{500};
            } else {
                unrelated_refused_.insert(q.fingerprint_);
            }
            return;
        }
        bool const suspect = verdict == crash_verdict::suspect;
        if (suspect && !may_run_isolated(d.state_, d.evidence_, q.fingerprint_, now_)) {
            return;
        }
        auto const first = pick(upstreams);
        for (std::size_t i = 0; i < upstreams; ++i) {
            auto const u = (first + i) % upstreams;
            bool const meets_suspect =
                suspect && std::any_of(requests_.begin(), requests_.end(), [&](request const& other) {
                    return other.daemon_ == q.daemon_ && other.upstream_ == u && other.isolated_;
                });
            if (!down_until_.contains(u) && !meets_suspect) {
                q.upstream_ = u;
                q.isolated_ = suspect;
                q.remaining_ = q.duration_;
                return;
            }
        }
    }

    void crash(std::size_t u)
    {
        ++crashes_;
        down_until_[u] = now_ + millis{2'000};
        for (std::size_t d = 0; d < daemons; ++d) {
            std::vector<std::string> in_flight;
            std::string isolated;
            for (auto& q : requests_) {
                if (q.daemon_ == d && q.upstream_ == u) {
                    in_flight.push_back(q.fingerprint_);
                    isolated = q.isolated_ ? q.fingerprint_ : isolated;
                    q.upstream_ = upstreams; // The daemon retries the request.
                    q.isolated_ = false;
                    q.remaining_ = {};
                }
            }
            if (!in_flight.empty()) {
                for (auto const& rec : record_crash(daemons_[d].evidence_, "u" + std::to_string(u), in_flight,
                                                    isolated, now_)) {
                    append(d, rec);
                }
            }
        }
    }

    void step()
    {
        now_ += tick;
        std::erase_if(down_until_, [this](auto const& item) { return item.second <= now_; });
        for (std::size_t d = 0; d < daemons; ++d) {
            apply_log(d);
        }
        if (poison_caller_active_ && poison_next_at_ >= millis{} && poison_next_at_ <= now_) {
            poison_next_at_ = {-1};
            ++poison_sent_;
            requests_.push_back({"poison",
                                 pick(daemons),
                                 upstreams,
                                 true,
                                 false,
                                 {},
                                 millis{200 + static_cast<std::int64_t>(pick(1'500))}});
        }
        std::set<std::size_t> dead;
        for (auto& q : requests_) {
            if (q.upstream_ == upstreams) {
                start(q);
                continue;
            }
            q.remaining_ = q.remaining_ - tick;
            if (q.remaining_ <= millis{} && q.poison_) {
                dead.insert(q.upstream_);
            }
        }
        for (auto const u : dead) {
            crash(u);
        }
        for (auto& q : requests_) {
            if (q.upstream_ != upstreams && q.remaining_ <= millis{}) {
                auto& d = daemons_[q.daemon_];
                if (record_completion(d.state_, d.evidence_, q.fingerprint_)) {
                    append(q.daemon_, crash_cleared{q.fingerprint_});
                }
                q.remaining_ = {-1};
                ++finished_;
            }
        }
        std::erase_if(requests_, [](request const& q) { return q.remaining_ < millis{}; });
    }

    void send_unrelated(int number)
    {
        for (int i = 0; i < number; ++i) {
            requests_.push_back({fingerprint("w", "r", std::to_string(random_())),
                                 pick(daemons),
                                 upstreams,
                                 false,
                                 false,
                                 {},
                                 millis{300 + static_cast<std::int64_t>(pick(3'000))}});
        }
    }
};

struct crash_oracle {
    bool poison_{};
};
using crash_command = rc::state::Command<crash_oracle, crash_simulation>;

struct advance_time : crash_command {
    int ticks_ = *rc::gen::inRange(1, 60);
    void apply(crash_oracle&) const override {}
    void run(crash_oracle const&, crash_simulation& w) const override
    {
        for (int i = 0; i < ticks_; ++i) {
            w.step();
        }
        RC_ASSERT(w.unrelated_refused_.empty());
    }
    void show(std::ostream& os) const override { os << "advance_time " << ticks_; }
};

struct send_unrelated : crash_command {
    int number_ = *rc::gen::inRange(1, 12);
    void apply(crash_oracle&) const override {}
    void run(crash_oracle const&, crash_simulation& w) const override { w.send_unrelated(number_); }
    void show(std::ostream& os) const override { os << "send_unrelated " << number_; }
};

struct send_poison : crash_command {
    void checkPreconditions(crash_oracle const& oracle) const override { RC_PRE(!oracle.poison_); }
    void apply(crash_oracle& oracle) const override { oracle.poison_ = true; }
    void run(crash_oracle const&, crash_simulation& w) const override
    {
        w.poison_caller_active_ = true;
        w.poison_next_at_ = w.now_;
    }
    void show(std::ostream& os) const override { os << "send_poison"; }
};

struct set_log_delay : crash_command {
    int delay_ = *rc::gen::element(0, 300, 800);
    void apply(crash_oracle&) const override {}
    void run(crash_oracle const&, crash_simulation& w) const override { w.log_delay_ = {delay_}; }
    void show(std::ostream& os) const override { os << "log delay " << delay_; }
};

} // namespace

// Guards against a request that crashes one upstream after another, and against refusing other requests that
// were in flight with it.
TEST_CASE("a poison request is stopped after few crashes and the others finish",
          "[quarantine][promise-3][promise-9]")
{
    CHECK(rc::check("quarantine", [] {
        crash_simulation w;
        w.random_.seed(*rc::gen::arbitrary<std::uint64_t>());
        rc::state::check(crash_oracle{}, w,
                         rc::state::gen::execOneOfWithArgs<advance_time, send_unrelated, send_unrelated,
                                                           send_poison, set_log_delay>());
        w.log_delay_ = {300};
        for (int i = 0; i < 4'000 && (!w.requests_.empty() || w.poison_refused_ < 3); ++i) {
            w.step();
            if (!w.poison_caller_active_ && w.requests_.empty()) {
                break;
            }
        }
        RC_ASSERT(w.unrelated_refused_.empty());
        // The first crash makes the request a suspect, the second confirms it. A daemon that has not applied
        // the confirmation yet may run it once more if the caller sends it again within the log's delay.
        RC_ASSERT(w.crashes_ <= 3);
        w.poison_caller_active_ = false;
        for (int i = 0; i < 3'000 && !w.requests_.empty(); ++i) {
            w.step();
        }
        RC_ASSERT(w.requests_.empty());
        if (w.poison_sent_ > 0) {
            for (auto const& d : w.daemons_) {
                RC_ASSERT(classify_request(d.state_, d.evidence_, "poison") == crash_verdict::confirmed);
            }
        }
    }));
}

// Guards against a verdict that ignores one of the two sources of evidence.
TEST_CASE("the verdict combines the evidence of the fleet state and of this daemon", "[quarantine]")
{
    struct row {
        int applied_; ///< 0: none, 1: suspect, 2: confirmed.
        int unapplied_;
        crash_verdict expected_;
    };
    auto const r = GENERATE(row{0, 0, crash_verdict::clear}, row{1, 0, crash_verdict::suspect},
                            row{0, 1, crash_verdict::suspect}, row{2, 0, crash_verdict::confirmed},
                            row{0, 2, crash_verdict::confirmed}, row{1, 2, crash_verdict::confirmed},
                            row{2, 1, crash_verdict::confirmed});
    fleet_state state;
    local_crash_evidence evidence;
    member_id const writer{"e0", 1};
    apply(state, {writer, 1, member_joined{writer, "z", "h", "p", "a"}}, 0, {500});
    if (r.applied_ > 0) {
        apply(state, {writer, 2, crash_seen{"f", "u0", "", r.applied_ == 2}}, 1, {1'000});
    }
    if (r.unapplied_ > 0) {
        record_peer_crash(evidence, {"f", "u0", "", r.unapplied_ == 2}, {1'000});
    }
    CHECK(classify_request(state, evidence, "f") == r.expected_);
    CHECK(classify_request(state, evidence, "g") == crash_verdict::clear);
    CHECK(record_completion(state, evidence, "f") == (r.expected_ == crash_verdict::suspect));
    CHECK_FALSE(record_completion(state, evidence, "g"));
}

// Guards against an older crash record that, when it is applied, removes a local confirmation whose own
// record is not applied yet.
TEST_CASE("a local confirmation is kept when an earlier crash record is applied", "[quarantine]")
{
    fleet_state state;
    local_crash_evidence evidence;
    auto const first = record_crash(evidence, "u0", {"f"}, "", {});
    auto const second = record_crash(evidence, "u1", {"f"}, "f", {1'000});
    member_id const writer{"e0", 1};
    apply(state, {writer, 1, member_joined{writer, "z", "h", "p", "a"}}, 0, {1'500});
    apply(state, {writer, 2, first.at(0)}, 1, {2'000});
    reconcile_evidence(state, evidence, "f", {});
    CHECK(classify_request(state, evidence, "f") == crash_verdict::confirmed);
    apply(state, {writer, 3, second.at(0)}, 2, {3'000});
    reconcile_evidence(state, evidence, "f", {});
    CHECK(classify_request(state, evidence, "f") == crash_verdict::confirmed);
    CHECK(evidence.unapplied_.empty());
}

// Guards against blaming the requests that ran beside an isolated suspect, and against counting one crash
// twice for a request that was in flight twice.
TEST_CASE("a crash counts once for each fingerprint, or only for the isolated suspect", "[quarantine]")
{
    local_crash_evidence evidence;
    CHECK(record_crash(evidence, "u0", {"a", "b", "a"}, "", {}).size() == 2);
    CHECK(evidence.unapplied_.at("a").crashes_ == 1);
    auto const records = record_crash(evidence, "u1", {"a", "b", "c"}, "b", {});
    REQUIRE(records.size() == 1);
    CHECK(records[0].fingerprint_ == "b");
    CHECK(records[0].isolated_);
    CHECK_FALSE(evidence.unapplied_.contains("c"));
    CHECK_FALSE(evidence.unapplied_.at("a").confirmed_);
}

// Guards against two requests that share a fingerprint, and against a fingerprint that reveals its request.
TEST_CASE("fingerprints depend on each part of a request and reveal none", "[quarantine][promise-5]")
{
    std::set<std::string> const all{fingerprint("a", "b", "c"), fingerprint("ab", "", "c"),
                                    fingerprint("a", "bc", ""), fingerprint("", "ab", "c"),
                                    fingerprint("a", "b", "d"), fingerprint("a", "b", "c\n")};
    CHECK(all.size() == 6);
    auto const text = fingerprint("workspace", "route", "secret");
    CHECK(text == fingerprint("workspace", "route", "secret"));
    CHECK(text.size() == 64);
    CHECK(text.find("secret") == std::string::npos);
}
