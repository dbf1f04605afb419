#pragma once

#include <auburnchute/clock.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \file How the software versions of a service share its streams.
///
/// A stream may go on only at the version that began it, and no VM keeps streams. So its id decides the
/// version: the id picks one of `stream_slots` slots, and an era says which version takes the new streams of
/// each slot. The eras are in the store, and change only when versions come and go.
///
/// A VM uses a new era `fence_` after it learned of it, and takes a stream up only if its knowledge is no
/// older than that: so it knows every era in which the stream may have begun. No VM uses an era longer than
/// `begin_limit_` after it last knew that there was no newer one; so an era has ended everywhere
/// `begin_limit_` after its successor was stored. See docs/design.md.

/// \brief Number of slots; a stream's id picks one.
inline constexpr std::size_t stream_slots = 64;

/// \brief Most slots that a version gives away at once while it still serves, so that most streams can be
/// taken up at any time; twice as many if it has more than twice its share.
inline constexpr std::size_t max_moved_slots = stream_slots / 4;

/// \brief Slots by which a version may have too many or too few before they move.
inline constexpr std::size_t slot_tolerance = stream_slots / 8;

/// \brief Longest time limit of a stream's caller that counts; streams of longer ones count as over by then,
/// and while there are any, nothing follows from what callers have left.
inline constexpr millis max_time_limit{300'000};

/// \brief Most eras of a model from which slots move between versions that serve; and most of all.
inline constexpr std::size_t max_eras = 16;
inline constexpr std::size_t max_urgent_eras = 64;

/// \brief Which version takes the new streams of each slot, from its beginning to the next era's.
struct version_era {
    std::uint64_t number_{};                          ///< Revision of the plan that began it.
    std::vector<std::string> versions_;               ///< In alphabetical order.
    std::array<std::uint8_t, stream_slots> owners_{}; ///< Positions in `versions_`.
    // Not stored; boot clock.
    millis learned_at_{}; ///< When this VM learned of it.
    millis absent_at_{};  ///< When this VM last knew that it was not stored; 0: it never did.

    /// \pre `slot` < `stream_slots`.
    [[nodiscard]] std::string const& owner(std::size_t slot) const { return versions_[owners_[slot]]; }

    friend bool operator==(version_era const&, version_era const&) = default;
};

/// \brief The eras in which streams may have begun that are not over, oldest first. Not empty.
using era_list = std::vector<version_era>;

/// \brief How the versions of one service share its streams.
struct version_plan {
    std::uint64_t revision_{};
    millis longest_limit_{}; ///< No caller of a stream that began waits longer, all its attempts together.
    /// By model; the empty name stands for requests without a model, and for models that have no list.
    std::map<std::string, era_list, std::less<>> models_;

    friend bool operator==(version_plan const&, version_plan const&) = default;
};

/// \brief Plans by service.
using version_plans = std::map<std::string, version_plan, std::less<>>;

/// \brief Number of upstreams that can take new streams, by version.
using version_counts = std::map<std::string, std::int64_t, std::less<>>;

/// \brief The upstreams of a service, as far as a plan depends on them.
struct version_census {
    std::set<std::string, std::less<>> present_; ///< Versions of all upstreams, leaving ones too.
    /// By model; empty name: all upstreams that take new requests, whatever they hold.
    std::map<std::string, version_counts, std::less<>> usable_;
};

/// \brief Times by which VMs with different knowledge agree on where a stream began.
struct version_timing {
    /// From when a VM learned of an era until it uses it, and the age from which on knowledge decides on no
    /// take-up.
    millis fence_{2'000};
    millis begin_limit_{4'500}; ///< Age from which on knowledge decides on no new stream.
};

/// \returns The slot of a stream, by the id of the request that brought its first event. Thread safety: pure,
/// as all functions of this file that take constant objects.
[[nodiscard]] std::size_t slot_of(std::string_view stream_id) noexcept;

/// \returns The eras of a model's streams, or null if the plan has none.
[[nodiscard]] era_list const* eras_of(version_plan const& plan, std::string_view model) noexcept;

/// \returns The version at which a new stream begins, or none while this VM does not know whether the others
/// use its newest era yet. \pre The knowledge is younger than `begin_limit_`.
[[nodiscard]] std::optional<std::string_view> version_of_new(era_list const& eras, std::string_view stream_id,
                                                             version_timing const& timing,
                                                             millis now) noexcept;

/// \returns A time after which the caller of a stream sent its first request, by what it has left of its time
/// limit; 0: it may have been at any time. \param left None: the caller states no limit.
[[nodiscard]] millis began_after(version_plan const& plan, std::optional<millis> left,
                                 version_timing const& timing, millis now) noexcept;

/// \returns The version that began a stream, or none if that cannot be told.
/// \param stream_id None if the caller names no stream. \param after As of `began_after`.
/// \pre The knowledge is younger than `fence_`.
[[nodiscard]] std::optional<std::string_view> version_of_begun(era_list const& eras,
                                                               std::optional<std::string_view> stream_id,
                                                               millis after, version_timing const& timing,
                                                               millis now) noexcept;

/// \returns Whether a newer plan than this one may count: the service's upstreams are or were of several
/// versions. \param plan Null if there is none. \param seen Versions of upstreams since it was read.
[[nodiscard]] bool is_open(version_plan const* plan, std::set<std::string, std::less<>> const& seen);

/// \brief The plan that should follow: drops eras that are over, gives the slots of versions without usable
/// upstreams to others at once, and moves some more, from time to time, if the shares differ
/// from the numbers of upstreams. \param known The present one, with the times at which this VM learned of
/// its eras; null: there is none. \param limit Longest time limit of a stream's caller, as far as this VM
/// knows; at most `max_time_limit` counts. \returns None if nothing has to change.
[[nodiscard]] std::optional<version_plan> next_plan(version_plan const* known, version_census const& census,
                                                    version_timing const& timing, millis limit, millis now);

/// \returns The plan with a longer limit, or none if it is no longer. A stream begins only if its caller's
/// limit is in the plan.
[[nodiscard]] std::optional<version_plan> raise_limit(version_plan const& known, millis limit);

/// \brief Dates the eras of a plan that was stored or told: as before if this VM knew them, else now.
/// \param known The plan before; null if there was none. \param proof_at When that was last known to be the
/// newest one; boot clock. 0: never.
void date_eras(version_plan& plan, version_plan const* known, millis proof_at, millis now);

/// \brief Numbers a plan that follows no known one. \param revision Higher than that of any plan of the
/// service.
void number_plan(version_plan& plan, std::uint64_t revision) noexcept;

/// \returns Whether there is a list for all models, each list has eras, each of their slots a version, and
/// their numbers rise.
[[nodiscard]] bool is_valid(version_plan const& plan) noexcept;

} // namespace auburnchute
