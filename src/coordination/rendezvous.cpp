#include <auburnchute/rendezvous.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace auburnchute {

std::vector<member_id> preferred_members(std::string_view key, std::span<member_id const> members,
                                         std::size_t limit)
{
    struct scored {
        std::uint64_t score_;
        member_id const* member_;
    };
    auto const seed = stable_hash(key);
    std::vector<scored> scores;
    scores.reserve(members.size());
    for (auto const& member : members) {
        // The incarnation is not hashed, so that the ranking does not change when a daemon restarts.
        scores.push_back({stable_hash(member.vm_, seed), &member});
    }
    auto const count = std::min(limit, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), scores.end(),
                      [](scored const& a, scored const& b) {
                          return a.score_ != b.score_ ? a.score_ > b.score_ : *a.member_ < *b.member_;
                      });
    std::vector<member_id> chosen;
    chosen.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(*scores[i].member_);
    }
    return chosen;
}

} // namespace auburnchute
