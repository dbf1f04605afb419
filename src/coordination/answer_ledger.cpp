#include <auburnchute/answer_ledger.hpp>

#include <utility>

namespace auburnchute {

answer_ledger::entry::entry(answer_ledger& ledger, std::function<void()> give_up)
    : ledger_{ledger}, give_up_{std::move(give_up)}
{
    std::lock_guard const lock{ledger_.mutex_};
    place_ = ledger_.entries_.insert(ledger_.entries_.end(), this);
}

answer_ledger::entry::~entry()
{
    std::lock_guard const lock{ledger_.mutex_};
    ledger_.held_ -= bytes_;
    ledger_.entries_.erase(place_);
}

void answer_ledger::entry::hold(std::size_t bytes)
{
    std::lock_guard const lock{ledger_.mutex_};
    if (given_up_) {
        return;
    }
    ledger_.held_ = ledger_.held_ - bytes_ + bytes;
    bytes_ = bytes;
    if (ledger_.held_ > ledger_.limit_) {
        ledger_.give_up_largest();
    }
}

bool answer_ledger::entry::finish()
{
    std::lock_guard const lock{ledger_.mutex_};
    unfinished_ = false;
    return !given_up_;
}

std::size_t answer_ledger::held() const
{
    std::lock_guard const lock{mutex_};
    return held_;
}

void answer_ledger::give_up_largest()
{
    entry* largest = nullptr;
    for (auto* const candidate : entries_) {
        bool const may_end = candidate->unfinished_ && candidate->bytes_ > spared_answer_bytes;
        if (may_end && (largest == nullptr || candidate->bytes_ > largest->bytes_)) {
            largest = candidate;
        }
    }
    if (largest != nullptr) {
        held_ -= std::exchange(largest->bytes_, 0);
        largest->given_up_ = true;
        largest->give_up_();
    }
}

} // namespace auburnchute
