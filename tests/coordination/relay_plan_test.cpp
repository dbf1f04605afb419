#include <auburnchute/relay_plan.hpp>

#include <catch2/catch.hpp>
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
