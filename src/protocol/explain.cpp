#include "protocol/explain.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <sstream>

namespace auburnchute {

namespace {

struct phrase {
    std::string_view step_;
    std::string_view word_;
    /// `%1` to `%9` stand for the arguments, `%1ms` for an argument shown as a time, `%*` for all arguments.
    std::string_view sentence_;
};

// The vocabulary of `decision_event`: step, word and its arguments.
constexpr std::array phrases{
    // Requests.
    phrase{"accept", "received", "The request arrived."},
    phrase{"accept", "refused", "The request was refused because it could not be read: %*."},
    phrase{"authenticate", "workspace", "The key that came with it belongs to the workspace %1."},
    phrase{"authenticate", "open", "No key was needed, because this is open to everybody."},
    phrase{"authenticate", "missing_key", "No key came with the request, so it was refused."},
    phrase{"authenticate", "unknown_key", "The key that came with it is not known here, so it was refused."},
    phrase{"authenticate", "withdrawn_key",
           "The key that came with it had been withdrawn, so it was refused."},
    phrase{"route", "matched", "The tables allow this request."},
    phrase{"route", "none",
           "No row of the tables allows this workspace to make this request, so it was refused."},
    phrase{"limit", "granted",
           "The workspace %1 was within its rate; %2 tokens were set aside for the request."},
    phrase{"limit", "borrowed",
           "The share of this VM was used up, so it borrowed %2 tokens of the workspace %1 from other VMs."},
    phrase{"limit", "refused",
           "The workspace %1 had used up its rate on all VMs together, so the request was refused. It could "
           "be sent "
           "again after %2ms."},
    phrase{"wait", "cold", "The model %1 was not loaded anywhere, so a load was asked for."},
    phrase{"wait", "queued",
           "All places were taken, so the request waited in the queue of the pool %1 behind %2 "
           "others."},
    phrase{"wait", "served", "It waited %1ms."},
    phrase{
        "wait", "estimate",
        "It could not have started in time: the expected wait was %1ms, and at most %2ms are allowed. It was "
        "refused at once."},
    phrase{"wait", "deadline", "It had not started after %1ms, the longest time allowed, so it was refused."},
    phrase{"pick", "replica", "It was given to the copy %1 of the model on the upstream %2."},
    phrase{"pick", "service", "It was given to the service on the upstream %1."},
    phrase{"pick", "isolated",
           "An earlier run of the same request may have crashed an upstream, so it ran apart from other "
           "suspects."},
    phrase{"pick", "quarantined",
           "The same request has crashed an upstream before while it ran apart from others. It is blocked, "
           "so that it "
           "crashes no other, and was refused."},
    phrase{"connect", "failed", "The upstream %1 could not be reached; the request had not been sent."},
    phrase{"connect", "retried", "It was tried again on the upstream %1."},
    phrase{"relay", "started", "The answer began after %1ms."},
    phrase{"relay", "streamed", "The answer was passed on while it was written, %1 tokens in all."},
    phrase{"relay", "answered", "The upstream answered with status %1, and the answer was passed on."},
    phrase{"relay", "cut", "The connection to the upstream %1 broke after %2 tokens."},
    phrase{"relay", "resumed", "The upstream %1 continued the answer where it had stopped."},
    phrase{"relay", "crossed", "The upstream %1 sent the answer to a different request; it was discarded."},
    phrase{"relay", "other_version",
           "The upstream %1 runs another software version than the one that began the answer; nothing of its "
           "answer was used."},
    phrase{"wait", "no_version",
           "No upstream was left that can continue the answer with the software version that began it."},
    phrase{"relay", "caller_left", "The caller closed the connection before the answer was complete."},
    phrase{"relay", "key_withdrawn",
           "The key was withdrawn while the answer was under way, so the answer was stopped."},
    phrase{"claim", "accepted",
           "The order may run only once. Its run was written to the log before the service was called."},
    phrase{"claim", "replayed",
           "The same order had been run before. It was not run again; the stored answer of the first run was "
           "given."},
    phrase{"claim", "in_progress", "The same order was still running, so it was not run a second time."},
    phrase{"claim", "other_body",
           "The same order number had been used with a different content, so it was refused."},
    phrase{"claim", "unknown",
           "The VM that ran this order first ended before it wrote down the outcome. It is not known whether "
           "the order "
           "ran, and it will not be run again."},
    phrase{"claim", "log_down",
           "The log service could not be reached. An order that may run only once must be written there "
           "first, so it "
           "was refused."},
    phrase{"authority", "lapsed",
           "This VM could not confirm that its configuration is still in force, so it refused the request."},
    phrase{"settle", "returned", "%1 unused tokens were given back to the workspace."},
    phrase{"settle", "outcome_kept", "The outcome was written to the log, so a repeat gets the same answer."},
    // Loads.
    phrase{"demand", "waiting", "%1 requests waited for the model %2, the oldest for %3ms."},
    phrase{"demand", "minimum", "Fewer copies of the model %1 were loaded than the row asks for."},
    phrase{
        "place", "decided",
        "The model %1 was to be loaded on the upstream %2 from the %3; %4 MB of memory were reserved there."},
    phrase{"place", "no_memory",
           "No upstream had %2 MB of memory free for the model %1, so it was not loaded."},
    phrase{"place", "maximum",
           "As many copies of the model %1 were loaded as the row allows, %2, so no other was."},
    phrase{"place", "no_zone",
           "No upstream in the required availability zones had room for the model %1, so it was not loaded."},
    phrase{"place", "transfers",
           "As many models were being loaded from the weight store as it can serve, %1, so the "
           "load had to wait."},
    phrase{"place", "log_down",
           "The log service could not be reached, and no permit for such a time was left, so "
           "the model %1 was not loaded."},
    phrase{"place", "rejected", "Another VM had decided a load first, so this one was dropped: %*."},
    phrase{"order", "sent", "The upstream %1 was told to load it."},
    phrase{"order", "loaded", "The load was complete after %1ms."},
    phrase{"order", "failed", "The load failed: %*."},
    phrase{"order", "refused", "The upstream %1 refused the load."},
    // Unloads.
    phrase{"unload", "idle",
           "The copy of the model %1 had not been used for %2ms, longer than the row keeps it, so it was to "
           "be unloaded."},
    phrase{"unload", "memory",
           "The model %2 was waited for and needed the memory, and the copy of the model %1 was not in use, "
           "so it was "
           "to be unloaded."},
    phrase{"unload", "drained", "The upstream %1 was to be emptied, so the copy was to be unloaded."},
    phrase{"unload", "sent", "The upstream %1 was told to unload it."},
    phrase{"unload", "released", "The memory was free again, %1 MB."},
};

struct ending {
    std::string_view kind_;
    std::string_view outcome_;
    std::string_view sentence_;
};

constexpr std::array endings{
    ending{"request", "served", "In the end the request was answered in full."},
    ending{"request", "refused", "In the end the request was refused and did not run."},
    ending{"request", "failed", "In the end the request failed after it had begun to run."},
    ending{"request", "unknown", "In the end it is not known whether the request ran."},
    ending{"load", "loaded", "In the end the model was ready for requests."},
    ending{"load", "failed", "In the end the model was not loaded."},
    ending{"load", "refused", "In the end nothing was loaded."},
    ending{"unload", "unloaded", "In the end the copy was gone and its memory free."},
    ending{"unload", "pending", "The upstream has not confirmed this yet, so the memory stays reserved."},
};

std::vector<std::string> split(std::string_view text)
{
    std::istringstream in{std::string{text}};
    std::vector<std::string> words;
    for (std::string word; in >> word;) {
        words.push_back(word);
    }
    return words;
}

std::string show_time(std::int64_t time)
{
    if (time < 1'000) {
        return std::to_string(time) + " milliseconds";
    }
    if (time >= 120'000) {
        return std::to_string((time + 30'000) / 60'000) + " minutes";
    }
    auto const tenths = (time + 50) / 100;
    auto text = std::to_string(tenths / 10);
    if (tenths % 10 != 0) {
        text += "." + std::to_string(tenths % 10);
    }
    return text + (text == "1" ? " second" : " seconds");
}

std::string show_argument(std::string const& argument, bool is_time)
{
    bool const digits = !argument.empty() && argument.size() < 16 &&
                        argument.find_first_not_of("0123456789") == std::string::npos;
    if (is_time && digits) {
        return show_time(std::stoll(argument));
    }
    // Names of sources in the records, in everyday words.
    if (argument == "store") {
        return "weight store";
    }
    if (argument == "disk_cache") {
        return "disk cache of the VM";
    }
    if (argument == "memory_cache") {
        return "memory cache of the VM";
    }
    return argument;
}

/// \returns The arguments as one text, without the word before them.
std::string rest_after(std::string_view what, std::string_view word)
{
    auto rest = what.substr(std::min(what.size(), what.find(word) + word.size()));
    while (rest.starts_with(' ')) {
        rest.remove_prefix(1);
    }
    while (rest.ends_with('.') || rest.ends_with(' ')) {
        rest.remove_suffix(1);
    }
    return rest.empty() ? "no reason was recorded" : std::string{rest};
}

std::string fill(std::string_view sentence, std::vector<std::string> const& words, std::string_view what)
{
    std::string text;
    for (std::size_t i = 0; i < sentence.size(); ++i) {
        if (sentence[i] != '%') {
            text += sentence[i];
            continue;
        }
        auto const next = sentence[++i];
        if (next == '*') {
            text += rest_after(what, words.front());
            continue;
        }
        bool const is_time = sentence.substr(i + 1).starts_with("ms");
        auto const index = static_cast<std::size_t>(next - '0');
        text += index < words.size() ? show_argument(words[index], is_time) : "(not recorded)";
        i += is_time ? 2 : 0;
    }
    return text;
}

/// \returns `routes/build-review@3` in words, or the text itself if it is of another form.
std::string show_row(std::string_view row)
{
    auto const slash = row.find('/');
    auto const at = row.rfind('@');
    if (slash == std::string_view::npos || at == std::string_view::npos || at < slash) {
        return "row " + std::string{row};
    }
    std::string text{"row \""};
    text.append(row.substr(slash + 1, at - slash - 1)).append("\" of the table ");
    return text.append(row.substr(0, slash)).append(", version ").append(row.substr(at + 1));
}

/// \param named The row that was named last; a row is named again only when it changes.
std::string show_event(decision_event const& event, std::string& named)
{
    auto const words = split(event.what_);
    std::string sentence;
    if (!words.empty()) {
        auto const known = std::find_if(phrases.begin(), phrases.end(), [&](phrase const& one) {
            return one.step_ == event.step_ && one.word_ == words.front();
        });
        if (known != phrases.end()) {
            sentence = fill(known->sentence_, words, event.what_);
        }
    }
    if (sentence.empty()) {
        sentence =
            "At the step " + event.step_ + ": " + (event.what_.empty() ? "no detail" : event.what_) + ".";
    }
    if (!event.row_.empty() && event.row_ != named) {
        named = event.row_;
        sentence += " This was decided by the " + show_row(event.row_) + ".";
    }
    return sentence;
}

std::string show_ending(decision_trail const& trail)
{
    auto const known = std::find_if(endings.begin(), endings.end(), [&](ending const& one) {
        return one.kind_ == trail.kind_ && one.outcome_ == trail.outcome_;
    });
    std::string sentence{known == endings.end() ? "Outcome: " + trail.outcome_ + "."
                                                : std::string{known->sentence_}};
    if (trail.events_.size() > 1) {
        auto const time = trail.events_.back().at_ - trail.events_.front().at_;
        if (time.count_ > 0) {
            sentence += " All this took " + show_time(time.count_) + ".";
        }
    }
    return sentence;
}

} // namespace

std::vector<std::string> explain(decision_trail const& trail)
{
    std::vector<std::string> sentences;
    auto first = "This is about the " + trail.kind_ + " " + trail.id_ + ".";
    if (!trail.row_.empty()) {
        first += " It falls under the " + show_row(trail.row_) + ".";
    }
    sentences.push_back(std::move(first));
    auto named = trail.row_;
    for (auto const& event : trail.events_) {
        sentences.push_back(show_event(event, named));
    }
    sentences.push_back(show_ending(trail));
    return sentences;
}

trail_store::trail_store(std::size_t capacity) : capacity_{capacity} {}

void trail_store::put(decision_trail trail)
{
    std::lock_guard const lock{mutex_};
    if (trails_.size() >= capacity_) {
        trails_.pop_front();
    }
    trails_.push_back(std::move(trail));
}

std::optional<decision_trail> trail_store::find(std::string_view id) const
{
    std::lock_guard const lock{mutex_};
    auto const it = std::find_if(trails_.rbegin(), trails_.rend(),
                                 [id](decision_trail const& one) { return one.id_ == id; });
    return it == trails_.rend() ? std::nullopt : std::optional{*it};
}

} // namespace auburnchute
