#pragma once

#include "soak/loss_check.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

namespace auburnchute::tests {

/// \brief What may be repeated of a request, as its caller knows it.
enum class soak_kind : std::uint8_t { purchase, lookup, stream, resumable_stream };

/// \brief How many streams were asked for, and how many of them went on.
struct stream_share {
    std::int64_t asked_{};
    std::int64_t go_on_{};

    void add(bool goes_on)
    {
        ++asked_;
        go_on_ += goes_on ? 1 : 0;
    }
    [[nodiscard]] double share() const
    {
        return static_cast<double>(go_on_) / static_cast<double>(std::max<std::int64_t>(asked_, 1));
    }
    [[nodiscard]] std::string text() const
    {
        return std::to_string(go_on_) + " of " + std::to_string(asked_);
    }
};

/// \brief What callers and upstreams saw, checked against the promises.
///
/// Thread safety: all members may be called from any thread.
class oracle {
public:
    /// \param grace Time from SIGTERM to SIGKILL.
    explicit oracle(std::chrono::milliseconds grace) : losses_{grace} {}

    /// Limits of the workspace whose callers send too much; requests a second and at once.
    static constexpr double limited_rate = 20;
    static constexpr double limited_burst = 20;
    /// Window and allowance over which the platform's sheets check rates: 8 s, a tenth, and some seconds'
    /// worth.
    static constexpr std::chrono::seconds quota_window{8};
    static constexpr double quota_excess = 0.1;
    static constexpr double quota_slack_s = 3.0;
    /// Time after which a withdrawn key works nowhere, as the daemons' settings say.
    static constexpr std::chrono::milliseconds key_withdrawal{5'000};
    /// Least time between orders of two holders, as the daemons' settings say.
    static constexpr std::chrono::milliseconds order_lease{3'000};

    /// Time after which a VM sends nothing more to an upstream that told it that it leaves.
    static constexpr std::chrono::milliseconds leave_in_force{2'000};

    /// \param vm Address of the VM that it is sent to.
    void note_sent(std::string const& id, soak_kind kind, std::string const& key, std::string const& vm)
    {
        std::scoped_lock const lock{mutex_};
        requests_[id] = {kind, key, vm, soak_clock::now()};
    }

    /// \brief A VM starts, or is frozen or goes on: it may not know what it was told before.
    void note_interrupted(std::string const& vm)
    {
        std::scoped_lock const lock{mutex_};
        interrupted_[vm] = soak_clock::now();
        std::erase_if(leaves_passed_on_, [&](auto const& passed) { return passed.first.first == vm; });
    }

    /// \brief A caller got an answer from a VM in which an upstream's process says that it leaves.
    void note_leave_passed_on(std::string const& vm, std::string const& process)
    {
        std::scoped_lock const lock{mutex_};
        auto const now = soak_clock::now();
        if (now - interrupted_[vm] > leave_in_force) { // else the answer may come from the process before
            leaves_passed_on_.try_emplace({vm, process}, now);
        }
    }

    /// \brief An upstream begins to run a request. \param first The first event that it makes.
    /// \param process The upstream's process.
    void note_run(std::string const& id, std::string const& workspace, int first, std::string const& process)
    {
        std::scoped_lock const lock{mutex_};
        auto const found = requests_.find(id);
        if (found == requests_.end()) {
            fail("UNASKED: an upstream ran a request that nobody sent: " + id);
            return;
        }
        auto& request = found->second;
        ++request.runs_;
        if (runs_once(request) && request.runs_ > 1) {
            fail("TWICE: " + id + " ran more than once");
        }
        if (request.refused_ && runs_once(request)) {
            fail("REFUSED: " + id + " ran after its caller was told that it had not");
        }
        if (request.kind_ != soak_kind::resumable_stream && first != 1) {
            fail("ORDER: " + id + " was resumed, although its route does not allow that");
        }
        auto const left = leaves_passed_on_.find({request.vm_, process});
        if (left != leaves_passed_on_.end() && request.sent_at_ > left->second + leave_in_force) {
            fail("DRAIN: " + id + " reached " + process + ", which had told its VM that it leaves " +
                 since(left->second) + " before");
        }
        auto const revoked = revoked_.find(request.key_);
        if (revoked != revoked_.end() && request.sent_at_ > revoked->second + key_withdrawal) {
            fail("CONFIG: " + id + " ran with a key that was withdrawn " + since(revoked->second) +
                 " before");
        }
        if (workspace != workspace_of(request.key_)) {
            fail("UNASKED: " + id + " ran for workspace '" + workspace + "'");
        }
        if (workspace == "limited") {
            limited_runs_.push_back({request.sent_at_, soak_clock::now()});
        }
    }

    void note_status(std::string const& id, int status)
    {
        std::scoped_lock const lock{mutex_};
        auto& request = requests_[id];
        ++statuses_[status];
        request.refused_ = status == 503 || status == 429 || status == 408 || status == 421;
        if (request.refused_ && request.runs_ > 0 && runs_once(request)) {
            fail("REFUSED: " + id + " had run, and its caller got " + std::to_string(status));
        }
    }

    /// \brief A new stream, or one that is taken up again, was asked for.
    /// \param refusal What the answer says instead of status 200; empty: it goes on.
    /// \param is_due Its VM and the store were in touch, and two servers of a taken-up stream's version
    /// served.
    void note_stream(bool taken_up, std::string const& refusal, bool is_due)
    {
        std::scoped_lock const lock{mutex_};
        bool const goes_on = refusal.empty();
        if (taken_up && is_due && !goes_on) {
            ++refusals_[refusal];
        }
        auto& shares = taken_up ? take_ups_ : new_streams_;
        shares.first.add(goes_on);
        if (is_due) {
            shares.second.add(goes_on);
        }
    }

    void note_revoked(std::string const& key)
    {
        std::scoped_lock const lock{mutex_};
        revoked_.emplace(key, soak_clock::now());
    }

    /// \brief An upstream got an order.
    void note_order(std::string const& upstream, std::string const& holder, std::uint64_t fence)
    {
        std::scoped_lock const lock{mutex_};
        auto const now = soak_clock::now();
        auto const found = orders_.find(upstream);
        if (found != orders_.end()) {
            auto const& last = found->second;
            if (last.holder_ != holder && now - last.at_ < order_lease) {
                fail("ONE: " + upstream + " got orders of " + last.holder_ + " and " + holder + " within " +
                     since(last.at_));
            }
            if (fence < last.fence_ || (last.holder_ != holder && fence == last.fence_)) {
                fail("ONE: " + upstream + " got an order with generation " + std::to_string(fence) +
                     " after " + std::to_string(last.fence_));
            }
        }
        orders_[upstream] = {holder, fence, now};
        ++order_count_;
    }

    void fail_with(std::string const& what)
    {
        std::scoped_lock const lock{mutex_};
        fail(what);
    }

    /// \brief Checks what can only be seen at the end. \returns All failures.
    [[nodiscard]] std::vector<std::string> finish()
    {
        std::scoped_lock const lock{mutex_};
        std::sort(limited_runs_.begin(), limited_runs_.end());
        auto const seconds = static_cast<double>(quota_window.count());
        auto const most =
            (limited_rate * seconds + limited_burst) * (1 + quota_excess) + limited_rate * quota_slack_s;
        for (auto begin = limited_runs_.begin(); begin != limited_runs_.end(); ++begin) {
            auto const inside = std::count_if(begin, limited_runs_.end(), [&](auto const& run) {
                return run.second <= begin->first + quota_window;
            });
            if (static_cast<double>(inside) > most) {
                fail("QUOTA: " + std::to_string(inside) + " runs in a window that allows " +
                     std::to_string(static_cast<int>(most)));
                break;
            }
        }
        auto const& due = take_ups_.second;
        if (due.asked_ >= least_take_ups && due.share() < new_streams_.second.share() / 2) {
            fail("LOST: of streams that are taken up again " + due.text() + " go on, of new ones " +
                 new_streams_.second.text() + " begin");
        }
        for (auto& lost : losses_.finish()) {
            fail(std::move(lost));
        }
        return failures_;
    }

    [[nodiscard]] std::string summary() const
    {
        std::scoped_lock const lock{mutex_};
        std::ostringstream text;
        text << requests_.size() << " requests, " << order_count_ << " orders;";
        for (auto const& [status, count] : statuses_) {
            text << ' ' << status << ':' << count;
        }
        for (auto const& [rule, count] : broken_) {
            text << "; " << rule << ' ' << count << " times";
        }
        text << "; streams begun " << new_streams_.first.text() << " (due " << new_streams_.second.text()
             << "), taken up " << take_ups_.first.text() << " (due " << take_ups_.second.text();
        for (auto const& [refusal, count] : refusals_) {
            text << ", " << refusal << ' ' << count;
        }
        text << "); " << losses_.summary();
        return text.str();
    }

    /// \returns The workspace that holds a key of the soak's configuration, which ends with its name.
    [[nodiscard]] static std::string workspace_of(std::string const& key)
    {
        return key.substr(key.rfind('-') + 1);
    }

    loss_check losses_; ///< Requests without a whole answer.

private:
    struct sent_request {
        soak_kind kind_{};
        std::string key_;
        std::string vm_;
        soak_clock::time_point sent_at_;
        int runs_{};
        bool refused_{};
    };
    struct given_order {
        std::string holder_;
        std::uint64_t fence_{};
        soak_clock::time_point at_;
    };

    static bool runs_once(sent_request const& made)
    {
        return made.kind_ == soak_kind::purchase || made.kind_ == soak_kind::stream;
    }

    static std::string since(soak_clock::time_point then)
    {
        return std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(soak_clock::now() - then).count()) +
               " ms";
    }
    void fail(std::string what)
    {
        if (++broken_[what.substr(0, what.find(':'))] <= most_failures) {
            failures_.push_back(std::move(what));
        }
    }

    static constexpr int most_failures = 20; ///< That are told of each rule.
    /// Fewer streams that are taken up prove nothing; the platform's sheets say so.
    static constexpr std::int64_t least_take_ups = 12;

    mutable std::mutex mutex_;
    std::map<std::string, sent_request> requests_;
    std::map<std::pair<std::string, std::string>, soak_clock::time_point>
        leaves_passed_on_;                                      ///< By VM and the upstream's process.
    std::map<std::string, soak_clock::time_point> interrupted_; ///< By VM.
    std::map<std::string, soak_clock::time_point> revoked_;
    std::map<std::string, given_order> orders_;
    std::map<int, std::int64_t> statuses_;
    std::vector<std::pair<soak_clock::time_point, soak_clock::time_point>> limited_runs_; ///< Sent, run.
    std::int64_t order_count_{};
    std::pair<stream_share, stream_share> new_streams_; ///< All, and those that are due.
    std::pair<stream_share, stream_share> take_ups_;
    std::map<std::string, int> refusals_; ///< Of take-ups that are due, by what the answer says.
    std::vector<std::string> failures_;
    std::map<std::string, int> broken_; ///< How often, by rule.
};

} // namespace auburnchute::tests
