#include <auburnchute/memory_budget.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace auburnchute {

memory_limits divide_memory(std::size_t process_bytes) noexcept
{
    auto const stated = process_bytes == 0 ? default_process_bytes : process_bytes;
    // Of a very small process, half: it cannot hold its own part and any request otherwise.
    auto const own = std::min(own_process_bytes, stated / 2);
    auto const shared = (stated - own) / 3 * 2;
    memory_limits limits;
    // Answers are the largest, and those of upstreams have no limit that the operator sets.
    limits.shares_ = {shared / 5, shared / 5, shared / 5 * 2, shared / 5};
    // The number of connections is fixed by their share, so they need no reserve.
    limits.reserves_ = {shared / 20, shared / 20, shared / 20 * 2, 0};
    limits.spared_ = spared_bytes;
    return limits;
}

std::size_t connection_limit(memory_limits const& limits, std::size_t descriptors) noexcept
{
    auto const in_memory = limits.share(memory_purpose::connection) / connection_bytes;
    if (descriptors == 0) {
        return in_memory;
    }
    auto const usable =
        descriptors > 2 * other_descriptors ? descriptors - other_descriptors : descriptors / 2;
    return std::min(in_memory, usable * 4 / 5);
}

std::optional<std::size_t> choose_given_up(std::span<held_memory const> held, millis now) noexcept
{
    std::optional<std::size_t> chosen;
    std::pair<bool, double> most{false, -1};
    for (std::size_t i = 0; i < held.size(); ++i) {
        // One more, as what came in the same millisecond is told apart by its size.
        auto const age = static_cast<double>((now - held[i].since_).count_ + 1);
        std::pair const weight{!held[i].is_allowed_, static_cast<double>(held[i].bytes_) * age};
        if (held[i].may_be_given_up_ && weight > most) {
            most = weight;
            chosen = i;
        }
    }
    return chosen;
}

memory_budget::holding::holding(memory_budget& budget, memory_purpose purpose, millis now,
                                std::function<void()> give_up)
    : budget_{budget}, purpose_{purpose}, since_{now}, give_up_{std::move(give_up)}
{
    std::lock_guard const lock{budget_.mutex_};
    auto& others = budget_.holdings_[static_cast<std::size_t>(purpose)];
    place_ = others.insert(others.end(), this);
}

memory_budget::holding::~holding()
{
    std::lock_guard const lock{budget_.mutex_};
    budget_.held_for(purpose_) -= bytes_;
    budget_.holdings_[static_cast<std::size_t>(purpose_)].erase(place_);
}

bool memory_budget::holding::grow_to(std::size_t bytes, millis now)
{
    std::lock_guard const lock{budget_.mutex_};
    return budget_.book(*this, purpose_, bytes, now);
}

bool memory_budget::holding::move_to(memory_purpose purpose, millis now)
{
    std::lock_guard const lock{budget_.mutex_};
    return budget_.book(*this, purpose, bytes_, now);
}

void memory_budget::holding::note_allowed()
{
    std::lock_guard const lock{budget_.mutex_};
    is_allowed_ = true;
}

bool memory_budget::holding::keep()
{
    std::lock_guard const lock{budget_.mutex_};
    give_up_ = nullptr;
    return !given_up_;
}

void memory_budget::holding::allow_giving_up(std::function<void()> give_up)
{
    std::lock_guard const lock{budget_.mutex_};
    give_up_ = std::move(give_up);
}

bool memory_budget::holding::given_up() const
{
    std::lock_guard const lock{budget_.mutex_};
    return given_up_;
}

std::size_t memory_budget::holding::bytes() const
{
    std::lock_guard const lock{budget_.mutex_};
    return bytes_;
}

std::size_t memory_budget::held(memory_purpose purpose) const
{
    std::lock_guard const lock{mutex_};
    return held_[static_cast<std::size_t>(purpose)];
}

bool memory_budget::book(holding& wanting, memory_purpose purpose, std::size_t bytes, millis now)
{
    if (wanting.given_up_) {
        return false;
    }
    bool const moves = purpose != wanting.purpose_;
    bool const grows = moves || bytes > wanting.bytes_;
    if (grows && !make_room(wanting, purpose, bytes, now)) {
        return false;
    }
    held_for(wanting.purpose_) -= wanting.bytes_;
    held_for(purpose) += bytes;
    wanting.bytes_ = bytes;
    if (moves) {
        auto& to = holdings_[static_cast<std::size_t>(purpose)];
        to.splice(to.end(), holdings_[static_cast<std::size_t>(wanting.purpose_)], wanting.place_);
        wanting.purpose_ = purpose;
    }
    return true;
}

bool memory_budget::make_room(holding& wanting, memory_purpose purpose, std::size_t bytes, millis now)
{
    auto const own_part = purpose == wanting.purpose_ ? wanting.bytes_ : 0;
    auto const bound = limits_.bound(purpose, bytes);
    auto const fits = [&] { return held_for(purpose) - own_part + bytes <= bound; };
    if (fits()) {
        return true;
    }
    if (bytes > bound) {
        return false; // others would be given up in vain
    }
    bool const is_small = bytes <= limits_.spared_;
    std::vector<holding*> others{&wanting};
    std::vector<held_memory> held{{bytes, wanting.since_, true, wanting.is_allowed_}};
    for (auto* const other : holdings_[static_cast<std::size_t>(purpose)]) {
        bool const may_end = other != &wanting && other->give_up_ && !other->given_up_ && other->bytes_ > 0;
        if (may_end && (is_small || other->bytes_ > limits_.spared_)) {
            others.push_back(other);
            held.push_back({other->bytes_, other->since_, true, other->is_allowed_});
        }
    }
    while (!fits()) {
        auto const chosen = choose_given_up(held, now);
        if (!chosen || *chosen == 0) {
            return false;
        }
        auto& given_up = *others[*chosen];
        held[*chosen].may_be_given_up_ = false;
        held_for(purpose) -= std::exchange(given_up.bytes_, 0);
        given_up.given_up_ = true;
        std::exchange(given_up.give_up_, nullptr)();
    }
    return true;
}

} // namespace auburnchute
