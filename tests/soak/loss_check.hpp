#pragma once

#include "soak/caller_connection.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute::tests {

/// \brief How an upstream's work on a request ended.
enum class run_end : std::uint8_t {
    answered,  ///< It sent its whole answer.
    broke_off, ///< It lost its answer, as the soak told it.
    was_left,  ///< The daemon closed the connection before that.
};

/// \brief Requests that ended without a whole answer, checked against what may excuse that (rule LOST).
///
/// Planned work (stops, reloads, changes of the configuration) excuses nothing. All records come from
/// callers, upstreams and the driver of the faults; they are weighed at the end, when all of them are known.
///
/// Thread safety: all members may be called from any thread.
class loss_check {
public:
    /// Name of the store as the target of a fault; it excuses no loss.
    static constexpr char const* store = "store";
    /// A fault excuses what is sent up to this long after its end; the platform's sheets say 3 s.
    static constexpr std::chrono::milliseconds contact{3'000};
    /// A connection that crosses the daemon's close ends within this time.
    static constexpr std::chrono::milliseconds loss_slack{200};
    /// Time for the connection to end after a refusal that says so.
    static constexpr std::chrono::milliseconds close_limit{1'000};
    /// Callers, upstreams and daemons read clocks of milliseconds.
    static constexpr std::chrono::milliseconds clock_step{2};

    /// \param grace Time from SIGTERM to SIGKILL.
    explicit loss_check(std::chrono::milliseconds grace) : grace_{grace} {}

    [[nodiscard]] std::chrono::milliseconds grace() const noexcept { return grace_; }

    /// \brief Work that the operator planned begins at the VM; at all of them if it is empty.
    void note_planned(std::string const& vm, std::string const& what)
    {
        std::scoped_lock const lock{mutex_};
        planned_.push_back({vm, what, soak_clock::now()});
    }

    /// \brief A fault begins at a VM, its links (address) or an upstream (id). Called before it acts.
    void begin_fault(std::string const& target)
    {
        std::scoped_lock const lock{mutex_};
        faults_.push_back({target, soak_clock::now(), {}});
    }

    /// \brief The oldest fault there that is under way has ended. Called after it has ceased to act.
    void end_fault(std::string const& target)
    {
        std::scoped_lock const lock{mutex_};
        for (auto& fault : faults_) {
            if (fault.target_ == target && !fault.end_) {
                fault.end_ = soak_clock::now();
                return;
            }
        }
    }

    /// \returns Whether the target has had no fault from `contact` before the moment until now.
    [[nodiscard]] bool is_calm(std::string const& target, soak_clock::time_point since) const
    {
        std::scoped_lock const lock{mutex_};
        return !has_fault(target, since - contact, soak_clock::now());
    }

    void note_run(std::string const& id, std::string const& upstream)
    {
        std::scoped_lock const lock{mutex_};
        runs_[id].push_back({upstream, soak_clock::now(), {}});
    }

    void note_run_ended(std::string const& id, std::string const& upstream, run_end end)
    {
        std::scoped_lock const lock{mutex_};
        for (auto& run : runs_[id]) {
            if (run.upstream_ == upstream && !run.end_) {
                run.end_ = {end, soak_clock::now()};
                return;
            }
        }
    }

    /// \brief A caller's wait is over.
    /// \param limit The least of the request's time limit and its route's timeout.
    /// \param is_last The caller had sent no further request on the connection, which a daemon answers
    /// before it closes it.
    /// \param stays_open The connection did not end after the answer.
    void note_ended(std::string const& id, std::string const& vm, std::chrono::milliseconds limit,
                    caller_answer const& answer, bool is_last, bool stays_open)
    {
        std::scoped_lock const lock{mutex_};
        bool const stopping = answer.is_whole() && answer.status_ == 503 && answer.body_ == "stopping\n";
        if (!answer.is_whole()) {
            cut_.push_back({id, vm, limit, answer});
        }
        if (!stopping) {
            return;
        }
        ++refused_;
        bool const says_close = answer.field("Connection") == "close";
        if ((is_last && !says_close) || answer.field("Retry-After").empty()) {
            failures_.push_back("STOP: " + id +
                                " was refused by a stopping daemon that says neither when to"
                                " come back nor that it closes");
        }
        if (stays_open) {
            open_.push_back({id, vm, limit, answer});
        }
    }

    /// \brief A process that was told to stop had not ended, or not by itself, when its time was over.
    /// \param was_paused The process was paused meanwhile.
    void note_end_of_grace(std::string const& vm, bool has_ended, int code, bool was_paused)
    {
        std::scoped_lock const lock{mutex_};
        ++stops_;
        if ((has_ended && code == 0) || (!has_ended && was_paused)) {
            return;
        }
        failures_.push_back(
            "STOP: " + vm +
            (has_ended ? " ended with code " + std::to_string(code) : std::string{" had not ended"}) +
            " at the end of its grace time");
    }

    /// \returns What broke a promise.
    [[nodiscard]] std::vector<std::string> finish()
    {
        std::scoped_lock const lock{mutex_};
        for (auto const& cut : cut_) {
            auto const excuse = excuse_of(cut);
            if (excuse.empty()) {
                failures_.push_back("LOST: " + describe(cut));
            } else {
                ++excused_[std::string{excuse}];
            }
        }
        cut_.clear();
        for (auto const& open : open_) {
            if (!has_fault(open.vm_, open.answer_.sent_at_ - contact, open.answer_.ended_at_ + close_limit)) {
                failures_.push_back("STOP: the connection stays open after the refusal of " + open.id_);
            }
        }
        open_.clear();
        return failures_;
    }

    [[nodiscard]] std::string summary() const
    {
        std::scoped_lock const lock{mutex_};
        std::ostringstream text;
        text << stops_ << " stops, " << refused_ << " refused in a stop; without a whole answer:";
        for (auto const& [excuse, count] : excused_) {
            text << ' ' << excuse << ' ' << count;
        }
        return text.str();
    }

private:
    struct planned_work {
        std::string vm_;
        std::string what_;
        soak_clock::time_point at_;
    };
    struct fault_span {
        std::string target_;
        soak_clock::time_point begin_;
        std::optional<soak_clock::time_point> end_;
    };
    struct run_record {
        std::string upstream_;
        soak_clock::time_point began_;
        std::optional<std::pair<run_end, soak_clock::time_point>> end_;
    };
    struct cut_request {
        std::string id_;
        std::string vm_;
        std::chrono::milliseconds limit_;
        caller_answer answer_;
    };

    [[nodiscard]] bool has_fault(std::string const& target, soak_clock::time_point from,
                                 soak_clock::time_point to) const
    {
        return std::any_of(faults_.begin(), faults_.end(), [&](auto const& fault) {
            return fault.target_ == target && fault.begin_ <= to && (!fault.end_ || *fault.end_ >= from);
        });
    }

    /// Whether the last upstream was still at work in the last sixth of a stop on a request that was sent
    /// early in it, or before.
    [[nodiscard]] bool outlasts_stop(cut_request const& cut, run_record const& run) const
    {
        return std::any_of(planned_.begin(), planned_.end(), [&](auto const& work) {
            return work.vm_ == cut.vm_ && work.what_ == "stop" && work.at_ <= cut.answer_.ended_at_ &&
                   cut.answer_.sent_at_ <= work.at_ + grace_ * 3 / 8 &&
                   cut.answer_.ended_at_ + clock_step >= work.at_ + grace_ * 5 / 6 &&
                   (!run.end_ || run.end_->second + clock_step >= work.at_ + grace_ * 5 / 6);
        });
    }

    /// \returns Why the request may have ended without a whole answer; empty if nothing excuses it.
    [[nodiscard]] std::string_view excuse_of(cut_request const& cut) const
    {
        auto const& answer = cut.answer_;
        auto const from = answer.sent_at_ - contact;
        if (answer.end_ == answer_end::left) {
            return "soak-ended";
        }
        if (has_fault(cut.vm_, from, answer.ended_at_)) {
            return "fault";
        }
        if (answer.ended_at_ + clock_step >= answer.sent_at_ + cut.limit_) {
            return "time-limit";
        }
        auto const found = runs_.find(cut.id_);
        if (found == runs_.end()) {
            return answer.ended_at_ <= answer.sent_at_ + loss_slack ? "crossed-close" : "";
        }
        for (auto const& run : found->second) {
            if (has_fault(run.upstream_, from, answer.ended_at_)) {
                return "fault";
            }
        }
        auto const& last = found->second.back();
        if (last.end_ && last.end_->first == run_end::broke_off) {
            return "broke-off";
        }
        return outlasts_stop(cut, last) ? "outlasts-stop" : "";
    }

    [[nodiscard]] std::string describe(cut_request const& cut) const
    {
        auto const& answer = cut.answer_;
        auto const since = [&](soak_clock::time_point then) {
            return std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(answer.ended_at_ - then).count());
        };
        std::ostringstream text;
        text << cut.id_ << " at " << cut.vm_
             << (answer.end_ == answer_end::reset ? " was reset " : " ended without an answer ")
             << since(answer.sent_at_) << " ms after it was sent (limit " << cut.limit_.count()
             << "), status " << answer.status_ << ", " << answer.body_.size() << " bytes;";
        if (auto const found = runs_.find(cut.id_); found != runs_.end()) {
            for (auto const& run : found->second) {
                text << " ran at " << run.upstream_ << ' ' << since(run.began_) << " ms before";
                if (run.end_) {
                    text << (run.end_->first == run_end::answered ? ", answered " : ", left ")
                         << since(run.end_->second) << " ms before";
                }
            }
        } else {
            text << " did not run";
        }
        for (auto const& work : planned_) {
            bool const near = (work.vm_.empty() || work.vm_ == cut.vm_) && work.at_ <= answer.ended_at_ &&
                              answer.ended_at_ <=
                                  work.at_ + (work.vm_.empty() ? contact : grace_ + std::chrono::seconds{1});
            if (near) {
                text << "; " << work.what_ << ' ' << since(work.at_) << " ms before";
            }
        }
        return text.str();
    }

    std::chrono::milliseconds const grace_;
    mutable std::mutex mutex_;
    std::vector<planned_work> planned_;
    std::vector<fault_span> faults_;
    std::map<std::string, std::vector<run_record>> runs_;
    std::vector<cut_request> cut_;
    std::vector<cut_request> open_; ///< Refused by a stopping daemon, and the connection did not end.
    std::map<std::string, std::int64_t> excused_;
    std::int64_t stops_{};
    std::int64_t refused_{};
    std::vector<std::string> failures_;
};

} // namespace auburnchute::tests
