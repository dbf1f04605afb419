#include "exit_code.hpp"
#include "platform/json_codec.hpp"
#include "platform/resolve_request.hpp"
#include "protocol/crash_report.hpp"
#include "protocol/decision_log.hpp"
#include "protocol/entry_settings.hpp"
#include "protocol/metrics.hpp"
#include "protocol/text_file.hpp"
#include "transport/entry/caller_session.hpp"
#include "transport/entry/entry_node.hpp"
#include "transport/entry/order_keeper.hpp"
#include "transport/entry/peer_exchange.hpp"
#include "transport/entry/plain_server.hpp"
#include "transport/entry/plan_reader.hpp"
#include "transport/entry/planned_stop.hpp"
#include "transport/entry/store_reader.hpp"
#include "transport/entry/version_keeper.hpp"

#include <auburnchute/error.hpp>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <malloc.h>
#include <random>
#include <sys/random.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace auburnchute;

constexpr char const* usage = R"(Serves callers on an entry VM of the users' platform.

Usage:
  auburnchute-entry --settings FILE [--check]
  auburnchute-entry --help
  auburnchute-entry --version

Options:
  --settings FILE  The settings, in YAML; deploy/entry.yaml.in renders them.
  --check          Reads the settings, says what is wrong, and ends.
)";

/// How long callers keep a directory answer; a VM that stops is forgotten within that time.
constexpr millis directory_lifetime{2'000};

/// Blocks from this size on, in bytes, go back to the system when they are freed. The library's own bound
/// grows with the blocks that it meets, so that bodies would leave gaps that count as the process's memory.
constexpr int mapped_block_bytes = 128 * 1024;

/// Longest time between two notes that the loop turns.
constexpr millis turn_interval{20};

entry_settings_file load_settings(std::string const& name)
{
    auto read = parse_entry_settings(name, read_file(name));
    for (auto const& key : read.unknown_) {
        log_decision("settings-unknown-key", {{"key", key}});
    }
    return read;
}

std::uint64_t draw_incarnation()
{
    std::uint64_t drawn = 0;
    if (getrandom(&drawn, sizeof drawn, 0) != sizeof drawn) {
        drawn = std::random_device{}();
    }
    return drawn >> 1U | 1U; // positive in any codec
}

plain_response page(int status, std::string body, std::string_view type)
{
    plain_response answer;
    answer.result(static_cast<unsigned>(status));
    answer.set(boost::beast::http::field::content_type, boost::beast::string_view{type.data(), type.size()});
    answer.body() = std::move(body);
    return answer;
}

plain_response directory_page(entry_node& node)
{
    auto const addresses = ready_addresses(node, boot_now());
    if (addresses.empty()) {
        return page(503, "no entry is ready\n", "text/plain");
    }
    auto const lifetime = std::min(directory_lifetime, node.settings_.directory_lifetime_);
    return page(200, platform::encode_resolve_response(addresses, lifetime), "application/json");
}

/// Connections to one of the own pages, as a part of those that callers may have, and at least.
constexpr std::size_t page_connections_divisor = 16;
constexpr std::size_t least_page_connections = 32;

void serve_own_pages(entry_node& node)
{
    auto const callers = connection_limit(
        node.memory_->limits(), static_cast<std::size_t>(std::max(0.0, node.settings_.max_descriptors_)));
    page_bounds const bounds{node.counters_, node.memory_, node.turns_,
                             std::max(least_page_connections, callers / page_connections_divisor)};
    serve_pages(node.loop_, node.settings_.ready_listen_, bounds, [&node](plain_request const&) {
        return is_ready(node, boot_now()) ? page(200, "ready\n", "text/plain")
                                          : page(503, "not ready\n", "text/plain");
    });
    serve_pages(node.loop_, node.settings_.directory_listen_, bounds, [&node](plain_request const& request) {
        return platform::is_resolve_request({request.target().data(), request.target().size()})
                   ? directory_page(node)
                   : page(404, "no such page\n", "text/plain");
    });
    if (node.settings_.metrics_port_ != 0) {
        auto const address = node.settings_.ip_ + ":" + std::to_string(node.settings_.metrics_port_);
        serve_pages(node.loop_, address, bounds, [&node](plain_request const&) {
            node.counters_.gauge("auburnchute_open_requests", "",
                                 static_cast<double>(open_requests(*node.sessions_)));
            node.counters_.gauge("auburnchute_open_connections", "",
                                 static_cast<double>(node.sessions_->size()));
            node.counters_.gauge("auburnchute_held_bytes", "reading",
                                 static_cast<double>(node.memory_->held(memory_purpose::reading)));
            node.counters_.gauge("auburnchute_held_bytes", "request",
                                 static_cast<double>(node.memory_->held(memory_purpose::request)));
            node.counters_.gauge("auburnchute_held_bytes", "answer",
                                 static_cast<double>(node.memory_->held(memory_purpose::answer)));
            return page(200, node.counters_.text(), "text/plain; version=0.0.4");
        });
    }
}

/// When the loop last turned, as a signal that it takes late shows only so when it came.
struct loop_turns {
    millis last_{boot_now()};
    millis before_{last_}; ///< The turn before; after a pause the first turn may come before the signal.
};

net::awaitable<void> note_turns(loop_turns& turns)
{
    while (true) {
        turns.before_ = std::exchange(turns.last_, boot_now());
        co_await pause_for(turn_interval);
    }
}

net::awaitable<void> handle_signals(entry_node& node, boost::asio::signal_set& signals,
                                    std::string settings_file, loop_turns const& turns)
{
    while (true) {
        error_code fault;
        auto const signal = co_await signals.async_wait(outcome_in(fault));
        if (fault) {
            co_return;
        }
        if (signal == SIGHUP) {
            try {
                // Addresses and bounds hold for a process's life; a new file only has to be readable.
                (void)load_settings(settings_file);
                log_decision("settings-reloaded", {});
            } catch (std::exception const& failure) { // the next signal must find its handler
                log_failure("settings-rejected", {{"fault", failure.what()}});
            }
        } else if (!node.stop_) {
            auto const grace = node.settings_.shutdown_grace_;
            auto const now = boot_now();
            node.stop_ =
                plan_shutdown(now, signal_time(now, turns.before_, grace), grace, directory_lifetime);
            net::co_spawn(node.loop_, stop_gracefully(node), [&node](std::exception_ptr const& failure) {
                report_failure(failure);
                if (failure) {
                    node.loop_.stop(); // nothing else would end the process before the kill
                }
            });
        }
    }
}

/// Hands what the VMs ask for to the placement, or to the VM that places.
class demand_sender {
public:
    demand_sender(entry_node& node, order_keeper& keeper) : node_{node}, keeper_{keeper} {}

    /// \brief Sends now, but not more often than `least_pause`.
    void send()
    {
        auto const now = boot_now();
        if (now - sent_at_ < least_pause) {
            return; // the regular rhythm follows soon
        }
        sent_at_ = now;
        if (node_.own_lease_epoch_ == 0) {
            node_.send_state_(message_targets::holder);
            return;
        }
        auto demand = std::make_shared<fleet_demand const>(compose_demand(node_, now));
        net::post(keeper_.loop_, [&keeper = keeper_, demand] { take_demand(keeper, demand); });
    }

    net::awaitable<void> send_regularly()
    {
        while (true) {
            if (node_.own_lease_epoch_ != 0) {
                send();
            }
            co_await pause_for(rhythm);
        }
    }

private:
    static constexpr millis least_pause{25};
    static constexpr millis rhythm{100};

    entry_node& node_;
    order_keeper& keeper_;
    millis sent_at_{};
};

void take_placement_report(entry_node& node, placement_report report)
{
    bool const held_before = node.own_lease_epoch_ != 0;
    node.own_lease_epoch_ = report.epoch_;
    if (report.epoch_ == 0 && !held_before) {
        return;
    }
    if (report.epoch_ != 0) {
        node.lease_end_ = report.lease_end_;
        node.orders_from_ = report.orders_from_;
        publish_placements(node.placements_, report.epoch_, std::move(report.placements_), boot_now());
    }
    wake_waiting(node);
    node.send_state_(held_before == (node.own_lease_epoch_ != 0) ? message_targets::waiting
                                                                 : message_targets::all);
}

/// Serves until a planned stop has ended.
[[noreturn]] void run(entry_settings const& settings, std::string const& settings_file)
{
    metrics counters;
    shared_view shared;
    net::io_context loop{1};
    net::io_context control_loop{1};
    entry_node node{loop, settings, shared, counters};
    node.exchange_.incarnation_ = draw_incarnation();
    node.exchange_.started_at_ = boot_now();
    node.evidence_.first_version_ = node.evidence_.version_ = node.exchange_.incarnation_;
    log_decision("start", {{"vm", settings.vm_},
                           {"incarnation", node.exchange_.incarnation_},
                           {"version", AUBURNCHUTE_VERSION}});

    store_reader reader{control_loop, settings, shared, counters, node.exchange_.incarnation_, {}};
    reader.changed_ = [&] {
        net::post(loop, [&node, &shared] {
            set_members(node, shared.cell_.read([](entry_view const& view) { return view.members_; }));
            wake_waiting(node);
            auto const view = current_view(node);
            if (view.config_ && view.members_read_) {
                // What peers spend is booked from now on, and this VM knows which part of the rates is its
                // own.
                follow_limits(node, *view.config_, boot_now());
            }
            if (auto const next = view.config_next_; next != node.announced_config_) {
                node.announced_config_ = next;
                if (shared.reads_for_all_.load(std::memory_order_acquire)) {
                    node.send_state_(message_targets::all); // those that do not read learn of it at once
                }
            }
        });
    };
    reader.evidence_read_ = [&](std::vector<trait_record> records) {
        net::post(loop, [&node, records = std::move(records)]() mutable {
            take_stored_evidence(node, std::move(records));
        });
    };
    order_keeper keeper{control_loop, settings, shared, counters, {}};
    keeper.report_ = [&](placement_report report) {
        net::post(loop, [&node, report = std::move(report)]() mutable {
            take_placement_report(node, std::move(report));
        });
    };
    keeper.signals_noticed_ = [&](std::string const& id, std::int64_t started_at, answer_signals signals) {
        net::post(loop, [&node, id, started_at, signals] { take_signals(node, id, started_at, signals); });
    };
    demand_sender demand{node, keeper};
    node.need_changed_ = [&demand] { demand.send(); };
    node.lease_end_changed_ = [&keeper](store_position end) {
        net::post(keeper.loop_, [&keeper, end] { take_lease_end(keeper, end); });
    };
    reader.leave_learned_ = [&](message_targets untold) {
        net::post(loop, [&node, untold] { node.send_state_(untold); });
    };
    node.entries_reported_ = [&reader](entry_report report) {
        net::post(reader.loop_, [&reader, report = std::move(report)] { take_report(reader, report); });
    };
    node.leave_noticed_ = [&reader](leave_notice notice) {
        net::post(reader.loop_, [&reader, notice = std::move(notice)] { take_leave(reader, notice); });
    };
    node.keep_evidence_ = [&reader](trait_hash trait, std::optional<trait_record> record) {
        net::post(reader.loop_,
                  [&reader, trait, record = std::move(record)] { keep_evidence(reader, trait, record); });
    };
    reader.plans_changed_ = [&] { net::post(loop, [&node] { node.send_state_(message_targets::all); }); };
    node.offer_plan_ = [&reader](std::string service, version_plan plan) {
        net::post(reader.loop_, [&reader, service = std::move(service), plan = std::move(plan)] {
            offer_plan(reader, service, plan);
        });
    };
    node.reread_upstreams_ = [&reader] { net::post(reader.loop_, [&reader] { reread_upstreams(reader); }); };
    node.stop_placing_ = [&keeper] { net::post(keeper.loop_, [&keeper] { give_up_lease(keeper); }); };
    // Before anything listens: a stop without a handler would end the process by its default action.
    boost::asio::signal_set signals{loop, SIGTERM, SIGINT, SIGHUP};
    serve_callers(node, settings.callers_listen_);
    serve_own_pages(node);
    exchange_with_peers(node);
    keep_versions(node);
    loop_turns turns;
    run_forever(loop, "turns", [&] { return note_turns(turns); });
    run_forever(loop, "signals", [&] { return handle_signals(node, signals, settings_file, turns); });
    run_forever(loop, "demand", [&demand] { return demand.send_regularly(); });
    start_reading(reader);
    start_keeping(keeper, node.exchange_.incarnation_);
    std::thread control{[&control_loop] {
        crash_stack const own_stack;
        control_loop.run();
    }};
    loop.run();
    // The control thread may be busy for longer than the kill is away; it holds nothing that must be kept.
    log_decision("ended", {{"connections", node.sessions_->size()},
                           {"ms", (boot_now() - node.stop_->began_at_).count_}});
    std::_Exit(static_cast<int>(exit_code::done));
}

} // namespace

int main(int argc, char** argv)
{
    // A reload may be asked for before the handlers stand; its default action would end the process.
    std::signal(SIGHUP, SIG_IGN);
    auto const arguments =
        docopt::docopt(usage, {argv + 1, argv + argc}, true, "auburnchute-entry " AUBURNCHUTE_VERSION);
    std::signal(SIGPIPE, SIG_IGN);
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
    init_decision_log();
    init_crash_report(STDOUT_FILENO, [](std::string_view what) {
        log_failure("terminated", {{"fault", what}});
    });
    crash_stack const own_stack;
    try {
        auto const file = arguments.at("--settings").asString();
        auto const settings = load_settings(file);
        if (arguments.at("--check").asBool()) {
            std::cout << "settings of " << settings.values_.vm_ << " are valid\n";
            return static_cast<int>(exit_code::done);
        }
        run(settings.values_, file);
    } catch (std::exception const& failure) {
        log_failure("fatal", {{"fault", failure.what()}});
        std::cerr << "auburnchute-entry: " << failure.what() << '\n';
        return static_cast<int>(exit_code::usage);
    }
}
