#include <auburnchute/relay_plan.hpp>

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

using namespace auburnchute;

namespace {

struct named_fleet {
    named_fleet(int zones, int vms_in_zone)
    {
        for (int zone = 0; zone < zones; ++zone) {
            for (int i = 0; i < vms_in_zone; ++i) {
                names_.push_back("front-" + std::to_string(zone) + "-" + std::to_string(i));
                zones_.push_back("zone-" + std::to_string(zone));
            }
        }
        for (std::size_t i = 0; i < names_.size(); ++i) {
            vms_.push_back({names_[i], zones_[i], i % 4 == 0 ? 50 : 12, true});
        }
    }
    std::vector<std::string> names_;
    std::vector<std::string> zones_;
    std::vector<relay_candidate> vms_;
};

} // namespace

// Guards against a message count that grows with the square of the fleet size: in a full mesh of 62 VMs with
// an eighth of a core each, messages took two thirds of the CPU time.
TEST_CASE("the messages of a VM per round grow with the square root of the fleet size", "[relays]")
{
    struct row {
        int zones_;
        int vms_in_zone_;
        std::size_t max_messages_;
    };
    for (auto const& row :
         {row{3, 3, 8}, row{4, 3, 11}, row{4, 16, 18}, row{5, 19, 22}, row{3, 100, 40}, row{22, 55, 80}}) {
        CAPTURE(row.zones_, row.vms_in_zone_);
        named_fleet const fleet{row.zones_, row.vms_in_zone_};
        std::vector<std::size_t> sent(fleet.vms_.size(), 0);
        for (std::size_t self = 0; self < fleet.vms_.size(); ++self) {
            auto const plan = plan_relays(fleet.vms_, self);
            CHECK(plan.is_relay_ == !plan.relay_.has_value());
            if (plan.is_relay_) {
                sent[self] += plan.mesh_.size();
            } else {
                ++sent[self];
                ++sent[*plan.relay_];
                CHECK(fleet.zones_[*plan.relay_] == fleet.zones_[self]);
                CHECK(plan_relays(fleet.vms_, *plan.relay_).is_relay_);
            }
        }
        CHECK(*std::max_element(sent.begin(), sent.end()) <= row.max_messages_);
    }
}

TEST_CASE("relays are the usable VMs with the largest CPU share of each zone", "[relays]")
{
    named_fleet fleet{4, 16};
    fleet.vms_[0].usable_ = false;
    auto const plan = plan_relays(fleet.vms_, 1);
    std::set<std::string> zones;
    for (auto const relay : plan.mesh_) {
        CHECK(fleet.vms_[relay].usable_);
        CHECK(fleet.vms_[relay].strength_ == 50);
        zones.insert(fleet.zones_[relay]);
    }
    CHECK(zones.size() == 4);
}

// Guards against relays that cannot send in time: with two VMs of half a core in a zone, VMs of an eighth of
// a core relayed for ten others, which then heard nothing for 0.7 s and changed their relay, all in turn (368
// changes within 30 s on psm-frota-grown, scale-1, seed 12633884444).
TEST_CASE("VMs with a small CPU share relay only if there are too few with a large one", "[relays]")
{
    struct row {
        int zones_;
        int vms_in_zone_;
        int strong_;         ///< VMs with a large CPU share in each zone.
        int unusable_;       ///< Of these.
        std::size_t relays_; ///< Expected in each zone.
        std::size_t weak_;   ///< Of these.
    };
    for (auto const& row : {row{3, 25, 2, 0, 2, 0}, row{3, 25, 3, 0, 3, 0}, row{3, 25, 8, 0, 3, 0},
                            row{3, 25, 1, 0, 2, 1}, row{3, 25, 2, 1, 2, 1}, row{3, 25, 2, 2, 3, 3},
                            row{3, 25, 0, 0, 3, 3}, row{3, 100, 2, 0, 3, 1}, row{3, 100, 4, 0, 4, 0}}) {
        CAPTURE(row.zones_, row.vms_in_zone_, row.strong_, row.unusable_);
        named_fleet fleet{row.zones_, row.vms_in_zone_};
        std::size_t leaf = 0;
        for (std::size_t i = 0; i < fleet.vms_.size(); ++i) {
            auto const in_zone = static_cast<int>(i) % row.vms_in_zone_;
            fleet.vms_[i].strength_ = in_zone < row.strong_ ? 50 : 12;
            fleet.vms_[i].usable_ = in_zone >= row.unusable_;
        }
        while (plan_relays(fleet.vms_, leaf).is_relay_) {
            ++leaf;
        }
        std::map<std::string, std::size_t> relays;
        std::map<std::string, std::size_t> weak;
        for (auto const relay : plan_relays(fleet.vms_, leaf).mesh_) {
            ++relays[fleet.zones_[relay]];
            weak[fleet.zones_[relay]] += fleet.vms_[relay].strength_ == 12 ? 1U : 0U;
        }
        CHECK(relays.size() == static_cast<std::size_t>(row.zones_));
        for (auto const& [zone, count] : relays) {
            CAPTURE(zone);
            CHECK(count == row.relays_);
            CHECK(weak[zone] == row.weak_);
        }
    }
}

TEST_CASE("VMs of a zone without a usable VM have no relay", "[relays]")
{
    named_fleet fleet{4, 16};
    for (auto& vm : fleet.vms_) {
        vm.usable_ = false;
    }
    auto const plan = plan_relays(fleet.vms_, 3);
    CHECK_FALSE(plan.is_relay_);
    CHECK_FALSE(plan.relay_);
    CHECK(plan.mesh_.empty());
}
