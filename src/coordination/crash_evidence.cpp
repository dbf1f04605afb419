#include <auburnchute/crash_evidence.hpp>

#include <auburnchute/ids.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <string_view>
#include <tuple>

namespace auburnchute {

namespace {

/// Sum of the weights of the marks in a row that block a trait for the workspace that collected them: two
/// crashes as the answer began, or four of requests that waited.
constexpr int blocking_weight = 4;

/// A trait is blocked for all workspaces if so many are blocked by their own marks, so that a workspace
/// cannot have the traits of others blocked.
constexpr std::size_t blocked_workspaces = 2;

/// The same if so many workspaces have marks of this weight together.
constexpr std::size_t marked_workspaces = 3;
constexpr int blocking_weight_of_all = 6;

/// Answers to so many workspaces remove the marks of all. Callers of routes open to all do not count.
constexpr std::ptrdiff_t freeing_workspaces = 2;

/// Pause before a blocked trait is tried again; doubles with each trial, or crash after the second.
constexpr millis first_trial_pause{10'000};
constexpr std::size_t most_doublings = 6;

/// Pause before a trait that was blocked according to the store is tried again after a start; peers that know
/// more have told it by then.
constexpr millis restored_trial_pause{3'000};

/// How long marks are kept without a further one; longer than the longest pause before a trial.
constexpr millis mark_retention{30 * 60'000};

/// How long a record without marks is kept, so that late messages do not bring its marks back.
constexpr millis answered_retention{30'000};

/// Most marks of one workspace in a record, more than block it, and of all workspaces.
constexpr std::ptrdiff_t max_workspace_marks = 6;
constexpr std::size_t max_marks = 24;

/// The lowest bit of a trait's hash tells whole requests from prompt parts, whose ids callers choose.
constexpr trait_hash whole_request_bit = 1;

/// Sums of weights, counting each crash once.
using crash_weights = std::map<std::uint32_t, int>;

int sum_of(crash_weights const& weights) noexcept
{
    int sum = 0;
    for (auto const& [crash, weight] : weights) {
        sum += weight;
    }
    return sum;
}

void add_weight(crash_weights& weights, crash_mark const& mark)
{
    auto& weight = weights[mark.crash_];
    weight = std::max(weight, static_cast<int>(mark.weight_));
}

crash_weights weights_of(std::vector<crash_mark> const& marks, std::set<std::uint32_t> const& explained)
{
    crash_weights weights;
    for (auto const& mark : marks) {
        if (!explained.contains(mark.crash_)) {
            add_weight(weights, mark);
        }
    }
    return weights;
}

millis trial_pause(trait_record const& record)
{
    auto const crashes = std::max<std::size_t>(weights_of(record.marks_, {}).size(), 2);
    auto const doublings = std::min(std::max<std::size_t>(crashes - 2, record.trials_), most_doublings);
    return first_trial_pause * (std::int64_t{1} << doublings);
}

/// Applies the limits to the marks that no other blocked trait explains.
void block_if_due(trait_record const& record, std::set<std::uint32_t> const& explained,
                  std::vector<blocked_trait>& blocked)
{
    std::map<std::uint32_t, crash_weights> by_workspace;
    crash_weights all;
    bool warned = false;
    for (auto const& mark : record.marks_) {
        if (!explained.contains(mark.crash_)) {
            add_weight(by_workspace[mark.workspace_], mark);
            add_weight(all, mark);
            warned = warned || mark.warned_;
        }
    }
    if (!warned) {
        return; // the crashes may have one cause that struck several upstreams at once
    }
    blocked_trait found;
    found.hash_ = record.trait_.hash_;
    found.crashes_ = all.size();
    std::size_t named = 0;
    std::size_t named_blocked = 0;
    for (auto const& [workspace, weights] : by_workspace) {
        bool const enough = sum_of(weights) >= blocking_weight;
        if (enough) {
            found.workspaces_.push_back(workspace);
        }
        named += workspace != 0 ? 1U : 0U;
        named_blocked += workspace != 0 && enough ? 1U : 0U;
    }
    found.everywhere_ = named_blocked >= blocked_workspaces ||
                        (named >= marked_workspaces && sum_of(all) >= blocking_weight_of_all);
    for (auto const& [workspace, answers] : record.answers_) {
        if (!by_workspace.contains(workspace)) {
            found.answered_.push_back(workspace);
        }
    }
    std::sort(found.answered_.begin(), found.answered_.end()); // the order of answers differs between VMs
    if (found.everywhere_ || !found.workspaces_.empty()) {
        found.retry_at_ = record.changed_at_ + trial_pause(record);
        blocked.push_back(std::move(found));
    }
}

bool holds_for(blocked_trait const& blocked, std::uint32_t workspace)
{
    auto const contains = [workspace](std::vector<std::uint32_t> const& workspaces) {
        return std::find(workspaces.begin(), workspaces.end(), workspace) != workspaces.end();
    };
    return blocked.everywhere_ ? !contains(blocked.answered_) : contains(blocked.workspaces_);
}

/// Chooses the blocked traits greedily: first the one that most crashes speak against, and of equal ones the
/// most special, which the fewest requests have. The crashes that it explains no longer speak against others.
void choose_blocked(crash_evidence& evidence)
{
    evidence.blocked_.clear();
    std::vector<trait_record const*> left;
    for (auto const& [hash, record] : evidence.records_) {
        if (!record.marks_.empty()) {
            left.push_back(&record);
        }
    }
    std::set<std::uint32_t> explained;
    while (!left.empty()) {
        auto const rank = [&](trait_record const* record) {
            return std::tuple{sum_of(weights_of(record->marks_, explained)), record->trait_.depth_,
                              record->trait_.hash_};
        };
        auto const best = std::max_element(left.begin(), left.end(),
                                           [&](auto const* a, auto const* b) { return rank(a) < rank(b); });
        auto const& record = **best;
        if (std::get<0>(rank(*best)) < blocking_weight) {
            break;
        }
        left.erase(best);
        auto const before = evidence.blocked_.size();
        block_if_due(record, explained, evidence.blocked_);
        if (evidence.blocked_.size() > before) {
            for (auto const& mark : record.marks_) {
                explained.insert(mark.crash_);
            }
        }
    }
}

void note_change(crash_evidence& evidence, trait_record& record)
{
    record.version_ = ++evidence.version_;
}

bool is_warned(trait_record const& record) noexcept
{
    return std::any_of(record.marks_.begin(), record.marks_.end(),
                       [](crash_mark const& mark) { return mark.warned_; });
}

/// Returns whether the record changed.
bool add_mark(trait_record& record, crash_mark const& mark)
{
    auto const known = std::find_if(record.marks_.begin(), record.marks_.end(), [&](crash_mark const& other) {
        return other.crash_ == mark.crash_ && other.workspace_ == mark.workspace_;
    });
    if (known == record.marks_.end()) {
        auto const of_workspace = [&](crash_mark const& other) {
            return other.workspace_ == mark.workspace_;
        };
        bool const workspace_full =
            std::count_if(record.marks_.begin(), record.marks_.end(), of_workspace) >= max_workspace_marks;
        if (record.marks_.size() < max_marks && !workspace_full) {
            record.marks_.push_back(mark);
            return true;
        }
        if (!mark.warned_ || is_warned(record)) {
            return false;
        }
        // Without a warned mark nothing is blocked, so a full record takes the first one in place of another.
        auto const replaced =
            std::find_if(record.marks_.begin(), record.marks_.end(),
                         [&](auto const& other) { return !workspace_full || of_workspace(other); });
        *replaced = mark;
        return true;
    }
    auto const weight = std::max(known->weight_, mark.weight_);
    bool const warned = known->warned_ || mark.warned_;
    bool const changed = weight != known->weight_ || warned != known->warned_;
    known->weight_ = weight;
    known->warned_ = warned;
    return changed;
}

std::uint32_t answers_to(trait_record const& record, std::uint32_t workspace) noexcept
{
    auto const found = std::find_if(record.answers_.begin(), record.answers_.end(),
                                    [&](auto const& entry) { return entry.workspace_ == workspace; });
    return found == record.answers_.end() ? 0 : found->answers_;
}

bool has_marks(trait_record const& record, std::uint32_t workspace) noexcept
{
    return std::any_of(record.marks_.begin(), record.marks_.end(),
                       [&](crash_mark const& mark) { return mark.workspace_ == workspace; });
}

/// Removes the marks that a workspace had before this many answers to it.
void set_answers(trait_record& record, std::uint32_t workspace, std::uint32_t answers)
{
    std::erase_if(record.marks_, [&](crash_mark const& mark) { return mark.workspace_ == workspace; });
    std::erase_if(record.answers_, [&](auto const& entry) { return entry.workspace_ == workspace; });
    record.answers_.push_back({workspace, answers});
}

/// Begins a new round if enough workspaces were answered. Depends on the number of answers alone, which only
/// grows within a round, so that VMs agree in whatever order they learn of them.
void end_round_if_due(trait_record& record)
{
    auto const named = std::count_if(record.answers_.begin(), record.answers_.end(),
                                     [](auto const& entry) { return entry.workspace_ != 0; });
    if (named >= freeing_workspaces) {
        record.marks_.clear();
        record.answers_.clear();
        ++record.round_;
        record.trials_ = 0;
    }
}

/// \returns The workspace that a record is charged to.
std::uint32_t owner_of(trait_record const& record) noexcept
{
    return record.marks_.empty() ? 0 : record.marks_.front().workspace_;
}

/// Drops records until the limit holds: of the workspace that has most, the one with the least evidence.
void enforce_limit(crash_evidence& evidence)
{
    while (evidence.records_.size() > max_trait_records) {
        std::map<std::uint32_t, std::size_t> counts;
        for (auto const& [hash, record] : evidence.records_) {
            ++counts[owner_of(record)];
        }
        auto const most = std::max_element(counts.begin(), counts.end(), [](auto const& a, auto const& b) {
                              return a.second < b.second;
                          })->first;
        auto const rank = [&](auto const& entry) {
            auto const& record = entry.second;
            return std::tuple{owner_of(record) != most, sum_of(weights_of(record.marks_, {})),
                              record.changed_at_, record.trait_.hash_};
        };
        evidence.records_.erase(
            std::min_element(evidence.records_.begin(), evidence.records_.end(),
                             [&](auto const& a, auto const& b) { return rank(a) < rank(b); }));
    }
}

bool merge_record(crash_evidence& evidence, trait_record const& from, millis now)
{
    auto const [found, made] = evidence.records_.try_emplace(from.trait_.hash_);
    auto& record = found->second;
    bool changed = made;
    if (made || from.round_ > record.round_) {
        bool const observed = record.observed_ && !made;
        record = from;
        record.observed_ = observed;
        record.first_marked_at_ = now;
        changed = true;
    } else if (from.round_ == record.round_) {
        if (record.marks_.empty() && !from.marks_.empty()) {
            record.first_marked_at_ = now;
        }
        for (auto const& [workspace, answers] : from.answers_) {
            if (answers > answers_to(record, workspace)) {
                set_answers(record, workspace, answers);
                changed = true;
            }
        }
        for (auto const& mark : from.marks_) {
            bool const answered = answers_to(from, mark.workspace_) < answers_to(record, mark.workspace_);
            changed = (!answered && add_mark(record, mark)) || changed;
        }
        if (from.trials_ > record.trials_) {
            record.trials_ = from.trials_;
            changed = true;
        }
        // The time alone is no change: it differs with the delay of each message.
        record.changed_at_ = std::max(record.changed_at_, from.changed_at_);
    }
    if (changed) {
        end_round_if_due(record);
        note_change(evidence, record);
    }
    return changed;
}

/// \returns Whether this VM is among those that may try the trait now.
bool has_trial_right(trait_record const& record, blocked_trait const& blocked, trial_rights const& rights,
                     millis now) noexcept
{
    auto const rounds = (now - blocked.retry_at_).count_ / std::max<std::int64_t>(1, rights.round_.count_);
    constexpr std::int64_t enough_rounds = 32;
    auto const chosen = std::uint64_t{1} << std::min(rounds, enough_rounds);
    auto const draw = stable_hash({reinterpret_cast<char const*>(&record.trait_.hash_), sizeof(trait_hash)},
                                  rights.vm_ + record.trials_);
    return draw % std::max<std::size_t>(1, rights.vms_) < chosen;
}

} // namespace

std::vector<request_trait> traits_of(std::span<std::uint64_t const> parts, std::uint64_t scope,
                                     std::uint32_t workspace, std::uint64_t request)
{
    auto const hash_of = [scope](std::uint64_t value) {
        return stable_hash({reinterpret_cast<char const*>(&value), sizeof value}, scope) & ~whole_request_bit;
    };
    std::vector<request_trait> traits{{request | whole_request_bit, whole_request_depth}};
    for (std::size_t i = 0; i < std::min(parts.size(), max_part_traits); ++i) {
        traits.push_back({hash_of(parts[i]), static_cast<std::uint8_t>(i)});
    }
    if (parts.size() > max_part_traits) {
        traits.push_back({hash_of(stable_hash("further parts", workspace)), max_part_traits});
    }
    return traits;
}

void record_crash(crash_evidence& evidence, crashed_request const& request, millis now)
{
    for (auto const& trait : request.traits_) {
        auto& record = evidence.records_[trait.hash_];
        record.trait_ = trait;
        bool const marked_before = !record.marks_.empty();
        bool const warned = marked_before && record.first_marked_at_ < request.sent_at_;
        if (!marked_before) {
            record.first_marked_at_ = now;
        }
        if (add_mark(record, {request.crash_, request.workspace_, request.weight_, warned})) {
            note_change(evidence, record);
        }
        record.changed_at_ = now;
        record.observed_ = true;
    }
    enforce_limit(evidence);
    choose_blocked(evidence);
}

void record_answer(crash_evidence& evidence, std::span<request_trait const> traits, std::uint32_t workspace,
                   millis began_at, millis now)
{
    bool changed = false;
    for (auto const& trait : traits) {
        auto const found = evidence.records_.find(trait.hash_);
        if (found == evidence.records_.end() || found->second.marks_.empty() ||
            found->second.first_marked_at_ > began_at) {
            continue;
        }
        auto& record = found->second;
        auto const answers = answers_to(record, workspace);
        if (answers > 0 && !has_marks(record, workspace)) {
            continue; // known already
        }
        set_answers(record, workspace, answers + 1);
        end_round_if_due(record);
        record.observed_ = true;
        if (record.marks_.empty()) {
            record.changed_at_ = now; // else the other workspaces' next trial would be put off
        }
        note_change(evidence, record);
        changed = true;
    }
    if (changed) {
        choose_blocked(evidence);
    }
}

bool merge_records(crash_evidence& evidence, std::span<trait_record const> records, millis now)
{
    bool changed = false;
    for (auto const& record : records) {
        changed = merge_record(evidence, record, now) || changed;
    }
    if (!records.empty()) {
        enforce_limit(evidence);
        choose_blocked(evidence);
    }
    return changed;
}

bool restore_records(crash_evidence& evidence, std::vector<trait_record> records, millis now)
{
    for (auto& record : records) {
        record.changed_at_ = now + restored_trial_pause - trial_pause(record);
    }
    return merge_records(evidence, records, now);
}

bool is_worth_keeping(trait_record const& record)
{
    constexpr std::size_t part_crashes = 2;
    auto const crashes = weights_of(record.marks_, {}).size();
    return crashes >= (record.trait_.depth_ == whole_request_depth ? 1 : part_crashes);
}

bool expire_records(crash_evidence& evidence, millis now)
{
    auto const dropped = std::erase_if(evidence.records_, [now](auto const& entry) {
        auto const& record = entry.second;
        return now - record.changed_at_ > (record.marks_.empty() ? answered_retention : mark_retention);
    });
    if (dropped > 0) {
        choose_blocked(evidence);
    }
    return dropped > 0;
}

std::vector<trait_record> records_after(crash_evidence const& evidence, std::uint64_t version)
{
    bool const same_process = version >= evidence.first_version_ && version <= evidence.version_;
    std::vector<trait_record> records;
    for (auto const& [hash, record] : evidence.records_) {
        if (!same_process || record.version_ > version) {
            records.push_back(record);
        }
    }
    return records;
}

request_verdict judge_request(crash_evidence const& evidence, std::span<request_trait const> traits,
                              std::uint32_t workspace, trial_rights const& rights, millis now)
{
    request_verdict verdict;
    for (auto const& trait : traits) {
        auto const* const blocked = find_blocked(evidence, trait.hash_);
        if (blocked == nullptr || !holds_for(*blocked, workspace)) {
            continue;
        }
        bool const due = now >= blocked->retry_at_;
        if (due && has_trial_right(evidence.records_.at(trait.hash_), *blocked, rights, now)) {
            verdict.trials_.push_back(trait.hash_);
            continue;
        }
        verdict.refused_ = true;
        verdict.refused_for_ = trait.hash_;
        verdict.retry_after_ = std::max(verdict.retry_after_, due ? rights.round_ : blocked->retry_at_ - now);
    }
    return verdict;
}

void record_trial(crash_evidence& evidence, std::span<trait_hash const> traits, millis now)
{
    for (auto const trait : traits) {
        if (auto const found = evidence.records_.find(trait); found != evidence.records_.end()) {
            ++found->second.trials_;
            found->second.changed_at_ = now;
            note_change(evidence, found->second);
        }
    }
    if (!traits.empty()) {
        choose_blocked(evidence);
    }
}

std::string trait_name(trait_hash trait)
{
    constexpr int hexadecimal = 16;
    std::array<char, sizeof(trait) * 2> digits{};
    auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), trait, hexadecimal).ptr;
    return {digits.data(), end};
}

blocked_trait const* find_blocked(crash_evidence const& evidence, trait_hash trait) noexcept
{
    auto const found = std::find_if(evidence.blocked_.begin(), evidence.blocked_.end(),
                                    [trait](blocked_trait const& entry) { return entry.hash_ == trait; });
    return found == evidence.blocked_.end() ? nullptr : &*found;
}

} // namespace auburnchute
