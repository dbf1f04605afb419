#include <auburnchute/rendezvous.hpp>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace auburnchute;

namespace {

std::vector<member_id> make_members(int count)
{
    std::vector<member_id> members;
    for (int i = 0; i < count; ++i) {
        members.push_back({"entry-" + std::to_string(i), static_cast<std::uint64_t>(i) * 7 + 1});
    }
    return members;
}

} // namespace

// Guards against daemons that choose different owners because they list the members in different orders.
TEST_CASE("preferred members do not depend on the order of the list", "[rendezvous]")
{
    auto const count = GENERATE(0, 1, 2, 9, 50);
    auto members = make_members(count);
    auto const chosen = preferred_members("pool-a", members, 9);
    std::reverse(members.begin(), members.end());
    CHECK(preferred_members("pool-a", members, 9) == chosen);
    CHECK(chosen.size() == static_cast<std::size_t>(std::min(count, 9)));
    CHECK(std::all_of(chosen.begin(), chosen.end(), [&](member_id const& id) {
        return std::count(chosen.begin(), chosen.end(), id) == 1 &&
               std::count(members.begin(), members.end(), id) == 1;
    }));
}

// Guards against keys that move between the remaining members when one leaves.
TEST_CASE("removing a member keeps the order of the others", "[rendezvous]")
{
    auto const members = make_members(9);
    for (int key = 0; key < 200; ++key) {
        auto const name = "key-" + std::to_string(key);
        auto const before = preferred_members(name, members, 9);
        auto fewer = members;
        std::erase(fewer, before[static_cast<std::size_t>(key) % 9]);
        auto expected = before;
        std::erase(expected, before[static_cast<std::size_t>(key) % 9]);
        CHECK(preferred_members(name, fewer, 9) == expected);
    }
}

// Guards against keys that move to other members when a daemon restarts.
TEST_CASE("a new incarnation keeps the VM's rank", "[rendezvous]")
{
    auto members = make_members(9);
    auto const before = preferred_members("pool-a", members, 9);
    for (auto& member : members) {
        member.incarnation_ += 1'000;
    }
    auto const after = preferred_members("pool-a", members, 9);
    for (std::size_t i = 0; i < before.size(); ++i) {
        CHECK(before[i].vm_ == after[i].vm_);
    }
}

// Guards against a hash that assigns most keys to a few members.
TEST_CASE("keys are spread evenly over the members", "[rendezvous]")
{
    auto const members = make_members(9);
    std::map<member_id, int> owned;
    for (int key = 0; key < 9'000; ++key) {
        ++owned[preferred_members("upstream-" + std::to_string(key), members, 1).front()];
    }
    for (auto const& member : members) {
        CHECK(owned[member] > 850);
        CHECK(owned[member] < 1'150);
    }
}
