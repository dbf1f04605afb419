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

/// Several writers and a log that loses acknowledgements and stores some batches long after the call
/// returned.
struct writer_simulation {
    struct append_call {
        std::size_t writer_{};
        std::vector<record> batch_;
        millis takes_effect_at_{-1}; ///< Negative: never.
        millis returns_at_{};
        bool acknowledged_{};
    };
    struct entry {
        record record_;
        millis appended_at_{};
    };

    std::vector<log_writer> writers_;
    std::vector<std::size_t> next_entry_;
    std::vector<entry> log_;
    std::vector<append_call> append_calls_;
    std::vector<std::set<std::uint64_t>> submitted_;
    std::vector<std::set<std::uint64_t>> dropped_;
    std::vector<std::vector<std::uint64_t>>
        applied_; ///< Sequence numbers in the order in which they were applied.
    fleet_state state_;
    std::vector<millis> append_times_;
    std::mt19937_64 random_{1};
    millis now_{};
    millis read_delay_{50};
    int fail_percent_{};
    std::size_t members_{};

    explicit writer_simulation(std::size_t writers) : members_{writers}
    {
        for (std::size_t i = 0; i < writers; ++i) {
            log_writer writer;
            writer.self_ = {"e" + std::to_string(i), 1};
            writer.max_batch_ = 8;
            state_.members_[writer.self_] = {}; // Only records written by members are accepted.
            writers_.push_back(writer);
        }
        next_entry_.resize(writers);
        submitted_.resize(writers);
        dropped_.resize(writers);
        applied_.resize(writers);
    }

    std::int64_t random_below(std::int64_t limit)
    {
        return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(limit));
    }

    void append_to_log(append_call const& c)
    {
        for (auto const& rec : c.batch_) {
            auto const result = apply(state_, rec, log_.size(), now_);
            if (result.verdict_ == verdict::accepted) {
                applied_[c.writer_].push_back(rec.sequence_);
            }
            log_.push_back({rec, now_});
        }
    }

    void advance()
    {
        now_ += millis{4};
        for (std::size_t i = 0; i < append_calls_.size(); ++i) {
            auto& c = append_calls_[i];
            if (c.takes_effect_at_ >= millis{} && c.takes_effect_at_ <= now_) {
                c.takes_effect_at_ = {-1};
                append_to_log(c);
            }
            if (c.returns_at_ >= millis{} && c.returns_at_ <= now_) {
                c.returns_at_ = {-1};
                complete_append(writers_[c.writer_], c.acknowledged_, now_);
            }
        }
        std::erase_if(append_calls_, [](append_call const& c) {
            return c.takes_effect_at_ < millis{} && c.returns_at_ < millis{};
        });
        for (std::size_t i = 0; i < writers_.size(); ++i) {
            for (; next_entry_[i] < log_.size() && log_[next_entry_[i]].appended_at_ + read_delay_ <= now_;
                 ++next_entry_[i]) {
                auto const& rec = log_[next_entry_[i]].record_;
                if (rec.writer_ == writers_[i].self_) {
                    confirm_read_back(writers_[i], rec.sequence_);
                }
            }
            auto batch = start_batch(writers_[i], members_, now_);
            if (!batch.empty()) {
                append_times_.push_back(now_);
                start_append(i, std::move(batch));
            }
        }
    }

    void start_append(std::size_t writer, std::vector<record> batch)
    {
        append_call c{writer, std::move(batch), now_ + millis{4 + random_below(20)}, now_ + millis{30}, true};
        if (random_below(100) < fail_percent_) {
            c.acknowledged_ = false;
            auto const kind = random_below(4);
            c.returns_at_ = now_ + millis{kind == 3 ? 2'000 : 100};
            if (kind == 0) {
                c.takes_effect_at_ = {-1}; // The append never reached the log.
            } else if (kind == 1) {
                c.takes_effect_at_ = now_ + millis{500 + random_below(20'000)}; // Delayed in the network.
            }
        }
        append_calls_.push_back(std::move(c));
    }

    void submit_records_to(std::size_t writer, int number)
    {
        for (int i = 0; i < number; ++i) {
            if (auto const s = submit(writers_[writer], drain_set{"e0", true})) {
                submitted_[writer].insert(*s);
            }
        }
    }
};

struct empty_model {};
using writer_command = rc::state::Command<empty_model, writer_simulation>;

void check_applied_order(writer_simulation const& sim)
{
    for (std::size_t i = 0; i < sim.writers_.size(); ++i) {
        auto const& a = sim.applied_[i];
        for (std::size_t k = 0; k < a.size(); ++k) {
            RC_ASSERT(sim.submitted_[i].contains(a[k]));
            RC_ASSERT(!sim.dropped_[i].contains(a[k]));
            RC_ASSERT((k == 0U || a[k - 1] < a[k])); // RC_ASSERT itself does not short-circuit.
        }
    }
}

struct submit_records : writer_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, 3);
    int number_ = *rc::gen::inRange(1, 40);
    void apply(empty_model&) const override {}
    void run(empty_model const&, writer_simulation& sim) const override
    {
        sim.submit_records_to(who_, number_);
    }
    void show(std::ostream& os) const override { os << "submit " << who_ << " x" << number_; }
};

struct pass_time : writer_command {
    int ms_ = *rc::gen::inRange(1, 4'000);
    void apply(empty_model&) const override {}
    void run(empty_model const&, writer_simulation& sim) const override
    {
        for (int t = 0; t < ms_; t += 4) {
            sim.advance();
        }
        check_applied_order(sim);
    }
    void show(std::ostream& os) const override { os << "pass " << ms_; }
};

struct set_faults : writer_command {
    int fail_ = *rc::gen::element(0, 30, 100);
    int read_delay_ = *rc::gen::element(0, 50, 3'000);
    void apply(empty_model&) const override {}
    void run(empty_model const&, writer_simulation& sim) const override
    {
        sim.fail_percent_ = fail_;
        sim.read_delay_ = {read_delay_};
    }
    void show(std::ostream& os) const override { os << "faults " << fail_ << "% read " << read_delay_; }
};

struct drop_queued : writer_command {
    std::size_t who_ = *rc::gen::inRange<std::size_t>(0, 3);
    void apply(empty_model&) const override {}
    void run(empty_model const&, writer_simulation& sim) const override
    {
        for (auto const s : drop_unsent(sim.writers_[who_])) {
            sim.dropped_[who_].insert(s);
        }
    }
    void show(std::ostream& os) const override { os << "drop " << who_; }
};

} // namespace

// Guards against records lost or applied twice when acknowledgements are lost or appends take effect late,
// and against a record that is applied although it was reported as dropped.
TEST_CASE("every record is applied once and in order", "[log_writer][promise-10][promise-13]")
{
    CHECK(rc::check("log writer", [] {
        writer_simulation sim{3};
        sim.random_.seed(*rc::gen::arbitrary<std::uint64_t>());
        rc::state::check(empty_model{}, sim,
                         rc::state::gen::execOneOfWithArgs<submit_records, submit_records, pass_time,
                                                           set_faults, drop_queued>());
        sim.fail_percent_ = 0;
        sim.read_delay_ = {50};
        for (int t = 0; t < 200'000; t += 4) {
            sim.advance();
        }
        check_applied_order(sim);
        for (std::size_t i = 0; i < sim.writers_.size(); ++i) {
            RC_ASSERT(sim.applied_[i].size() + sim.dropped_[i].size() == sim.submitted_[i].size());
        }
    }));
}

// Guards against overload of the log by many daemons, also while appends fail.
TEST_CASE("all daemons together stay within the append rate limit", "[log_writer]")
{
    auto const writers = GENERATE(std::size_t{1}, std::size_t{9}, std::size_t{120});
    auto const failing = GENERATE(0, 50, 100);
    writer_simulation sim{writers};
    sim.fail_percent_ = failing;
    for (int t = 0; t < 20'000; t += 4) {
        for (std::size_t i = 0; i < writers; ++i) {
            sim.submit_records_to(i, 1);
        }
        sim.advance();
    }
    auto const& times = sim.append_times_;
    // Within any second each daemon may make one append more than the rate allows, at the start of that
    // second.
    auto const bound = static_cast<std::size_t>(max_appends_per_second) + writers;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= millis{1'000}) {
            ++first;
        }
        REQUIRE(last - first + 1 <= bound);
    }
    CHECK(times.size() > 10);
}

// Guards against unbounded growth of the queue during a log outage.
TEST_CASE("a full queue refuses records", "[log_writer]")
{
    log_writer writer;
    writer.max_queued_ = 2;
    CHECK(submit(writer, drain_set{"x", true}) == 1U);
    CHECK(submit(writer, drain_set{"x", true}) == 2U);
    CHECK_FALSE(submit(writer, drain_set{"x", true}).has_value());
    CHECK(drop_unsent(writer) == std::vector<std::uint64_t>{1, 2});
    CHECK(submit(writer, drain_set{"x", true}) == 3U);
}

// Guards against an append interval that is rounded down and so exceeds the rate limit.
TEST_CASE("the append interval keeps the rate limit", "[log_writer]")
{
    auto const row = GENERATE(table<std::size_t, std::int64_t>({{0, 4}, {1, 4}, {9, 36}, {1'200, 4'800}}));
    CHECK(append_interval(std::get<0>(row)) == millis{std::get<1>(row)});
}
