#include <auburnchute/rate_share.hpp>
#include <auburnchute/rendezvous.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <set>
#include <string>
#include <vector>

using namespace auburnchute;

namespace {

rate_bucket make_bucket(std::int64_t rate, std::int64_t burst, std::int64_t units, millis now = {})
{
    rate_bucket bucket;
    set_limits(bucket, rate, burst, now);
    begin_version(bucket, 1, units, now);
    return bucket;
}

member_id member(int number)
{
    return {"entry-" + std::to_string(number), 1};
}

} // namespace

// Guards against base units that add up to more or less than `total_share_units`.
TEST_CASE("base units add up to the total", "[rate_share][promise-7]")
{
    auto const holders = GENERATE(range(std::size_t{1}, std::size_t{40}));
    std::int64_t sum = 0;
    for (std::size_t i = 0; i < holders; ++i) {
        sum += base_units(i, holders);
        CHECK(base_units(i, holders) >= base_units(holders - 1, holders));
    }
    CHECK(sum == total_share_units);
}

// Guards against small shares that never refill because each step's earnings are rounded down to 0.
TEST_CASE("refill earns rate times share at any interval of the calls", "[rate_share]")
{
    auto const [rate, units, step] = GENERATE(table<std::int64_t, std::int64_t, std::int64_t>({
        {1, total_share_units, 1},
        {1, 111'111, 1},
        {7, 333'333, 3},
        {1'000, 1, 1},
        {43'000'000, 111'111, 250},
    }));
    auto bucket = make_bucket(rate, 10'000'000'000, units);
    std::int64_t const total = 60'000;
    for (std::int64_t at = step; at <= total; at += step) {
        refill(bucket, {at});
    }
    CHECK(bucket.tokens_ == rate * units * total / total_share_units);
}

// Guards against an integer overflow that empties or overfills a bucket after a long pause.
TEST_CASE("a long pause fills the bucket to its capacity", "[rate_share]")
{
    auto const pause = GENERATE(as<std::int64_t>{}, 200'000, 3'600'000, 30LL * 24 * 3'600'000);
    auto bucket = make_bucket(43'000'000, 430'000'000, total_share_units);
    refill(bucket, {pause});
    CHECK(bucket.tokens_ == 430'000'000'000);
    refill(bucket, {pause - 1});
    CHECK(bucket.tokens_ == 430'000'000'000);
}

// Guards against reservations above the free tokens, and against tokens created by a release.
TEST_CASE("reserve, produce and release conserve tokens", "[rate_share][promise-7]")
{
    auto const [requested, produced, admitted, left] =
        GENERATE(table<std::int64_t, std::int64_t, bool, std::int64_t>({
            {100, 100, true, 0},
            {100, 30, true, 70'000},
            {60, 0, true, 100'000},
            {101, 0, false, 100'000},
            {0, 0, true, 100'000},
        }));
    auto bucket = make_bucket(10, 100, total_share_units);
    refill(bucket, {10'000});
    CHECK(reserve(bucket, requested, {10'000}) == admitted);
    if (admitted) {
        produce(bucket, produced, {10'000});
        release(bucket, requested - produced, {10'000});
    }
    CHECK(bucket.tokens_ == left);
    CHECK(bucket.outstanding_ == 0);
}

// Guards against a refill that credits the time in which the bucket was full (found by the stateful test).
TEST_CASE("production earns no refill for the time before it", "[rate_share][promise-7]")
{
    auto bucket = make_bucket(10, 100, total_share_units);
    refill(bucket, {10'000});
    REQUIRE(reserve(bucket, 100, {10'000}));
    produce(bucket, 100, {15'000});
    refill(bucket, {15'000});
    CHECK(bucket.tokens_ == 0);
    refill(bucket, {16'000});
    CHECK(bucket.tokens_ == 10'000);
}

// Guards against production above the reservation that is charged to no request.
TEST_CASE("production above the reservation is charged to later requests", "[rate_share][promise-7]")
{
    auto bucket = make_bucket(10, 100, total_share_units);
    refill(bucket, {10'000});
    REQUIRE(reserve(bucket, 100, {10'000}));
    produce(bucket, 150, {10'000});
    CHECK(bucket.tokens_ == -50'000);
    CHECK_FALSE(reserve(bucket, 0, {14'000}));
    CHECK(reserve(bucket, 0, {15'000}));
    CHECK_FALSE(reserve(bucket, 1, {15'000}));
}

// Guards against borrowing too little to admit the request, and against borrowing for a request above the
// burst, which no daemon can admit.
TEST_CASE("the units missing are just enough for the request", "[rate_share]")
{
    auto const [burst, units, requested, missing] =
        GENERATE(table<std::int64_t, std::int64_t, std::int64_t, std::int64_t>({
            {1'000, 500'000, 500, 0},
            {1'000, 500'000, 501, 1'000},
            {1'000, 500'000, 1'000, 500'000},
            {1'000, 500'000, 1'001, 0},
            {5, 200'000, 2, 200'000},
            {0, 500'000, 1, 0},
        }));
    auto bucket = make_bucket(1'000, burst, units);
    refill(bucket, {3'600'000});
    CHECK(units_missing(bucket, requested) == missing);
}

// Guards against a loan whose tokens do not suffice for the request that caused it.
TEST_CASE("a loan of the missing units admits the request", "[rate_share]")
{
    auto borrower = make_bucket(100, 900, 500'000);
    auto lender = make_bucket(100, 900, 500'000);
    refill(borrower, {60'000});
    refill(lender, {60'000});
    REQUIRE_FALSE(reserve(borrower, 800, {60'000}));
    auto const units = units_missing(borrower, 800);
    auto const grant = lend(lender, member(1), 1, units, {60'000});
    receive_loan(borrower, member(2), grant, {60'000});
    CHECK(reserve(borrower, 800, {60'000}));
    CHECK(units_held(borrower) + units_held(lender) == total_share_units);
}

// Guards against a grant that is repeated, older or of another version and creates units or tokens.
TEST_CASE("a grant takes effect once", "[rate_share][promise-7]")
{
    auto const [version, total, expected] = GENERATE(table<std::uint64_t, std::int64_t, std::int64_t>({
        {1, 100'000, 0},
        {1, 99'999, 0},
        {1, 0, 0},
        {1, -5, 0},
        {0, 200'000, 0},
        {2, 200'000, 0},
        {1, 150'000, 50'000},
    }));
    auto bucket = make_bucket(100, 1'000, 500'000);
    receive_loan(bucket, member(2), {1, 100'000, 100'000}, {});
    auto const before = bucket;
    receive_loan(bucket, member(2), {version, total, 50'000}, {});
    CHECK(units_held(bucket) - units_held(before) == expected);
    CHECK(bucket.tokens_ - before.tokens_ == expected);
}

// Guards against a borrower that earns refill of the borrowed units for the time before the loan.
TEST_CASE("borrowed units earn refill only after the loan", "[rate_share][promise-7]")
{
    auto borrower = make_bucket(100, 10'000, 100'000);
    receive_loan(borrower, member(2), {1, 400'000, 0}, {10'000});
    CHECK(borrower.tokens_ == 100'000);
    refill(borrower, {20'000});
    CHECK(borrower.tokens_ == 600'000);
}

// Guards against units that stay with an idle borrower, and against a repeated return that creates units.
TEST_CASE("idle units are returned with their tokens", "[rate_share]")
{
    auto lender = make_bucket(100, 1'000, 500'000);
    auto borrower = make_bucket(100, 1'000, 500'000);
    refill(lender, {60'000});
    refill(borrower, {60'000});
    auto const lent = lend(lender, member(1), 1, 200'000, {60'000});
    receive_loan(borrower, member(2), lent, {60'000});
    auto const first = return_loan(borrower, member(2), {60'000});
    auto const again = return_loan(borrower, member(2), {60'000});
    CHECK(first.total_returned_ == 200'000);
    CHECK(again.total_returned_ == 200'000);
    CHECK(again.tokens_ == 0);
    receive_return(lender, member(1), first, {60'000});
    receive_return(lender, member(1), first, {60'000});
    CHECK(units_held(lender) == 500'000);
    CHECK(units_held(borrower) == 500'000);
    CHECK(lender.tokens_ + borrower.tokens_ == 1'000'000);
}

// Guards against a member that uses its next share, or loans of the previous version, while a version is
// pending.
TEST_CASE("a pending version limits the bucket to the smaller share", "[rate_share][promise-7]")
{
    auto const [next, pending_units, begun_units] = GENERATE(table<std::int64_t, std::int64_t, std::int64_t>({
        {250'000, 150'000, 250'000},
        {1'000'000, 400'000, 1'000'000},
        {50'000, 0, 50'000},
        {0, 0, 0},
    }));
    auto bucket = make_bucket(100, 1'000, 500'000);
    refill(bucket, {60'000});
    receive_loan(bucket, member(2), {1, 300'000, 300'000}, {60'000});
    REQUIRE(lend(bucket, member(3), 1, 100'000, {60'000}).total_lent_ == 100'000);
    prepare_version(bucket, 2, next, {60'000});
    CHECK(units_held(bucket) == pending_units);
    CHECK(is_within_capacity(bucket));
    receive_loan(bucket, member(2), {1, 400'000, 0}, {60'000});
    CHECK(units_held(bucket) == pending_units);
    begin_version(bucket, 1, 500'000, {60'000});
    CHECK(units_held(bucket) == pending_units);
    begin_version(bucket, 2, next, {60'000});
    CHECK(units_held(bucket) == begun_units);
}

// Guards against loans of an older version that remain in a daemon that did not see the pending version.
TEST_CASE("a version begun without preparation drops older loans", "[rate_share][promise-7]")
{
    auto bucket = make_bucket(100, 1'000, 500'000);
    receive_loan(bucket, member(2), {1, 300'000, 0}, {});
    begin_version(bucket, 3, 200'000, {});
    CHECK(units_held(bucket) == 200'000);
}

// Guards against tokens lent under a higher burst that arrive after the burst was lowered.
TEST_CASE("a delayed grant adds no more tokens than its units carry", "[rate_share][promise-7]")
{
    auto bucket = make_bucket(100, 100, 500'000);
    receive_loan(bucket, member(2), {1, 200'000, 2'000'000}, {});
    CHECK(bucket.tokens_ == 20'000);
}

// Guards against an acknowledgement while reservations still exceed the smaller share.
TEST_CASE("a bucket exceeds its capacity until enough reservations end", "[rate_share][promise-7]")
{
    auto bucket = make_bucket(100, 1'000, 500'000);
    refill(bucket, {60'000});
    REQUIRE(reserve(bucket, 400, {60'000}));
    prepare_version(bucket, 2, 250'000, {60'000});
    CHECK_FALSE(is_within_capacity(bucket));
    CHECK_FALSE(reserve(bucket, 1, {60'000}));
    produce(bucket, 100, {60'000});
    release(bucket, 49, {60'000});
    CHECK_FALSE(is_within_capacity(bucket));
    CHECK(bucket.tokens_ == 0);
    produce(bucket, 1, {60'000});
    CHECK(is_within_capacity(bucket));
}

// Guards against a membership change during a log outage that stops all lending until the log recovers.
TEST_CASE("members of a pending version lend to each other", "[rate_share]")
{
    auto lender = make_bucket(100, 1'000, 500'000);
    auto borrower = make_bucket(100, 1'000, 500'000);
    for (auto* bucket : {&lender, &borrower}) {
        refill(*bucket, {60'000});
        prepare_version(*bucket, 2, 333'333, {60'000});
    }
    receive_loan(borrower, member(2), lend(lender, member(1), 2, 100'000, {60'000}), {60'000});
    CHECK(units_held(borrower) == 433'333);
    begin_version(lender, 2, 333'333, {60'000});
    begin_version(borrower, 2, 333'333, {60'000});
    CHECK(units_held(lender) + units_held(borrower) == 666'666);
}

namespace {

/// Checks guarantee 7 from the tokens produced and the limits known alone: a leaky bucket that is filled by
/// the produced tokens and drains at the rate never holds more than the burst. This bounds every interval at
/// once.
struct leaky_bucket {
    std::int64_t level_{}; ///< Thousandths.
    std::int64_t burst_{}; ///< The highest burst known to any daemon since this bucket was created.
};

struct daemon {
    member_id id_;
    rate_bucket bucket_;
    std::vector<std::int64_t> reservations_; ///< Tokens left of each request's reservation.
    std::size_t next_event_{};               ///< Index in the log of the next event to read.
    std::uint64_t prepared_version_{};
    bool alive_{true};
    bool removed_{}; ///< Removed from the members in the log.
};

struct log_event {
    enum class kind { pending, in_force, limits } kind_;
    std::uint64_t version_{};
    std::vector<member_id> members_;
    std::int64_t rate_{};
    std::int64_t burst_{};
};

struct message {
    enum class kind { borrow, grant, return_loan } kind_;
    member_id from_;
    member_id to_;
    std::uint64_t version_{};
    std::int64_t units_{};
    loan_grant grant_;
    loan_return return_;
};

struct fleet {
    millis now_{};
    std::vector<daemon> daemons_;
    std::vector<log_event> log_;
    std::vector<message> network_;
    std::vector<member_id> in_force_;
    std::vector<member_id> pending_;
    std::uint64_t version_{};
    bool is_pending_{};
    std::set<member_id> acks_;
    std::vector<leaky_bucket> leaky_buckets_;
    std::uint64_t next_incarnation_{1};
    bool limits_settled_{};
};

daemon* find_alive(fleet& f, member_id const& id)
{
    auto const found = std::find_if(f.daemons_.begin(), f.daemons_.end(),
                                    [&](daemon const& d) { return d.id_ == id && d.alive_; });
    return found == f.daemons_.end() ? nullptr : &*found;
}

std::vector<member_id> current_members(fleet const& f)
{
    std::vector<member_id> members;
    for (auto const& d : f.daemons_) {
        if (!d.removed_) {
            members.push_back(d.id_);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

std::int64_t share_of(member_id const& id, std::vector<member_id> const& members)
{
    auto const holders = preferred_members("workspace", members, 9);
    auto const found = std::find(holders.begin(), holders.end(), id);
    return found == holders.end()
               ? 0
               : base_units(static_cast<std::size_t>(found - holders.begin()), holders.size());
}

/// Derives share versions from the log: opens a pending version when the members differ from those of the
/// version in force, and puts it in force when all members of both have acknowledged it.
void advance_share_version(fleet& f)
{
    if (f.is_pending_) {
        auto const done = [&](member_id const& id) {
            return f.acks_.contains(id) ||
                   std::none_of(f.daemons_.begin(), f.daemons_.end(),
                                [&](daemon const& d) { return d.id_ == id && !d.removed_; });
        };
        if (std::all_of(f.in_force_.begin(), f.in_force_.end(), done) &&
            std::all_of(f.pending_.begin(), f.pending_.end(), done)) {
            f.is_pending_ = false;
            f.in_force_ = f.pending_;
            f.log_.push_back({log_event::kind::in_force, f.version_, f.in_force_, 0, 0});
        }
    }
    if (!f.is_pending_ && current_members(f) != f.in_force_) {
        f.is_pending_ = true;
        f.pending_ = current_members(f);
        f.acks_.clear();
        f.log_.push_back({log_event::kind::pending, ++f.version_, f.pending_, 0, 0});
    }
}

void read_log(fleet& f, daemon& d, std::size_t count)
{
    for (; count > 0 && d.next_event_ < f.log_.size(); --count) {
        auto const& event = f.log_[d.next_event_++];
        switch (event.kind_) {
        case log_event::kind::pending:
            prepare_version(d.bucket_, event.version_, share_of(d.id_, event.members_), f.now_);
            d.prepared_version_ = event.version_;
            break;
        case log_event::kind::in_force:
            begin_version(d.bucket_, event.version_, share_of(d.id_, event.members_), f.now_);
            break;
        case log_event::kind::limits:
            set_limits(d.bucket_, event.rate_, event.burst_, f.now_);
            break;
        }
    }
}

void join(fleet& f, std::string vm)
{
    daemon d;
    d.id_ = {std::move(vm), f.next_incarnation_++};
    d.bucket_.refilled_at_ = f.now_;
    f.daemons_.push_back(std::move(d));
    advance_share_version(f);
}

void deliver(fleet& f, message const& m)
{
    auto* const to = find_alive(f, m.to_);
    if (to == nullptr) {
        return;
    }
    switch (m.kind_) {
    case message::kind::borrow: {
        auto const grant = lend(to->bucket_, m.from_, m.version_, m.units_, f.now_);
        f.network_.push_back({message::kind::grant, m.to_, m.from_, 0, 0, grant, {}});
        break;
    }
    case message::kind::grant:
        receive_loan(to->bucket_, m.from_, m.grant_, f.now_);
        break;
    case message::kind::return_loan:
        receive_return(to->bucket_, m.from_, m.return_, f.now_);
        break;
    }
}

void advance_time(fleet& f, std::int64_t step)
{
    std::int64_t rate = 0;
    for (auto const& d : f.daemons_) {
        rate = std::max(rate, d.alive_ ? d.bucket_.rate_ : 0);
    }
    f.now_ += millis{step};
    for (auto& v : f.leaky_buckets_) {
        v.level_ = std::max<std::int64_t>(v.level_ - rate * step, 0);
    }
}

void produce_tokens(fleet& f, daemon& d, std::int64_t tokens)
{
    produce(d.bucket_, tokens, f.now_);
    for (auto& v : f.leaky_buckets_) {
        v.level_ += tokens * 1'000;
    }
}

std::int64_t units_in_transit(fleet& f)
{
    std::int64_t sum = 0;
    for (auto const& lender : f.daemons_) {
        for (auto const& [id, loan] : lender.bucket_.loans_) {
            auto* const borrower = find_alive(f, id);
            if (!lender.alive_ || borrower == nullptr ||
                borrower->bucket_.version_ != lender.bucket_.version_) {
                continue;
            }
            auto const found = borrower->bucket_.loans_.find(lender.id_);
            auto const other = found == borrower->bucket_.loans_.end() ? loan_account{} : found->second;
            RC_ASSERT(other.borrowed_ <= loan.lent_);
            RC_ASSERT(loan.lent_returned_ <= other.returned_);
            sum += loan.lent_ - other.borrowed_ + other.returned_ - loan.lent_returned_;
        }
    }
    return sum;
}

void check_invariants(fleet& f)
{
    std::int64_t held = 0;
    std::int64_t could_produce = 0;
    std::set<std::int64_t> bursts;
    bool settled = true;
    for (auto const& d : f.daemons_) {
        if (!d.alive_) {
            continue;
        }
        held += units_held(d.bucket_);
        auto all_at_once = d.bucket_;
        refill(all_at_once, f.now_);
        could_produce += all_at_once.tokens_ + all_at_once.outstanding_;
        bursts.insert(d.bucket_.burst_);
        settled = settled && is_within_capacity(d.bucket_) && d.next_event_ == f.log_.size();
    }
    RC_ASSERT(held + units_in_transit(f) <= total_share_units);
    if (settled && !f.limits_settled_) {
        // A new bucket checks the bound of the present limits alone from here on.
        f.leaky_buckets_.push_back({0, 0});
        f.limits_settled_ = true;
    }
    for (auto& v : f.leaky_buckets_) {
        for (auto const burst : bursts) {
            v.burst_ = std::max(v.burst_, burst * 1'000);
        }
        RC_ASSERT(v.level_ <= v.burst_);
        // Tokens that all daemons could produce at this instant count too, since nothing prevents it.
        RC_ASSERT(v.level_ + could_produce <= v.burst_);
    }
}

struct fleet_model {};

enum class action {
    advance,
    reserve,
    produce,
    use_all,
    release,
    borrow,
    return_loan,
    deliver,
    duplicate,
    drop,
    read,
    read_all,
    ack,
    kill,
    remove_member,
    restart,
    publish_limits
};

struct fleet_step : rc::state::Command<fleet_model, fleet> {
    action action_ = *rc::gen::weightedElement<action>({{6, action::advance},
                                                        {8, action::reserve},
                                                        {6, action::produce},
                                                        {2, action::use_all},
                                                        {3, action::release},
                                                        {10, action::borrow},
                                                        {3, action::return_loan},
                                                        {14, action::deliver},
                                                        {3, action::duplicate},
                                                        {2, action::drop},
                                                        {5, action::read},
                                                        {4, action::read_all},
                                                        {8, action::ack},
                                                        {1, action::kill},
                                                        {2, action::remove_member},
                                                        {1, action::restart},
                                                        {2, action::publish_limits}});
    std::size_t a_ = *rc::gen::inRange<std::size_t>(0, 1'000);
    std::size_t b_ = *rc::gen::inRange<std::size_t>(0, 1'000);
    std::int64_t n_ = *rc::gen::inRange<std::int64_t>(1, 2'000);

    void show(std::ostream& os) const override
    {
        os << "action " << static_cast<int>(action_) << " a=" << a_ << " b=" << b_ << " n=" << n_;
    }

    void run(fleet_model const&, fleet& f) const override
    {
        act(f);
        check_invariants(f);
    }

    void act(fleet& f) const
    {
        auto& d = f.daemons_[a_ % f.daemons_.size()];
        auto const& peer = f.daemons_[b_ % f.daemons_.size()];
        switch (action_) {
        case action::advance:
            advance_time(f, n_ * n_ / 1'000);
            return;
        case action::deliver:
        case action::duplicate:
        case action::drop:
            if (!f.network_.empty()) {
                auto const index = a_ % f.network_.size();
                auto const m = f.network_[index];
                if (action_ != action::duplicate) {
                    f.network_.erase(f.network_.begin() + static_cast<std::ptrdiff_t>(index));
                }
                if (action_ != action::drop) {
                    deliver(f, m);
                }
            }
            return;
        case action::use_all:
            // Uses every available token, so that the smallest excess over the bound is detected.
            for (auto& each : f.daemons_) {
                if (!each.alive_) {
                    continue;
                }
                for (auto& left : each.reservations_) {
                    produce_tokens(f, each, left);
                }
                each.reservations_.clear();
                refill(each.bucket_, f.now_);
                auto const tokens = each.bucket_.tokens_ / 1'000;
                if (tokens > 0 && reserve(each.bucket_, tokens, f.now_)) {
                    produce_tokens(f, each, tokens);
                }
            }
            return;
        case action::remove_member:
            d.removed_ = d.removed_ || !d.alive_;
            advance_share_version(f);
            return;
        case action::restart:
            d.alive_ = false;
            d.removed_ = true;
            join(f, d.id_.vm_);
            return;
        case action::publish_limits: {
            auto const rate = static_cast<std::int64_t>(a_) + 1;
            f.log_.push_back({log_event::kind::limits, 0, {}, rate, n_});
            f.limits_settled_ = false;
            return;
        }
        default:
            break;
        }
        if (!d.alive_) {
            return;
        }
        switch (action_) {
        case action::reserve: {
            refill(d.bucket_, f.now_);
            auto const tokens = std::min(n_ / 4 + 1, std::max<std::int64_t>(d.bucket_.tokens_ / 1'000, 1));
            if (reserve(d.bucket_, tokens, f.now_)) {
                d.reservations_.push_back(tokens);
            }
            break;
        }
        case action::produce:
            if (!d.reservations_.empty()) {
                auto& left = d.reservations_[b_ % d.reservations_.size()];
                auto const tokens = std::min(left, n_);
                left -= tokens;
                produce_tokens(f, d, tokens);
            }
            break;
        case action::release:
            if (!d.reservations_.empty()) {
                auto const at =
                    d.reservations_.begin() + static_cast<std::ptrdiff_t>(b_ % d.reservations_.size());
                release(d.bucket_, *at, f.now_);
                d.reservations_.erase(at);
            }
            break;
        case action::borrow: {
            refill(d.bucket_, f.now_);
            if (peer.id_ != d.id_) {
                f.network_.push_back({message::kind::borrow,
                                      d.id_,
                                      peer.id_,
                                      d.bucket_.version_,
                                      units_missing(d.bucket_, n_),
                                      {},
                                      {}});
            }
            break;
        }
        case action::return_loan:
            f.network_.push_back({message::kind::return_loan,
                                  d.id_,
                                  peer.id_,
                                  0,
                                  0,
                                  {},
                                  return_loan(d.bucket_, peer.id_, f.now_)});
            break;
        case action::read:
            read_log(f, d, 1);
            break;
        case action::read_all:
            read_log(f, d, f.log_.size());
            break;
        case action::ack:
            refill(d.bucket_, f.now_);
            if (f.is_pending_ && d.prepared_version_ == f.version_ && is_within_capacity(d.bucket_) &&
                !d.removed_) {
                f.acks_.insert(d.id_);
                advance_share_version(f);
            }
            break;
        case action::kill:
            d.alive_ = false;
            break;
        default:
            break;
        }
    }
};

fleet make_fleet(int size)
{
    fleet f;
    f.log_.push_back({log_event::kind::limits, 0, {}, 200, 1'500});
    for (int i = 0; i < size; ++i) {
        daemon d;
        d.id_ = {"entry-" + std::to_string(i), f.next_incarnation_++};
        f.daemons_.push_back(std::move(d));
    }
    f.in_force_ = current_members(f);
    f.log_.push_back({log_event::kind::in_force, ++f.version_, f.in_force_, 0, 0});
    for (auto& d : f.daemons_) {
        read_log(f, d, 2);
    }
    advance_time(f, 10'000);
    f.leaky_buckets_.push_back({0, 0});
    return f;
}

} // namespace

// Guards against tokens above rate and burst under any interleaving of loans, lost, repeated and reordered
// messages, restarts, pending share versions and changed limits.
TEST_CASE("rate and burst hold over all daemons in any interval", "[rate_share][promise-7]")
{
    auto const size = GENERATE(2, 3, 9);
    CHECK(rc::check("tokens stay below burst and rate, units below the whole", [size] {
        fleet_model const model;
        auto f = make_fleet(size);
        auto const commands = *rc::gen::resize(
            300, rc::state::gen::commands(model, rc::state::gen::execOneOfWithArgs<fleet_step>()));
        rc::state::runAll(commands, model, f);
    }));
}

// Guards against a fleet that stays within the limit only because it lends nothing: with no message lost, one
// daemon alone must be able to use almost the whole burst.
TEST_CASE("one daemon can borrow almost the whole burst", "[rate_share]")
{
    auto const size = GENERATE(2, 3, 9);
    auto f = make_fleet(size);
    std::int64_t reserved = 0;
    auto& busy = f.daemons_.front();
    for (int round = 0; round < 300; ++round) {
        if (!reserve(busy.bucket_, 10, f.now_)) {
            for (std::size_t i = 1; i < f.daemons_.size(); ++i) {
                auto& lender = f.daemons_[i];
                auto const units = units_missing(busy.bucket_, 10);
                receive_loan(busy.bucket_, lender.id_,
                             lend(lender.bucket_, busy.id_, busy.bucket_.version_, units, f.now_), f.now_);
            }
            if (!reserve(busy.bucket_, 10, f.now_)) {
                continue;
            }
        }
        reserved += 10;
    }
    CHECK(reserved >= 1'400);
    CHECK(reserved <= 1'500);
}
