#include "transport/fleet_control.hpp"

#include "protocol/logging.hpp"
#include "transport/peer_link.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace auburnchute {

namespace {

/// A refused loan is not asked for again for this time, so that a workspace over its rate does not flood its
/// peers.
constexpr millis borrow_pause{100};

/// Peers asked for one request.
constexpr std::size_t max_lenders = 4;

constexpr millis borrow_limit{300};

std::unique_ptr<fleet_view const> empty_view()
{
    return std::make_unique<fleet_view const>();
}

} // namespace

fleet_control::fleet_control(settings const& config, clock clk, metrics& counters, trail_store& trails)
    : config_{config}, clock_{std::move(clk)}, metrics_{counters}, trails_{trails}, log_{config.log_address_},
      security_{config.peers_certificate_, config.peers_private_key_, config.peers_authority_},
      shares_{clock_}, view_{empty_view()}, self_{config.vm_, random_incarnation()},
      state_{std::make_shared<fleet_state const>()}
{
    authority_.self_ = self_;
    authority_.started_at_ = now(clock_);
    writer_.self_ = self_;
}

fleet_control::~fleet_control()
{
    if (server_) {
        end_threads();
    }
}

void fleet_control::start(view_listener on_view, demand_source own_demand)
{
    on_view_ = std::move(on_view);
    own_demand_ = std::move(own_demand);
    peer_handlers handlers;
    handlers.heartbeat_ = [this](auto const& request) { return on_heartbeat(request); };
    handlers.borrow_ = [this](auto const& request) { return on_borrow(request); };
    handlers.give_back_ = [this](auto const& request) {
        shares_.returned_by(from_message(request.sender()), request.workspace(),
                            {request.version(), request.total_returned(), request.tokens()});
    };
    handlers.demand_ = [this](auto const& request) { on_demand(request); };
    handlers.fetch_ = [this](auto const& request) { return on_fetch(request); };
    server_ = std::make_unique<peer_server>(to_string(config_.peers_), security_, std::move(handlers));
    threads_.emplace_back([this](std::stop_token const& stop) { run_reader(stop); });
    threads_.emplace_back([this](std::stop_token const& stop) { run_writer(stop); });
    threads_.emplace_back([this](std::stop_token const& stop) { run_peers(stop); });
    threads_.emplace_back([this](std::stop_token const& stop) { run_vm_list(stop); });
    threads_.emplace_back([this](std::stop_token const& stop) { run_stewards(stop); });
    threads_.emplace_back([this](std::stop_token const& stop) { run_planner(stop); });
}

void fleet_control::begin_stop()
{
    member_id self;
    {
        std::lock_guard const lock{mutex_};
        if (std::exchange(stopping_, true)) {
            return;
        }
        self = self_;
    }
    log_change("stop", config_.vm_, "planned stop begins");
    submit(member_leaving{self});
    publish();
}

bool fleet_control::is_stopping() const
{
    std::lock_guard const lock{mutex_};
    return stopping_;
}

void fleet_control::end_membership(millis limit)
{
    auto const deadline = now(clock_) + limit;
    member_id self;
    {
        std::unique_lock lock{mutex_};
        // The share goes to the others with the acknowledgement, which needs all reserved tokens to be
        // settled.
        while (now(clock_) < deadline && state_->pending_.number_ != 0 && joined_) {
            wake_.wait_for(lock, std::chrono::milliseconds{50});
        }
        self = self_;
    }
    auto const gone = submit_and_wait(member_gone{self, gone_evidence::left}, deadline - now(clock_));
    if (!gone.known_) {
        log_fault("stop", config_.vm_, "the log did not confirm the end of the membership in time");
    }
}

void fleet_control::end_threads()
{
    for (auto& thread : threads_) {
        thread.request_stop();
    }
    wake_.notify_all();
    writer_wake_.notify_all();
    planner_wake_.notify_all();
    threads_.clear();
    peer_threads_.clear();
    steward_threads_.clear();
    std::map<std::string, std::jthread> orders;
    {
        std::lock_guard const lock{order_mutex_};
        orders.swap(order_threads_);
    }
    orders.clear();
    if (server_) {
        server_->stop();
        server_.reset();
    }
}

bool fleet_control::pause(std::stop_token const& stop, millis time)
{
    std::unique_lock lock{mutex_};
    wake_.wait_for(lock, stop, std::chrono::milliseconds{time.count_}, [] { return false; });
    return !stop.stop_requested();
}

std::shared_ptr<fleet_state const> fleet_control::state() const
{
    std::lock_guard const lock{mutex_};
    return state_;
}

void fleet_control::submit(record_body body, std::function<void(submit_result const&)> then)
{
    {
        std::lock_guard const lock{mutex_};
        if (auto const sequence = auburnchute::submit(writer_, std::move(body))) {
            if (then) {
                pending_[*sequence].then_ = std::move(then);
            }
            then = nullptr;
        }
    }
    if (then) {
        then({});
        return;
    }
    writer_wake_.notify_all();
}

submit_result fleet_control::submit_and_wait(record_body body, millis limit)
{
    struct rendezvous {
        std::mutex mutex_;
        std::condition_variable done_;
        bool finished_{};
        submit_result result_;
    };
    auto const shared = std::make_shared<rendezvous>();
    submit(std::move(body), [shared](submit_result const& result) {
        std::lock_guard const lock{shared->mutex_};
        shared->result_ = result;
        shared->finished_ = true;
        shared->done_.notify_all();
    });
    std::unique_lock lock{shared->mutex_};
    shared->done_.wait_for(lock, std::chrono::milliseconds{std::max<std::int64_t>(0, limit.count_)},
                           [&shared] { return shared->finished_; });
    return shared->result_;
}

std::shared_ptr<fleet_state const>
fleet_control::wait_folded(std::function<bool(fleet_state const&)> const& holds, millis limit,
                           std::stop_token const& stop)
{
    std::unique_lock lock{mutex_};
    (void)wake_.wait_for(lock, stop, std::chrono::milliseconds{std::max<std::int64_t>(0, limit.count_)},
                         [&] { return holds(*state_); });
    return state_;
}

bool fleet_control::reserve_tokens(std::string const& workspace, std::int64_t tokens, millis deadline)
{
    auto missing = shares_.try_reserve(workspace, tokens);
    if (missing == 0) {
        return true;
    }
    std::vector<std::pair<std::int64_t, std::shared_ptr<peer_link>>> lenders;
    member_id self;
    {
        std::lock_guard const lock{mutex_};
        self = self_;
        if (auto const it = borrow_refused_.find(workspace);
            it != borrow_refused_.end() && now(clock_) < it->second + borrow_pause) {
            return false;
        }
        for (auto const& [member, link] : links_) {
            auto const idle = link->idle_units_.find(workspace);
            lenders.emplace_back(idle == link->idle_units_.end() ? 0 : idle->second, link);
        }
    }
    std::sort(lenders.begin(), lenders.end(), [](auto const& a, auto const& b) { return a.first > b.first; });
    std::size_t asked = 0;
    for (auto const& [idle, link] : lenders) {
        if (++asked > max_lenders || now(clock_) >= deadline) {
            break;
        }
        peer::v1::BorrowRequest request;
        to_message(self, *request.mutable_sender());
        request.set_workspace(workspace);
        request.set_version(shares_.loan_version(workspace));
        request.set_units(missing);
        metrics_.count("auburnchute_loans_asked_total");
        auto const reply = link->client_.borrow(request, borrow_limit);
        if (reply) {
            shares_.borrowed_from(link->member_, workspace,
                                  {reply->version(), reply->total_lent(), reply->tokens()});
        }
        missing = shares_.try_reserve(workspace, tokens);
        if (missing == 0) {
            return true;
        }
    }
    std::lock_guard const lock{mutex_};
    borrow_refused_[workspace] = now(clock_);
    return false;
}

std::map<member_id, peer_status> fleet_control::peers() const
{
    std::map<member_id, peer_status> all;
    std::lock_guard const lock{mutex_};
    for (auto const& [member, link] : links_) {
        auto const received = authority_.last_message_from_.find(member);
        all[member] = {link->next_offset_,
                       received == authority_.last_message_from_.end() ? millis{} : received->second};
    }
    return all;
}

std::uint64_t fleet_control::random_incarnation()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32U) | device();
}

millis fleet_control::log_age() const
{
    std::lock_guard const lock{mutex_};
    return now(clock_) - authority_.log_tail_read_at_;
}

void fleet_control::publish()
{
    std::lock_guard const one_publisher{publish_mutex_};
    auto view = std::make_unique<fleet_view>();
    {
        std::lock_guard const lock{mutex_};
        auto const time = now(clock_);
        auto const judged = evaluate_authority(*state_, authority_, time);
        if (judged != last_authority_) {
            log_change("authority", config_.vm_,
                       judged == authority::fresh_log ? "the log is read to its tail"
                       : judged == authority::fresh_outage
                           ? "the log is down for a majority of members; warm models are served"
                           : "cut off from the log and from a majority of members");
            lapsed_since_ = judged == authority::lapsed ? time : millis{};
            last_authority_ = judged;
        }
        view->state_ = state_;
        view->upstreams_ = upstreams_;
        view->live_members_ = static_cast<std::int64_t>(live_members(*state_).size());
        view->self_ = self_;
        view->authority_ = judged;
        view->lapsed_since_ = lapsed_since_;
        view->published_at_ = time;
        view->ready_ = ready_ && joined_ && !is_gone(*state_, self_);
        view->stopping_ = stopping_;
        for (auto& [name, status] : view->upstreams_) {
            status.leaving_ = status.leaving_ || list_leaving_.contains(name);
        }
    }
    view_.publish(std::move(view));
    if (on_view_) {
        on_view_();
    }
}

void fleet_control::request_started(std::string const& upstream, std::string const& request,
                                    std::string const& fingerprint, bool isolated)
{
    std::lock_guard const lock{mutex_};
    running_[upstream][request] = {fingerprint, isolated};
}

void fleet_control::request_ended(std::string const& upstream, std::string const& request)
{
    std::lock_guard const lock{mutex_};
    if (auto const it = running_.find(upstream); it != running_.end()) {
        it->second.erase(request);
    }
}

void fleet_control::connection_broke(std::string const& upstream, std::string const& replica,
                                     std::string const& request)
{
    std::string address;
    {
        std::lock_guard const lock{mutex_};
        auto const known = running_.find(upstream);
        // Another request on the same upstream has booked the crash already.
        if (known == running_.end() || !known->second.contains(request)) {
            return;
        }
        auto const entry = state_->upstreams_.find(upstream);
        if (entry == state_->upstreams_.end()) {
            return;
        }
        address = entry->second.address_;
    }
    // A broken connection alone is no crash: the upstream must also have stopped answering, or have restarted
    // without its replicas.
    if (auto const report = read_report(address)) {
        auto const& held = report->replicas_;
        bool const alive =
            replica.empty() || std::any_of(held.begin(), held.end(),
                                           [&replica](auto const& r) { return r.replica_ == replica; });
        if (alive) {
            return;
        }
    }
    std::vector<crash_seen> crashes;
    {
        std::lock_guard const lock{mutex_};
        auto& running = running_[upstream];
        if (!running.contains(request)) {
            return;
        }
        std::vector<std::string> in_flight;
        std::string isolated;
        for (auto const& [id, entry] : running) {
            in_flight.push_back(entry.fingerprint_);
            isolated = entry.isolated_ ? entry.fingerprint_ : isolated;
        }
        running.clear();
        crashes = record_crash(quarantine_, upstream, in_flight, isolated, now(clock_));
        fresh_crashes_.insert(fresh_crashes_.end(), crashes.begin(), crashes.end());
    }
    metrics_.count("auburnchute_upstream_crashes_total", upstream);
    log_fault("relay", upstream,
              "the upstream died with " + std::to_string(crashes.size()) + " suspect requests in flight");
    for (auto& crash : crashes) {
        crash.request_ = request;
        submit(std::move(crash));
    }
}

void fleet_control::suspect_finished(std::string const& fingerprint)
{
    bool clear = false;
    {
        std::lock_guard const lock{mutex_};
        clear = record_completion(*state_, quarantine_, fingerprint);
    }
    if (clear) {
        submit(crash_cleared{fingerprint});
    }
}

crash_verdict fleet_control::judge_request(std::string const& fingerprint) const
{
    std::lock_guard const lock{mutex_};
    return classify_request(*state_, quarantine_, fingerprint);
}

bool fleet_control::may_start_isolated(std::string const& fingerprint) const
{
    std::lock_guard const lock{mutex_};
    return may_run_isolated(*state_, quarantine_, fingerprint, now(clock_));
}

} // namespace auburnchute
