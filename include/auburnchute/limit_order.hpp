#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/shared_bucket.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace auburnchute {

/// \brief Classes of a workspace's requests, in the order in which they get units: small requests, then by
/// urgency; less urgent ones than the last count as the last.
inline constexpr std::size_t limit_classes = 11;

/// \brief What a VM was asked for by requests of one class, and refused; units, decayed exponentially.
struct class_demand {
    double asked_{};
    double refused_{};
};

/// \brief A VM's sample of what a workspace asks for, by class.
struct limit_order {
    std::array<class_demand, limit_classes> classes_{};
    double requests_{};   ///< Decayed as the units are.
    double recent_{};     ///< Units asked, decayed with `demand_time_constant`.
    double peers_peak_{}; ///< Largest demand at peers, units a second; decays with `limit_sample_time`.
    millis cut_off_at_{}; ///< When this VM last did not hear of most of its peers' use; 0: never.
    millis updated_at_{};
    millis since_{}; ///< When the first request was noted; 0: none was.
};

/// \brief Time constant of the sample; a VM that gets two requests a second knows some twenty.
inline constexpr millis limit_sample_time{10'000};

/// \brief Notes a request. \param units At least 0. \param urgency 0 comes first. \returns Its class.
/// Thread safety of all functions that change an order: the caller synchronizes.
std::size_t note_asked(limit_order& order, double units, std::int64_t urgency, millis now) noexcept;

/// \brief What may be given out until the peers' next messages.
struct limit_room {
    double delay_s_{};       ///< Until the peers' next messages.
    double available_{};     ///< Units at hand until then.
    double expected_{};      ///< Units that will be asked for until then.
    double rate_{};          ///< Units a second that this VM and the peers that it hears may spend.
    double demand_{};        ///< Units a second that they are asked for.
    double reserve_s_{};     ///< Seconds for which classes are kept what they ask for, from those behind.
    double most_reserved_{}; ///< Units that may be kept for classes that come first.
};

/// \brief The part of a class that is let through, and the units that it leaves to those before it.
struct class_part {
    double fraction_{1.0};
    double reserved_{}; ///< Beyond its guaranteed part.
    double kept_{};     ///< In any case, until the peers' next messages.
};

/// \returns The parts of all classes: the room is given out from the first class on, while each keeps a
/// guaranteed part of its proportional share. Summed over the classes' demand they are what the room holds.
/// Thread safety: pure.
[[nodiscard]] std::array<class_part, limit_classes> parts_of(limit_order const& order,
                                                             limit_room const& room) noexcept;

/// \brief What became of a request.
struct limit_verdict {
    bool admitted_{};
    bool ordered_{}; ///< The workspace asks for more than its rate, so that classes were told apart.
    std::size_t class_{};
    class_part part_;
    double demand_{};      ///< Of the workspace, in units a second, as far as it is known.
    millis retry_after_{}; ///< If it was refused: when its class is expected to find room.
};

/// \brief As `try_spend`, but a workspace that asks for more than its rate is served by class. The draw also
/// spreads the times at which refused callers return. \param urgency As in `note_asked`.
[[nodiscard]] limit_verdict spend_in_order(limit_order& order, shared_bucket& bucket,
                                           bucket_request const& request, std::int64_t urgency,
                                           millis now) noexcept;

} // namespace auburnchute
