#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/fleet_state.hpp>
#include <auburnchute/rate_share.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Members that hold base units of a workspace.
inline constexpr std::size_t max_share_holders = 9;

/// \brief What `status` shows of a bucket.
struct share_status {
    std::string workspace_;
    std::int64_t units_{};
    std::int64_t tokens_{};
    std::int64_t outstanding_{};
};

/// \brief This daemon's token buckets, one for each workspace, and their share versions.
///
/// Thread safety: all functions may be called from any thread. A bucket's lock is held for a few arithmetic
/// steps only.
class share_book {
public:
    explicit share_book(clock clk);

    /// \brief Follows the fold: limits, pending and new share versions. Call after each folded batch and
    /// every tick. \returns The pending version if this member may acknowledge it now.
    [[nodiscard]] std::optional<std::uint64_t> follow(fleet_state const& state, member_id const& self);

    /// \brief Forgets all units and tokens, when this daemon takes a new incarnation.
    void reset();

    /// \brief Takes tokens for a request. \returns The units missing to admit it; 0 if it was admitted.
    [[nodiscard]] std::int64_t try_reserve(std::string_view workspace, std::int64_t tokens);

    /// \brief Turns reserved tokens into used ones.
    void used(std::string_view workspace, std::int64_t tokens);

    /// \brief Returns reserved tokens that were not used.
    void unused(std::string_view workspace, std::int64_t tokens);

    /// \brief Lends units to a peer. \returns The grant; none if the workspace is unknown or the versions
    /// differ.
    [[nodiscard]] std::optional<loan_grant> lend_to(member_id const& borrower, std::string_view workspace,
                                                    std::uint64_t version, std::int64_t units);

    /// \brief Takes over a peer's grant.
    void borrowed_from(member_id const& lender, std::string_view workspace, loan_grant const& grant);

    /// \brief Books a peer's return.
    void returned_by(member_id const& borrower, std::string_view workspace, loan_return const& returned);

    /// \returns The share version under which loans of the workspace are made now.
    [[nodiscard]] std::uint64_t loan_version(std::string_view workspace) const;

    /// \brief A return to send to a lender.
    struct pending_return {
        member_id lender_;
        std::string workspace_;
        loan_return returned_;
    };

    /// \brief Gives idle borrowed units back. \returns The messages to send; they may be repeated.
    [[nodiscard]] std::vector<pending_return> collect_returns();

    /// \returns Units that could be lent, by workspace.
    [[nodiscard]] std::map<std::string, std::int64_t> idle_units();

    /// \returns All buckets.
    [[nodiscard]] std::vector<share_status> status();

    /// \returns Milliseconds until a request of this size could be admitted with the units held; for
    /// `Retry-After`.
    [[nodiscard]] millis retry_after(std::string_view workspace, std::int64_t tokens);

private:
    struct entry {
        std::mutex mutex_;
        rate_bucket bucket_;
        millis last_reserve_{};
    };

    [[nodiscard]] std::shared_ptr<entry> find(std::string_view workspace) const;
    void follow_tables(fleet_state const& state);
    void begin_if_due(fleet_state const& state, member_id const& self);

    clock clock_;
    mutable std::mutex mutex_; ///< Guards the map and the versions, not the buckets.
    std::map<std::string, std::shared_ptr<entry>, std::less<>> entries_;
    std::uint64_t tables_version_{};
    std::uint64_t version_{};
    std::uint64_t acked_{};
    std::uint64_t seen_version_{};
    millis seen_at_{};
};

} // namespace auburnchute
