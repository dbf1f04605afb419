#pragma once

#include "transport/entry/entry_node.hpp"
#include "transport/entry/own_answer.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace auburnchute {

using caller_request = boost::beast::http::request<boost::beast::http::string_body>;
using upstream_answer = boost::beast::http::response<boost::beast::http::string_body>;

/// \brief One caller's request on its way.
struct forward_job {
    request_attributes call_;
    std::shared_ptr<fleet_config const> config_; ///< The version that decides about this request.
    request_route const* route_{};
    std::string service_;
    workspace_limit const* workspace_{}; ///< Null on a route open to all.
    engine_profile const* engine_{};     ///< Null for a plain service.
    millis arrived_{};                   ///< When its first bytes came.
    millis deadline_{};
    millis first_deadline_{}; ///< Until when the caller waits for the first part of the answer.
    std::int64_t urgency_{};
    double charged_{}; ///< Units taken from the workspace's bucket.
    execution execution_{execution::not_run};
    std::vector<std::string> used_; ///< Upstreams that it was sent to.
    std::string last_event_;        ///< Id of the last event passed on to the caller.
    std::string first_event_;       ///< Id of the first event passed on to the caller in this answer.
    std::optional<std::string> begun_at_version_; ///< Software version that the first try went to, if only
                                                  ///< that one may serve the request.
    bool unnumbered_{}; ///< The caller has a part of a stream behind which no other run can go on.
    bool head_sent_{};  ///< The head of the answer has gone to the caller.
    millis first_event_at_{};
    millis sent_at_{};                  ///< Of the last try.
    millis answer_began_at_{};          ///< When the body of the last try's answer began; 0: it has not.
    bool waited_{};                     ///< It has found no room before.
    bool on_trial_{};                   ///< Tries blocked traits again, and has not been sent yet.
    std::vector<request_trait> traits_; ///< Computed when first needed; see `traits_of`.
};

/// \returns Whether the request may run more than once. Thread safety: pure.
[[nodiscard]] bool is_repeatable(forward_job const& job) noexcept;

/// \returns Until when a request may take: its caller's or its route's time limit, whichever is shorter.
/// \param arrived When its first bytes came; boot clock.
/// Thread safety: pure.
[[nodiscard]] millis deadline_of(request_route const& route, request_attributes const& call, millis arrived);

/// \brief Checks key, route and age of knowledge, by the request's head alone.
/// \returns The refusal, or none if the rest of the request is worth reading.
[[nodiscard]] std::optional<own_answer> authorize(entry_node const& node, forward_job& job, millis now);

/// \brief Checks key, route, limits and age of knowledge, and charges the workspace.
/// \returns The refusal, or none if the request may go on.
[[nodiscard]] std::optional<own_answer> admit(entry_node& node, forward_job& job,
                                              caller_request const& request);

/// \returns The refusal of a request that may not end within the planned stop. \pre The node stops.
[[nodiscard]] own_answer refuse_for_stop(entry_node const& node, millis now);

/// \brief Gives back what was charged for a request that has not run.
void refund(entry_node& node, forward_job& job);

/// \brief The upstream that should take the request now.
struct chosen_upstream {
    std::string id_;
    std::string address_;
    std::int64_t started_at_{};    ///< Of its process; see `upstream`.
    std::string software_version_; ///< See `upstream`.
    std::int64_t known_running_{};
    std::int64_t known_unread_{};  ///< Prompt tokens that it has to read before this request's.
    std::int64_t unread_tokens_{}; ///< Prompt tokens of this request that it has to read.
    double expected_ms_{};         ///< Until it begins to answer.
    double work_ms_{};             ///< See `selected_candidate`; so is the next.
    double wait_ms_{};
    std::int64_t slots_{1};
    millis target_{}; ///< Within which callers expect the answer to begin; 0: the route states none.
};

enum class choice_fault : std::uint8_t {
    no_upstream,     ///< The service has none that accepts work.
    not_loaded,      ///< No upstream holds the model or adapter.
    all_held,        ///< Those that could take it have told this VM to stay away for now.
    all_full,        ///< Those that could take it have no room, or were used already.
    version_awaited, ///< The software version for the stream is not settled, or others hold its model.
    version_gone,    ///< No upstream of the software version that began the stream can go on with it.
    version_unknown, ///< More than one software version may have begun the stream.
    version_stale,   ///< This VM's knowledge of the software versions is too old.
};

struct choice {
    std::optional<chosen_upstream> upstream_;
    choice_fault fault_{choice_fault::no_upstream}; ///< If no upstream was chosen.
    millis held_until_{};                           ///< With `all_held`: when the first may be asked again.
    bool yielded_{}; ///< With `all_full`: there is room, for which others wait that come first.
};

/// \brief Chooses the upstream of a request from the current view.
[[nodiscard]] choice choose(entry_node const& node, forward_job const& job);

/// \returns The least time until the model or adapter of the request can be loaded: what the holder of the
/// order lease has reported of a load in progress, or the fastest load that any engine could begin now.
[[nodiscard]] millis load_remaining(entry_node const& node, forward_job const& job);

/// \returns The key under which the request needs its model.
[[nodiscard]] need_key need_of(forward_job const& job);

/// \brief Books an arrival in the smoothed rates of the request's model and adapter.
void note_need(entry_node& node, forward_job const& job, millis now);

/// \returns The smoothed rate as of now. Thread safety: pure.
[[nodiscard]] double decayed_rate(own_need const& need, millis now) noexcept;

/// \returns What the request has in common with others that may crash upstreams.
[[nodiscard]] std::span<request_trait const> traits_of(forward_job& job, caller_request const& request);

/// \returns The hash of the request's workspace in crash evidence; 0 on a route open to all.
[[nodiscard]] std::uint32_t evidence_workspace(forward_job const& job) noexcept;

/// \brief Judges the request by the crash evidence. \returns The refusal, or none if it may be sent.
/// \param trials Set to the blocked traits that it tries again if it is sent.
[[nodiscard]] std::optional<own_answer> refuse_deadly(entry_node& node, forward_job& job,
                                                      caller_request const& request,
                                                      std::vector<trait_hash>& trials);

} // namespace auburnchute
