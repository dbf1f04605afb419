#include "transport/entry/order_keeper.hpp"

#include "platform/checked_json.hpp"
#include "platform/engine_calls.hpp"
#include "platform/store_client.hpp"
#include "protocol/decision_log.hpp"
#include "transport/entry/entry_node.hpp"
#include "transport/entry/peer_exchange.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace auburnchute {

namespace {

/// Key of the lease in its topic.
constexpr std::string_view lease_key = "placement";

/// Pause between looks at the lease while another VM's messages show that it holds it, and while not.
constexpr millis lease_idle_pause{300};
constexpr millis lease_look_pause{250};

/// Pause between checks while a VM that should hold the lease in place of this one is responsive; it takes
/// the lease first.
constexpr millis lease_deferred_pause{1'000};

/// How long after its start a VM leaves the lease alone: by then messages have shown which VM should hold it.
constexpr millis lease_start_pause{700};

/// Longest time for a call about the lease.
constexpr millis lease_call_limit{800};

/// Pause after a failed call about the lease. After an outage of the store the last holder comes first: it
/// needs no gap before its orders.
constexpr millis incumbent_failure_pause{100};
constexpr millis other_failure_pause{300};
constexpr millis incumbent_time{600};

/// Longest time for an order or a report; engines answer within milliseconds or not at all.
constexpr millis engine_call_limit{600};

/// Planning rounds come at least this often.
constexpr millis plan_pause{100};

/// Reports lag behind, so a load is looked for again in this rhythm once it is due.
constexpr millis report_rhythm{120};

/// An engine whose state only orders change is asked again after this time, in case one acted late.
constexpr millis report_refresh{6'000};

/// Time between telling the daemons that a model retires and its unload.
constexpr millis retire_notice{60};

/// A report that shows fewer orders than were accepted is older than the last order; after this time it is
/// believed, as the engine may have started anew.
constexpr millis report_lag{1'500};

/// Time that an adapter takes to load; the platform's sheets say up to ten milliseconds.
constexpr millis adapter_load_time{12};

/// Time that an engine takes to drop a model on which nothing runs.
constexpr millis unload_time{110};

/// A model for which room was made is loaded within this time, or the room is free for others.
constexpr millis reservation_time{2'000};

/// How long the holder tells the daemons of an engine after its last change by an order; the engine's own
/// entry has followed by then.
constexpr millis notice_time{10'000};

/// A load may take this much longer than at full speed before fewer run at the same time.
constexpr double slow_load_factor = 1.35;
constexpr double full_speed_factor = 1.2;
constexpr int most_loads_at_once = 32;

std::string lease_document(lease_record const& record)
{
    return nlohmann::json{{"vm", record.vm_},
                          {"incarnation", record.incarnation_},
                          {"epoch", record.epoch_},
                          {"orders_from", record.orders_from_.count_},
                          {"store_era", record.store_era_}}
        .dump();
}

/// \param era Of the store that has the record.
/// \returns The record, or one of an unknown holder if it cannot be read: somebody may still give orders, and
/// it does not show that it is from a copy.
lease_record read_lease(std::string const& document, std::uint64_t era)
{
    try {
        auto const fields = platform::parse_document(document);
        constexpr platform::integer_range counts{0, std::numeric_limits<std::int64_t>::max()};
        return {fields.at("vm").get<std::string>(),
                static_cast<std::uint64_t>(platform::integer_field(fields, "incarnation", 0, counts)),
                static_cast<std::uint64_t>(platform::integer_field(fields, "epoch")),
                millis{platform::integer_field(fields, "orders_from")},
                static_cast<std::uint64_t>(platform::integer_field(fields, "store_era", 0, counts))};
    } catch (std::exception const& failure) {
        log_failure("lease-unreadable", {{"fault", failure.what()}});
        return {.vm_ = "unreadable", .incarnation_ = 0, .epoch_ = 0, .orders_from_ = {}, .store_era_ = era};
    }
}

void tell_daemons(order_keeper& keeper)
{
    placement_report report;
    auto const now = boot_now();
    if (holds_lease(keeper.lease_, now)) {
        report.epoch_ = keeper.lease_.epoch_;
        report.lease_end_ = keeper.lease_.end_;
        report.orders_from_ = keeper.lease_.orders_from_;
        for (auto const& [id, engine] : keeper.engines_) {
            bool const news = !engine.state_.loading_.empty() || !engine.state_.retiring_.empty() ||
                              (engine.changed_at_ > millis{0} && now - engine.changed_at_ < notice_time);
            if (!news) {
                continue;
            }
            upstream_placement placement{
                id, engine.started_at_, engine.state_.models_, engine.state_.retiring_, {}};
            if (!engine.state_.loading_.empty()) {
                placement.loading_.push_back(
                    {engine.state_.loading_, "", std::max(millis{0}, engine.load_due_ - now)});
            }
            report.placements_.push_back(std::move(placement));
        }
    }
    keeper.report_(std::move(report));
}

net::awaitable<void> read_lease_topic(order_keeper& keeper, platform::store_client& store)
{
    auto const newest = co_await store.read_newest(platform::lease_topic);
    std::optional<lease_record> record;
    for (auto const& stored : newest.records_) {
        if (stored.key_ == lease_key && stored.value_) {
            record = read_lease(*stored.value_, newest.next_.era_);
        }
    }
    observe_lease(keeper.lease_, newest.next_, std::move(record), boot_now());
}

net::awaitable<void> append_lease(order_keeper& keeper, platform::store_client& store)
{
    auto const sent_at = boot_now();
    note_epoch(keeper.lease_, keeper.shared_.highest_epoch_.load(std::memory_order_acquire));
    auto const record = next_lease_record(keeper.lease_, keeper.settings_.order_lease_, sent_at);
    bool const taking = keeper.lease_.epoch_ == 0;
    auto const outcome = co_await store.append(
        platform::lease_topic, platform::encode_keyed_record(lease_key, lease_document(record)),
        keeper.lease_.end_);
    if (outcome.result_ == platform::append_result::stored) {
        record_lease_append(keeper.lease_, record, sent_at, outcome.end_);
        tell_daemons(keeper);
        if (taking) {
            log_decision("lease-taken", {{"epoch", record.epoch_},
                                         {"orders_in_ms", (record.orders_from_ - sent_at).count_}});
        }
    } else if (outcome.result_ != platform::append_result::refused) {
        bool const misplaced =
            outcome.result_ == platform::append_result::other_era && outcome.end_.offset_ > 0;
        if (misplaced) { // another VM's record may lie before it
            log_failure("lease-misplaced", {{"epoch", record.epoch_}, {"era", outcome.end_.era_}});
            drop_lease(keeper.lease_);
            tell_daemons(keeper);
        }
        co_await read_lease_topic(keeper, store);
    }
}

millis lease_pause(order_keeper const& keeper, millis now)
{
    if (keeper.lease_.epoch_ != 0) {
        auto const due = keeper.lease_.held_until_ - lease_lifetime + lease_renewal_interval;
        return std::clamp(due - now, millis{20}, lease_renewal_interval);
    }
    return lease_look_pause;
}

net::awaitable<void> keep_lease(order_keeper& keeper)
{
    platform::store_client store{keeper.loop_, keeper.settings_.store_address_, lease_call_limit,
                                 keeper.shared_.store_era_};
    co_await pause_for(lease_start_pause);
    millis deferred_since{0}; // 0: it defers to nobody
    while (true) {
        std::string fault;
        auto const now = boot_now();
        auto const holder_message_at =
            millis{keeper.shared_.holder_message_at_.load(std::memory_order_acquire)};
        bool const other_holds = keeper.lease_.epoch_ == 0 && holder_message_at > millis{0} &&
                                 now - holder_message_at < holder_timeout;
        if (other_holds || keeper.leaving_) {
            co_await pause_for(lease_idle_pause);
            continue;
        }
        bool const store_back_lately = now - keeper.store_answers_since_ < incumbent_time;
        bool const incumbent = keeper.lease_.newest_ && keeper.lease_.newest_->vm_ == keeper.lease_.vm_;
        if (!incumbent && keeper.lease_.epoch_ == 0 &&
            keeper.shared_.defers_.load(std::memory_order_acquire)) {
            deferred_since = deferred_since == millis{0} ? now : deferred_since;
            if (now - deferred_since < lease_deferred_pause) {
                co_await pause_for(lease_idle_pause);
                continue;
            }
        }
        deferred_since = millis{0};
        try {
            bool const may_take = may_take_lease(keeper.lease_, now) && (incumbent || !store_back_lately);
            if (keeper.lease_.epoch_ != 0 || may_take) {
                co_await append_lease(keeper, store);
            } else {
                co_await read_lease_topic(keeper, store);
            }
        } catch (std::exception const& failure) {
            fault = failure.what();
        }
        if (!fault.empty()) {
            log_failure("lease-call-failed", {{"fault", fault}});
            keeper.store_failed_ = true;
        } else if (std::exchange(keeper.store_failed_, false)) {
            keeper.store_answers_since_ = boot_now();
        }
        if (keeper.lease_.epoch_ != 0 && !holds_lease(keeper.lease_, boot_now())) {
            log_failure("lease-lost", {{"epoch", keeper.lease_.epoch_}});
            drop_lease(keeper.lease_);
            tell_daemons(keeper);
        }
        auto const failure_pause = incumbent ? incumbent_failure_pause : other_failure_pause;
        co_await pause_for(fault.empty() ? lease_pause(keeper, boot_now()) : failure_pause);
    }
}

/// Brings the engines in line with the upstreams' entries.
void follow_entries(order_keeper& keeper, fleet_config const& config, upstream_map const& entries, millis now)
{
    std::erase_if(keeper.engines_, [&](auto const& known) { return !entries.contains(known.first); });
    for (auto const& [id, entry] : entries) {
        if (find_engine(config, entry.service_) == nullptr) {
            continue;
        }
        auto& engine = keeper.engines_[id];
        bool const fresh = engine.peer_ == nullptr || engine.started_at_ != entry.started_at_ ||
                           engine.peer_->address() != entry.address_;
        if (fresh) {
            engine = engine_record{};
            engine.peer_ = std::make_shared<http_peer>(keeper.loop_, entry.address_);
            engine.service_ = entry.service_;
            engine.started_at_ = entry.started_at_;
            engine.state_.id_ = id;
            engine.next_report_at_ = now;
        }
        engine.state_.leaving_ =
            entry.leaving_ || access_of(engine.signals_, entry.started_at_, now) == upstream_access::leaving;
        engine.state_.weights_in_memory_ = entry.weights_in_memory_;
        engine.state_.weights_on_disk_ = entry.weights_on_disk_;
        for (auto const& [model, loaded] : engine.state_.loaded_at_) {
            engine.state_.weights_on_disk_.insert(model); // a load leaves a copy there
        }
        if (fresh) {
            engine.state_.models_ = entry.models_; // until the first report
        }
        auto const running = keeper.demand_->running_.find(id);
        engine.state_.running_ = running == keeper.demand_->running_.end() ? 0 : running->second;
    }
}

void end_load(order_keeper& keeper, engine_record& engine, millis now)
{
    auto const model = std::exchange(engine.state_.loading_, {});
    engine.state_.loaded_at_[model] = now;
    engine.changed_at_ = now;
    auto const took = now - engine.order_began_;
    keeper.counters_.observe("auburnchute_load_ms", "model", took);
    log_decision("model-loaded", {{"upstream", engine.state_.id_},
                                  {"model", model},
                                  {"ms", took.count_},
                                  {"expected_ms", (engine.load_due_ - engine.order_began_).count_}});
    if (engine.loading_from_ != weights_source::store) {
        return;
    }
    auto const expected = static_cast<double>((engine.load_due_ - engine.order_began_).count_);
    auto const factor = static_cast<double>(took.count_) / std::max(1.0, expected);
    if (factor > slow_load_factor) {
        keeper.max_concurrent_ = std::max(1, std::min(keeper.max_concurrent_, engine.store_loads_then_) - 1);
    } else if (factor < full_speed_factor && engine.store_loads_then_ >= keeper.max_concurrent_) {
        keeper.max_concurrent_ = std::min(most_loads_at_once, keeper.max_concurrent_ + 1);
    }
}

void take_report(order_keeper& keeper, engine_record& engine, platform::upstream_report const& report)
{
    auto const now = boot_now();
    bool const restarted =
        report.started_at_ != 0 && engine.started_at_ != 0 && report.started_at_ > engine.started_at_;
    bool const older = report.accepted_orders_ < engine.orders_ && !restarted;
    if (older && now - engine.changed_at_ < report_lag) {
        engine.next_report_at_ = now + report_rhythm;
        return;
    }
    if (restarted) {
        engine.started_at_ = report.started_at_;
        engine.state_.loaded_at_.clear();
        engine.state_.retiring_.clear();
        engine.state_.loading_.clear();
    }
    engine.orders_ = report.accepted_orders_;
    engine.state_.models_ = report.models_;
    engine.state_.weights_in_memory_ = report.weights_in_memory_;
    engine.state_.weights_on_disk_ = report.weights_on_disk_;
    engine.state_.adapters_pending_ = static_cast<std::int64_t>(report.pending_adapters_.size());
    engine.certain_ = true;
    std::erase_if(engine.state_.retiring_,
                  [&](std::string const& model) { return !report.models_.contains(model); });
    if (!engine.state_.loading_.empty()) {
        if (report.models_.contains(engine.state_.loading_)) {
            end_load(keeper, engine, now);
        } else if (!report.busy_ && now > engine.order_began_ + report_lag) {
            log_failure("load-vanished",
                        {{"upstream", engine.state_.id_}, {"model", engine.state_.loading_}});
            engine.state_.loading_.clear();
        }
    }
    engine.state_.busy_ = report.busy_ || !engine.state_.loading_.empty() || !engine.state_.retiring_.empty();
    bool const waits = engine.state_.busy_ || engine.state_.adapters_pending_ > 0;
    engine.next_report_at_ = now + (waits ? report_rhythm : report_refresh);
    if (!engine.state_.loading_.empty() && engine.load_due_ > engine.next_report_at_) {
        engine.next_report_at_ = engine.load_due_;
    }
}

engine_record* find_record(order_keeper& keeper, std::string const& id, http_peer const* peer)
{
    auto const found = keeper.engines_.find(id);
    bool const same = found != keeper.engines_.end() && found->second.peer_.get() == peer;
    return same ? &found->second : nullptr;
}

void take_signals(order_keeper& keeper, engine_record& engine, answer_signals const& signals)
{
    (void)note_signals(engine.signals_, engine.started_at_, signals, boot_now());
    if ((signals.leaving_ || signals.retry_after_) && keeper.signals_noticed_) {
        keeper.signals_noticed_(engine.state_.id_, engine.started_at_, signals);
    }
}

/// \returns When the engine may be asked or ordered again; the past if it may be now.
millis held_until(order_keeper const& keeper, engine_record const& engine)
{
    auto until = engine.signals_.hold_until_;
    auto const callers = keeper.demand_->signals_.find(engine.state_.id_);
    if (callers != keeper.demand_->signals_.end() && callers->second.started_at_ == engine.started_at_) {
        until = std::max(until, callers->second.hold_until_);
    }
    return until;
}

net::awaitable<void> refresh_engine(order_keeper& keeper, std::string id, std::shared_ptr<http_peer> peer)
{
    platform::report_reply reply;
    std::string fault;
    try {
        reply = co_await platform::fetch_report(*peer, id, engine_call_limit);
    } catch (std::exception const& failure) {
        fault = failure.what();
    }
    auto* const engine = find_record(keeper, id, peer.get());
    if (engine == nullptr) {
        co_return;
    }
    engine->calling_ = false;
    take_signals(keeper, *engine, reply.signals_);
    if (!reply.report_) {
        log_failure("report-failed", {{"upstream", id}, {"fault", fault}});
        engine->certain_ = false;
        engine->next_report_at_ = boot_now() + engine_call_limit;
        co_return;
    }
    take_report(keeper, *engine, *reply.report_);
    tell_daemons(keeper);
    keeper.wake_->notify();
}

void book_accepted(order_keeper& keeper, engine_record& engine, planned_order const& order, millis began)
{
    auto& state = engine.state_;
    ++engine.orders_;
    engine.changed_at_ = boot_now();
    switch (order.step_) {
    case placement_step::load_model: {
        state.loading_ = order.model_;
        state.reserved_for_.clear();
        state.busy_ = true;
        engine.order_began_ = began;
        engine.loading_from_ = order.from_;
        auto const config = keeper.shared_.cell_.read([](entry_view const& view) { return view.config_; });
        auto const* const profile = find_engine(*config, engine.service_);
        auto const* const model = profile != nullptr ? find_hosted_model(*profile, order.model_) : nullptr;
        engine.load_due_ = began + (model != nullptr ? load_time(*model, order.from_) : millis{1'000});
        engine.next_report_at_ = engine.load_due_;
        break;
    }
    case placement_step::unload_model:
        state.models_.erase(order.model_);
        state.retiring_.insert(order.model_); // until a report shows that it is gone
        state.busy_ = true;
        engine.next_report_at_ = engine.changed_at_ + report_rhythm;
        break;
    case placement_step::load_adapter:
        state.models_[order.model_].adapters_.insert(order.adapter_);
        break;
    case placement_step::unload_adapter:
        state.models_[order.model_].adapters_.erase(order.adapter_);
        break;
    }
}

std::string_view step_name(placement_step step)
{
    switch (step) {
    case placement_step::load_model:
        return "load-model";
    case placement_step::unload_model:
        return "unload-model";
    case placement_step::load_adapter:
        return "load-adapter";
    case placement_step::unload_adapter:
        break;
    }
    return "unload-adapter";
}

/// \returns Requests of the model and its adapters under way on all VMs.
std::int64_t runs_of(order_keeper const& keeper, std::string_view service, std::string_view model)
{
    std::int64_t runs = 0;
    for (auto const& [key, need] : keeper.demand_->needs_) {
        runs += key.service_ == service && key.model_ == model ? need.running_ : 0;
    }
    return runs;
}

net::awaitable<void> carry_out(order_keeper& keeper, planned_order order, std::shared_ptr<http_peer> peer)
{
    if (order.step_ == placement_step::unload_model) {
        tell_daemons(keeper);
        co_await pause_for(retire_notice);
    }
    auto* engine = find_record(keeper, order.upstream_id_, peer.get());
    auto const began = boot_now();
    if (engine == nullptr || !may_order(keeper.lease_, engine_call_limit, began)) {
        if (engine != nullptr) {
            engine->calling_ = false;
            engine->state_.retiring_.erase(order.model_);
        }
        co_return;
    }
    bool const load =
        order.step_ == placement_step::load_model || order.step_ == placement_step::load_adapter;
    platform::upstream_order const sent{.load_ = load,
                                        .model_ = order.model_,
                                        .adapter_ = order.adapter_,
                                        .expected_accepted_orders_ = engine->orders_,
                                        .holder_ = keeper.lease_.vm_,
                                        .fencing_token_ = keeper.lease_.epoch_};
    std::optional<platform::order_reply> reply;
    std::string fault;
    try {
        reply = co_await platform::send_order(*peer, order.upstream_id_, sent, engine_call_limit);
    } catch (std::exception const& failure) {
        fault = failure.what();
    }
    engine = find_record(keeper, order.upstream_id_, peer.get());
    if (engine == nullptr) {
        co_return;
    }
    engine->calling_ = false;
    auto const result = reply ? std::optional{reply->result_} : std::nullopt;
    if (reply) {
        take_signals(keeper, *engine, reply->signals_);
    }
    bool const done =
        result == platform::order_result::accepted || result == platform::order_result::already_satisfied;
    keeper.counters_.count("auburnchute_orders_total", done ? step_name(order.step_) : "refused");
    log_decision("order", {{"upstream", order.upstream_id_},
                           {"step", step_name(order.step_)},
                           {"model", order.model_},
                           {"adapter", order.adapter_},
                           {"reason", order.reason_},
                           {"epoch", sent.fencing_token_},
                           {"expected_orders", *sent.expected_accepted_orders_},
                           {"result", result ? static_cast<int>(*result) : -1},
                           {"fault", fault}});
    if (done) {
        book_accepted(keeper, *engine, order, began);
        if (order.step_ == placement_step::load_adapter) {
            co_await pause_for(adapter_load_time);
        }
        if (order.step_ == placement_step::unload_model &&
            runs_of(keeper, engine->service_, order.model_) == 0) {
            // Nothing runs on it, so it is gone at once; a load that comes too early is answered as a
            // conflict.
            co_await pause_for(unload_time);
            engine = find_record(keeper, order.upstream_id_, peer.get());
            if (engine == nullptr) {
                co_return;
            }
            engine->state_.retiring_.erase(order.model_);
            engine->state_.busy_ = false;
        }
    } else {
        engine->state_.retiring_.erase(order.model_);
        engine->certain_ = false;
        engine->changed_at_ = boot_now();
        engine->next_report_at_ = boot_now() + report_rhythm;
    }
    tell_daemons(keeper);
    keeper.wake_->notify();
}

store_allowance allowance(order_keeper& keeper, engine_profile const& profile, std::string_view service,
                          millis now)
{
    while (!keeper.store_loads_.empty() &&
           now - keeper.store_loads_.front() > keeper.settings_.load_window_) {
        keeper.store_loads_.pop_front();
    }
    store_allowance store;
    auto const window = static_cast<double>(keeper.settings_.load_window_.count_) / 1'000.0;
    store.permitted_starts_ = std::max(1, static_cast<int>(profile.loads_per_second_ * window)) -
                              static_cast<int>(keeper.store_loads_.size());
    store.max_concurrent_ = keeper.max_concurrent_;
    for (auto const& [id, engine] : keeper.engines_) {
        bool const from_store = !engine.state_.loading_.empty() && engine.service_ == service &&
                                engine.loading_from_ == weights_source::store;
        store.running_ += from_store ? 1 : 0;
    }
    return store;
}

void plan_service(order_keeper& keeper, std::string const& service, engine_profile const& profile, millis now)
{
    std::vector<engine_state> engines;
    for (auto& [id, engine] : keeper.engines_) {
        if (engine.service_ == service) {
            if (now - engine.reserved_at_ > reservation_time) {
                engine.state_.reserved_for_.clear();
            }
            engines.push_back(engine.state_);
            engines.back().busy_ = engine.state_.busy_ || engine.calling_ || !engine.certain_ ||
                                   now < held_until(keeper, engine);
            engines.back().available_in_ = engine.state_.loading_.empty()
                                               ? engine_call_limit
                                               : std::max(report_rhythm, engine.load_due_ - now);
        }
    }
    auto const store = allowance(keeper, profile, service, now);
    auto const orders = plan_models({service, profile, engines, keeper.demand_->needs_, store, now});
    for (auto const& order : orders) {
        auto& engine = keeper.engines_.at(order.upstream_id_);
        if (engine.calling_ || !engine.certain_ || now < held_until(keeper, engine)) {
            continue;
        }
        engine.calling_ = true;
        if (order.step_ == placement_step::unload_model) {
            engine.state_.retiring_.insert(order.model_);
            engine.state_.reserved_for_ = order.room_for_;
            engine.reserved_at_ = now;
        }
        if (order.step_ == placement_step::load_model && order.from_ == weights_source::store) {
            keeper.store_loads_.push_back(now);
            engine.store_loads_then_ = store.running_ + 1;
        }
        net::co_spawn(keeper.loop_, carry_out(keeper, order, engine.peer_), report_failure);
    }
}

/// One round of the holder: follows the entries, asks for reports that are due, and gives orders.
void place_once(order_keeper& keeper, millis now)
{
    auto const view = keeper.shared_.cell_.read([](entry_view const& current) { return current; });
    if (!view.config_) {
        return;
    }
    follow_entries(keeper, *view.config_, *view.upstreams_, now);
    for (auto& [id, engine] : keeper.engines_) {
        auto const due = std::max(engine.next_report_at_, held_until(keeper, engine));
        if (!engine.calling_ && engine.next_report_at_ > millis{0} && now >= due) {
            engine.calling_ = true;
            net::co_spawn(keeper.loop_, refresh_engine(keeper, id, engine.peer_), report_failure);
        }
    }
    if (!may_order(keeper.lease_, engine_call_limit, now)) {
        return;
    }
    for (auto const& [name, service] : view.config_->services_) {
        if (service.engine_) {
            plan_service(keeper, name, *service.engine_, now);
        }
    }
}

net::awaitable<void> place_models(order_keeper& keeper)
{
    while (true) {
        co_await keeper.wake_->wait_for(plan_pause);
        auto const now = boot_now();
        bool const holder = holds_lease(keeper.lease_, now);
        if (holder != keeper.was_holder_) {
            keeper.was_holder_ = holder;
            keeper.engines_.clear();
            tell_daemons(keeper);
        }
        if (!holder) {
            continue;
        }
        try {
            place_once(keeper, now);
        } catch (std::exception const& failure) {
            log_failure("placement-failed", {{"fault", failure.what()}});
        }
    }
}

} // namespace

fleet_demand compose_demand(entry_node& node, millis now)
{
    fleet_demand demand;
    demand.needs_ = fleet_needs(node, names_of_needs(node), now);
    // Held while it is read: the control thread may publish other entries and free these.
    auto const upstreams = current_view(node).upstreams_;
    for (auto const& [id, entry] : *upstreams) {
        auto const own = node.upstreams_.find(id);
        demand.running_[id] =
            fleet_use(node, id, own != node.upstreams_.end() ? &own->second : nullptr).requests_;
    }
    for (auto const& [id, own] : node.upstreams_) {
        if (own.signals_.hold_until_ > now) {
            demand.signals_.emplace(id, own.signals_);
        }
    }
    return demand;
}

void start_keeping(order_keeper& keeper, std::uint64_t incarnation)
{
    keeper.lease_.vm_ = keeper.settings_.vm_ + "@" + keeper.settings_.ip_;
    keeper.lease_.incarnation_ = incarnation;
    keeper.wake_ = std::make_unique<wake_event>(keeper.loop_);
    run_forever(keeper.loop_, "keep-lease", [&keeper] { return keep_lease(keeper); });
    run_forever(keeper.loop_, "place-models", [&keeper] { return place_models(keeper); });
}

void give_up_lease(order_keeper& keeper)
{
    keeper.leaving_ = true;
    drop_lease(keeper.lease_);
    keeper.wake_->notify();
}

void take_lease_end(order_keeper& keeper, store_position end)
{
    if (keeper.lease_.epoch_ == 0 && supersedes(end, keeper.lease_.end_)) {
        // Another VM's record; who wrote it does not matter until this VM reads the topic.
        observe_lease(keeper.lease_, end,
                      lease_record{.vm_ = "told", .incarnation_ = 0, .epoch_ = 0, .store_era_ = end.era_},
                      boot_now());
    }
}

void take_demand(order_keeper& keeper, std::shared_ptr<fleet_demand const> demand)
{
    keeper.demand_ = std::move(demand);
    keeper.wake_->notify();
}

} // namespace auburnchute
