#include "transport/stop_gate.hpp"

#include "protocol/logging.hpp"

#include <utility>

namespace auburnchute {

bool open_request::on_give_up(std::function<void()> interrupt)
{
    std::lock_guard const lock{mutex_};
    interrupt_ = std::move(interrupt);
    return !given_up_;
}

void open_request::give_up()
{
    std::lock_guard const lock{mutex_};
    given_up_ = true;
    if (interrupt_) {
        interrupt_();
    }
}

stop_gate::~stop_gate() = default;

void stop_gate::begin(shutdown_plan const& plan, millis takes_until)
{
    std::lock_guard const lock{mutex_};
    plan_ = plan;
    takes_until_ = takes_until;
    stopping_.store(true);
}

shutdown_plan stop_gate::close()
{
    shutdown_plan plan;
    {
        std::lock_guard const lock{mutex_};
        begin_closing(*plan_, now(clock_));
        closing_.store(true);
        plan = *plan_;
    }
    auto const given_up = all_open();
    for (auto const& request : given_up) {
        log_fault("stop", {},
                  "request " + request->id() + " outlasts the stop; open for " +
                      std::to_string((plan.answers_until_ - request->arrived()).count_) + " ms");
    }
    // An interrupt may wait for a connection that is being made.
    closer_ = std::jthread{[given_up] {
        for (auto const& request : given_up) {
            request->give_up();
        }
    }};
    return plan;
}

bool stop_gate::takes_requests() const
{
    if (!is_stopping()) {
        return true;
    }
    std::lock_guard const lock{mutex_};
    return !plan_->closing_ && now(clock_) < takes_until_;
}

bool stop_gate::may_start(millis ends_by) const
{
    if (!is_stopping()) {
        return true;
    }
    std::lock_guard const lock{mutex_};
    return can_end_in_time(*plan_, ends_by);
}

millis stop_gate::retry_after(bool other_vm_is_ready) const
{
    std::lock_guard const lock{mutex_};
    return plan_ ? stop_retry_after(*plan_, now(clock_), other_vm_is_ready) : millis{0};
}

std::shared_ptr<open_request> stop_gate::open(std::string const& id, millis arrived)
{
    std::shared_ptr<open_request> made{new open_request{id, arrived}, [this](open_request const* ended) {
                                           {
                                               std::lock_guard const lock{mutex_};
                                               open_.erase(ended);
                                           }
                                           delete ended;
                                       }};
    std::lock_guard const lock{mutex_};
    open_.emplace(made.get(), made);
    return made;
}

std::size_t stop_gate::open_requests() const
{
    return all_open().size();
}

void stop_gate::log_unanswered() const
{
    for (auto const& request : all_open()) {
        log_fault("stop", {}, "request " + request->id() + " ends without a whole answer");
    }
}

std::vector<std::shared_ptr<open_request>> stop_gate::all_open() const
{
    std::vector<std::shared_ptr<open_request>> all;
    std::lock_guard const lock{mutex_};
    for (auto const& [key, one] : open_) {
        if (auto request = one.lock()) {
            all.push_back(std::move(request));
        }
    }
    return all;
}

} // namespace auburnchute
