#include <auburnchute/log_writer.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <random>
#include <set>
#include <vector>

using namespace auburnchute;

namespace {

/// Several writers and a log that loses acknowledgements and takes some appends long after the call ended.
struct writer_world {
    struct call {
        std::size_t writer_{};
        std::vector<record> batch_;
        millis takes_effect_{-1}; ///< Below 0: never.
        millis returns_{};
        bool acknowledged_{};
    };
    struct entry {
        record record_;
        millis at_{};
    };

    std::vector<log_writer> writers_;
    std::vector<std::size_t> read_;
    std::vector<entry> log_;
    std::vector<call> calls_;
    std::vector<std::set<std::uint64_t>> submitted_;
    std::vector<std::set<std::uint64_t>> dropped_;
    std::vector<std::vector<std::uint64_t>> accepted_; ///< In the order of the fold.
    fleet_state state_;
    std::vector<millis> append_times_;
    std::mt19937_64 random_{1};
    millis now_{};
    millis read_delay_{50};
    int fail_percent_{};
    std::size_t members_{};

    explicit writer_world(std::size_t writers) : members_{writers}
    {
        for (std::size_t i = 0; i < writers; ++i) {
            log_writer w;
            w.self_ = {"e" + std::to_string(i), 1};
            w.max_batch_ = 8;
            state_.members_[w.self_] = {}; // Records are accepted from members alone.
            writers_.push_back(w);
        }
        read_.resize(writers);
        submitted_.resize(writers);
        dropped_.resize(writers);
        accepted_.resize(writers);
    }

    std::int64_t pick(std::int64_t below)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(below));
    }

    void put(call const& c)
    {
        for (auto const& rec : c.batch_) {
            auto const result = apply(state_, rec, log_.size(), now_);
            if (result.verdict_ == verdict::accepted) {
                accepted_[c.writer_].push_back(rec.sequence_);
            }
            log_.push_back({rec, now_});
        }
    }

    void step()
    {
        now_ += millis{4};
        for (std::size_t i = 0; i < calls_.size(); ++i) {
            auto& c = calls_[i];
            if (c.takes_effect_ >= millis{} && c.takes_effect_ <= now_) {
                c.takes_effect_ = {-1};
                put(c);
            }
            if (c.returns_ >= millis{} && c.returns_ <= now_) {
                c.returns_ = {-1};
                complete_append(writers_[c.writer_], c.acknowledged_, now_);
            }
        }
        std::erase_if(calls_,
                      [](call const& c) { return c.takes_effect_ < millis{} && c.returns_ < millis{}; });
        for (std::size_t i = 0; i < writers_.size(); ++i) {
            for (; read_[i] < log_.size() && log_[read_[i]].at_ + read_delay_ <= now_; ++read_[i]) {
                auto const& rec = log_[read_[i]].record_;
                if (rec.writer_ == writers_[i].self_) {
                    confirm_read_back(writers_[i], rec.sequence_);
                }
            }
            auto batch = start_batch(writers_[i], members_, now_);
            if (!batch.empty()) {
                append_times_.push_back(now_);
                start_call(i, std::move(batch));
            }
        }
    }

    void start_call(std::size_t writer, std::vector<record> batch)
    {
        call c{writer, std::move(batch), now_ + millis{4 + pick(20)}, now_ + millis{30}, true};
        if (pick(100) < fail_percent_) {
            c.acknowledged_ = false;
            auto const kind = pick(4);
            c.returns_ = now_ + millis{kind == 3 ? 2'000 : 100};
            if (kind == 0) {
                c.takes_effect_ = {-1}; // The append never reached the log.
            } else if (kind == 1) {
                c.takes_effect_ = now_ + millis{500 + pick(20'000)}; // Stuck in the network.
            }
        }
        calls_.push_back(std::move(c));
    }

    void submit_some(std::size_t writer, int number)
    {
        for (int i = 0; i < number; ++i) {
            if (auto const s = submit(writers_[writer], drain_set{"e0", true})) {
                submitted_[writer].insert(*s);
            }
        }
    }
};

struct writer_oracle {};
using writer_command = rc::state::Command<writer_oracle, writer_world>;

void expect_order(writer_world const& w)
{
    for (std::size_t i = 0; i < w.writers_.size(); ++i) {
        auto const& a = w.accepted_[i];
        for (std::size_t k = 0; k < a.size(); ++k) {
            RC_ASSERT(w.submitted_[i].contains(a[k]));
            RC_ASSERT(!w.dropped_[i].contains(a[k]));
            RC_ASSERT((k == 0U || a[k - 1] < a[k])); // RC_ASSERT itself does not short-circuit.
        }
    }
}

struct submit_records : writer_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, 3);
    int number_ = *rc::gen::inRange(1, 40);
    void apply(writer_oracle&) const override {}
    void run(writer_oracle const&, writer_world& w) const override { w.submit_some(who_, number_); }
    void show(std::ostream& os) const override { os << "submit " << who_ << " x" << number_; }
};

struct pass_time : writer_command {
    int ms_ = *rc::gen::inRange(1, 4'000);
    void apply(writer_oracle&) const override {}
    void run(writer_oracle const&, writer_world& w) const override
    {
        for (int t = 0; t < ms_; t += 4) {
            w.step();
        }
        expect_order(w);
    }
    void show(std::ostream& os) const override { os << "pass " << ms_; }
};

struct set_faults : writer_command {
    int fail_ = *rc::gen::element(0, 30, 100);
    int read_delay_ = *rc::gen::element(0, 50, 3'000);
    void apply(writer_oracle&) const override {}
    void run(writer_oracle const&, writer_world& w) const override
    {
        w.fail_percent_ = fail_;
        w.read_delay_ = {read_delay_};
    }
    void show(std::ostream& os) const override { os << "faults " << fail_ << "% read " << read_delay_; }
};

struct drop : writer_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, 3);
    void apply(writer_oracle&) const override {}
    void run(writer_oracle const&, writer_world& w) const override
    {
        for (auto const s : drop_unsent(w.writers_[who_])) {
            w.dropped_[who_].insert(s);
        }
    }
    void show(std::ostream& os) const override { os << "drop " << who_; }
};

} // namespace

// Guards against records lost or folded twice when acknowledgements are lost or appends take effect late, and
// against a record that is folded although its caller was told that it was dropped.
TEST_CASE("every record is folded once and in order", "[log_writer][promise-10][promise-13]")
{
    CHECK(rc::check("log writer", [] {
        writer_world w{3};
        w.random_.seed(*rc::gen::arbitrary<std::uint64_t>());
        rc::state::check(
            writer_oracle{}, w,
            rc::state::gen::execOneOfWithArgs<submit_records, submit_records, pass_time, set_faults, drop>());
        w.fail_percent_ = 0;
        w.read_delay_ = {50};
        for (int t = 0; t < 200'000; t += 4) {
            w.step();
        }
        expect_order(w);
        for (std::size_t i = 0; i < w.writers_.size(); ++i) {
            RC_ASSERT(w.accepted_[i].size() + w.dropped_[i].size() == w.submitted_[i].size());
        }
    }));
}

// Guards against a fleet that floods the log, also while appends fail at once.
TEST_CASE("all daemons together stay within the append budget", "[log_writer]")
{
    auto const writers = GENERATE(std::size_t{1}, std::size_t{9}, std::size_t{120});
    auto const failing = GENERATE(0, 50, 100);
    writer_world w{writers};
    w.fail_percent_ = failing;
    for (int t = 0; t < 20'000; t += 4) {
        for (std::size_t i = 0; i < writers; ++i) {
            w.submit_some(i, 1);
        }
        w.step();
    }
    auto const& times = w.append_times_;
    // Each daemon may open a second with one append at its very start.
    auto const bound = static_cast<std::size_t>(max_appends_per_second) + writers;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= millis{1'000}) {
            ++first;
        }
        REQUIRE(last - first + 1 <= bound);
    }
    CHECK(times.size() > 10);
}

// Guards against an endless queue in an outage.
TEST_CASE("a full queue refuses records", "[log_writer]")
{
    log_writer w;
    w.max_queued_ = 2;
    CHECK(submit(w, drain_set{"x", true}) == 1U);
    CHECK(submit(w, drain_set{"x", true}) == 2U);
    CHECK_FALSE(submit(w, drain_set{"x", true}).has_value());
    CHECK(drop_unsent(w) == std::vector<std::uint64_t>{1, 2});
    CHECK(submit(w, drain_set{"x", true}) == 3U);
}

// Guards against an interval that exceeds the budget by rounding down.
TEST_CASE("the interval keeps the budget", "[log_writer]")
{
    auto const row = GENERATE(table<std::size_t, std::int64_t>({{0, 4}, {1, 4}, {9, 36}, {1'200, 4'800}}));
    CHECK(append_interval(std::get<0>(row)) == millis{std::get<1>(row)});
}
