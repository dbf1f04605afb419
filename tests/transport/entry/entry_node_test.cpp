#include "transport/entry/entry_node.hpp"
#include "transport/entry/order_keeper.hpp"
#include "transport/entry/started_node.hpp"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace auburnchute;
using auburnchute::tests::started_node;

namespace {

/// Makes other VMs members, some of them live.
void know_vms(entry_node& node, int members, int live, millis now)
{
    std::vector<entry_member> all;
    for (int i = 0; i < members; ++i) {
        auto const name = "vm-" + std::to_string(i);
        all.push_back({.vm_ = name});
        if (i < live) {
            node.exchange_.known_vms_[short_hash_of(name)] = {.live_ = true, .ready_ = true, .seen_at_ = now};
        }
    }
    set_members(node.exchange_, all);
}

} // namespace

// Found on plumavera-gdl-grown, trouble-3 (QUOTA): 65 VMs were killed together, and each admitted the
// whole rate and half of the burst until it received state of the others.
TEST_CASE(
    "a VM that has just started takes its share of the rates, also before it receives state of the others",
    "[peers]")
{
    struct row {
        bool first_start_;
        millis age_;
        int members_;
        int live_;
        double expected_;
    };
    for (auto const& row : {row{false, millis{100}, 64, 0, 1.0 / 65}, row{false, millis{100}, 64, 64, 1.0},
                            row{false, millis{5'000}, 64, 0, 1.0}, row{true, millis{100}, 64, 0, 1.0},
                            row{false, millis{100}, 0, 0, 1.0}, row{false, millis{100}, 3, 1, 0.5}}) {
        CAPTURE(row.age_.count_, row.members_, row.live_);
        auto const now = boot_now();
        started_node made{row.first_start_, now - row.age_};
        auto& node = made.node_;
        know_vms(node, row.members_, row.live_, now);
        CHECK(reachable_share(node.exchange_, now) == Approx(row.expected_));
    }
}

// Found on jheelpath-rink-grown, trouble-3 (QUOTA): 88 VMs were killed together, and each began with its part
// of the whole burst, although the workspace had just used all of it.
TEST_CASE("VMs that start together have half of the burst between them", "[peers]")
{
    struct row {
        bool first_start_;
        millis age_;
        int others_;
        double expected_in_all_;
    };
    for (auto const& row :
         {row{false, millis{100}, 87, 500}, row{false, millis{100}, 7, 500}, row{false, millis{100}, 0, 500},
          row{false, millis{1'000}, 7, 500}, row{false, millis{4'500}, 7, 500},
          row{false, millis{60'000}, 7, 4'000}, row{true, millis{100}, 7, 8'000}}) {
        CAPTURE(row.age_.count_, row.others_);
        auto const now = boot_now();
        started_node made{row.first_start_, now - row.age_};
        auto& node = made.node_;
        know_vms(node, row.others_, 0, now);
        fleet_config config;
        config.version_ = 1;
        config.workspaces_.push_back(
            {.name_ = "w", .priority_ = std::nullopt, .rate_ = 100, .burst_ = 1'000});
        follow_limits(node, config, now);
        CHECK(node.workspaces_["w"].bucket_.level_ * (row.others_ + 1) == Approx(row.expected_in_all_));
    }
}

// Guards against a request that goes to an upstream which left while the connection to it was opened.
TEST_CASE("an upstream that was chosen is sent a request only if it still accepts any", "[entry][promise-11]")
{
    started_node started{true, boot_now()};
    auto& node = started.node_;
    auto const publish = [&](std::optional<upstream> entry) {
        upstream_map entries;
        if (entry) {
            entries.emplace("i-1", *entry);
        }
        entry_view view;
        view.upstreams_ = std::make_shared<upstream_map const>(std::move(entries));
        started.shared_.cell_.publish(std::make_unique<entry_view const>(std::move(view)));
    };
    upstream const chosen{.id_ = "i-1", .started_at_ = 5};
    auto leaving = chosen;
    leaving.leaving_ = true;
    auto restarted = chosen;
    restarted.started_at_ = 6;
    struct row {
        std::optional<upstream> entry_;
        answer_signals signals_;
        bool accepts_;
    };
    for (auto const& row : {row{chosen, {}, true}, row{leaving, {}, false}, row{restarted, {}, false},
                            row{std::nullopt, {}, false}, row{chosen, {false, millis{0}}, true},
                            row{chosen, {false, millis{5'000}}, false}, row{chosen, {true, {}}, false}}) {
        node.upstreams_.clear();
        publish(row.entry_);
        take_signals(node, "i-1", 5, row.signals_);
        CHECK(accepts_requests(node, "i-1", 5, boot_now()) == row.accepts_);
    }
}

namespace {

/// A node whose writes to the store are noted.
struct keeping_node {
    explicit keeping_node(std::string vm = "vm-own") : made_{true, boot_now()}
    {
        made_.settings_.vm_ = std::move(vm);
        made_.node_.keep_evidence_ = [this](trait_hash trait, std::optional<trait_record> const& record) {
            ++writes_;
            if (record) {
                store_[trait] = *record;
            } else {
                store_.erase(trait);
                ++deletions_;
            }
        };
    }

    void crash(std::uint32_t crash)
    {
        book_crash(made_.node_, {.traits_ = request_,
                                 .crash_ = crash,
                                 .workspace_ = 1,
                                 .weight_ = crash_weight::waiting,
                                 .sent_at_ = boot_now() + millis{1}}); // after the crash before
    }
    void answer() { book_answer(made_.node_, request_, 1, boot_now() + millis{1}); }

    started_node made_;
    std::vector<request_trait> request_{traits_of(std::vector<std::uint64_t>{5}, 7, 1, 256)};
    std::map<trait_hash, trait_record> store_;
    int writes_{};
    int deletions_{};
};

} // namespace

// Guards against crash evidence that is known to the VMs alone, and against a store that keeps what was
// answered.
TEST_CASE("crash evidence below the limit is in the store until it is answered", "[entry][promise-3]")
{
    keeping_node vm;
    for (std::uint32_t crash = 1; crash <= 3; ++crash) {
        vm.crash(crash);
        REQUIRE(vm.store_.contains(vm.request_.front().hash_));
        CHECK(vm.store_.at(vm.request_.front().hash_).marks_.size() == crash);
    }
    CHECK(vm.store_.size() == vm.request_.size());
    auto const writes = vm.writes_;
    vm.crash(3); // the same process, in another try
    CHECK(vm.writes_ == writes);

    SECTION("an answer here deletes it")
    {
        vm.answer();
        CHECK(vm.store_.empty());
    }
    SECTION("an answer at another VM deletes it")
    {
        keeping_node other;
        (void)take_evidence(other.made_.node_, records_after(vm.made_.node_.evidence_, 0));
        CHECK(other.writes_ == 0); // not its own requests
        other.answer();
        (void)take_evidence(vm.made_.node_, records_after(other.made_.node_.evidence_, 0));
        CHECK(vm.store_.empty());
    }
    SECTION("evidence that is out of date is deleted")
    {
        constexpr millis day{24 * 3'600'000};
        expire_evidence(vm.made_.node_, boot_now() + day);
        CHECK(vm.store_.empty());
    }
    SECTION("a VM that was started anew counts on and deletes it")
    {
        keeping_node restarted;
        restarted.store_ = vm.store_;
        std::vector<trait_record> stored;
        for (auto const& [trait, record] : vm.store_) {
            stored.push_back(record);
        }
        take_stored_evidence(restarted.made_.node_, stored);
        CHECK(restarted.writes_ == 0);
        CHECK(restarted.made_.node_.evidence_.blocked_.empty());
        restarted.crash(4);
        CHECK_FALSE(restarted.made_.node_.evidence_.blocked_.empty());
        restarted.answer();
        CHECK(restarted.store_.empty());
    }
}

// Guards against a record of a VM that is gone, which stays in the store for good, or which all VMs delete.
TEST_CASE("one of the VMs that were started anew deletes what none of them wrote", "[entry][promise-3]")
{
    constexpr int vms = 5;
    constexpr millis day{24 * 3'600'000};
    keeping_node lost;
    lost.crash(1);
    std::vector<trait_record> stored;
    for (auto const& [trait, record] : lost.store_) {
        stored.push_back(record);
    }
    int deletions = 0;
    for (int own = 0; own < vms; ++own) {
        keeping_node vm{"vm-" + std::to_string(own)};
        for (int other = 0; other < vms; ++other) {
            if (other != own) {
                vm.made_.node_.exchange_.known_vms_[short_hash_of("vm-" + std::to_string(other))] = {
                    .live_ = true};
            }
        }
        take_stored_evidence(vm.made_.node_, stored);
        expire_evidence(vm.made_.node_, boot_now() + day);
        deletions += vm.deletions_;
    }
    CHECK(deletions == static_cast<int>(stored.size()));
}

// Guards against a holder of the order lease that reads entries which the control thread frees at that
// moment: it ended by a segmentation fault, the more often the more upstreams there are.
TEST_CASE("the demand is composed while the upstreams' entries are replaced", "[entry]")
{
    constexpr int upstreams = 400; // more than the largest site has
    constexpr int versions = 2'000;
    started_node made{true, boot_now()};
    auto const entries = [](int offset) {
        auto map = std::make_shared<upstream_map>();
        for (int i = 0; i < upstreams; ++i) {
            // Too long for the string's own memory, so that a freed one is noticed.
            auto const id = "upstream-with-a-long-name-" + std::to_string(offset) + "-" + std::to_string(i);
            map->emplace(id, upstream{.id_ = id});
        }
        return map;
    };
    std::atomic<bool> ended{false};
    std::thread control{[&] {
        for (int offset = 0; offset < versions; ++offset) {
            entry_view view;
            view.upstreams_ = entries(offset);
            made.shared_.cell_.publish(std::make_unique<entry_view const>(std::move(view)));
        }
        ended = true;
    }};
    int broken = 0;
    while (!ended) {
        auto const demand = compose_demand(made.node_, boot_now());
        bool const whole = demand.running_.empty() || demand.running_.size() == upstreams;
        broken += whole ? 0 : 1;
    }
    control.join();
    CHECK(broken == 0);
}
