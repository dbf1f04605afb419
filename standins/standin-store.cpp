#include "standin.hpp"

#include <condition_variable>

using namespace standins;

namespace {

constexpr char usage[] = R"(Stand-in for the weight store.

Usage:
  standin-store [options]

Options:
  --listen IP:PORT        Address to bind; port 0 is picked by the kernel [default: 127.0.0.1:0].
  --checkpoints N         Checkpoint transfers at full speed; more share that speed [default: 4].
  --checkpoint-ms MS      Time of a checkpoint transfer at full speed [default: 8000].
  --loads-per-second N    Checkpoint transfers started each second; 0: no limit [default: 1.5].
  --adapters N            Adapter transfers at full speed; more share that speed [default: 32].
  --adapter-ms MS         Time of an adapter transfer at full speed [default: 7].
  --help                  Show this text.
)";

constexpr std::chrono::milliseconds peer_check{50};

/// Transfers of one kind. All that are in transit progress at the same speed, so their progress is one
/// number that grows with time. Not thread-safe.
class transit {
public:
    transit(std::int64_t full_speed, double work_ms) : full_speed_{full_speed}, work_ms_{work_ms} {}

    /// Accounts the time since the last call at the speed that held since then.
    void advance_to(millis now, double delay_factor)
    {
        if (in_transit_ > 0) {
            progress_ += static_cast<double>((now - at_).count_) * speed(delay_factor);
        }
        at_ = now;
    }

    /// \returns The progress at which the new transfer ends.
    double begin()
    {
        ++in_transit_;
        ++started_;
        peak_ = std::max(peak_, in_transit_);
        return progress_ + work_ms_;
    }

    void end(bool finished)
    {
        --in_transit_;
        (finished ? finished_ : abandoned_) += 1;
    }

    [[nodiscard]] bool reached(double end) const noexcept { return progress_ >= end; }

    [[nodiscard]] millis time_until(double end, double delay_factor) const
    {
        return {static_cast<std::int64_t>((end - progress_) / speed(delay_factor)) + 1};
    }

    [[nodiscard]] json counts() const
    {
        return {{"in_transit", in_transit_},
                {"peak", peak_},
                {"started", started_},
                {"finished", finished_},
                {"abandoned", abandoned_}};
    }

private:
    [[nodiscard]] double speed(double delay_factor) const
    {
        auto const share =
            static_cast<double>(full_speed_) / static_cast<double>(std::max<std::int64_t>(1, in_transit_));
        return std::min(1.0, share) / std::max(0.001, delay_factor);
    }

    std::int64_t const full_speed_;
    double const work_ms_;
    double progress_{};
    millis at_{steady_now()};
    std::int64_t in_transit_{};
    std::int64_t peak_{};
    std::int64_t started_{};
    std::int64_t finished_{};
    std::int64_t abandoned_{};
};

/// Thread safety: all members may be called from any thread.
class store {
public:
    store(transit checkpoints, transit adapters, double loads_per_second)
        : checkpoints_{checkpoints}, adapters_{adapters}, loads_per_second_{loads_per_second}
    {
    }

    enum class outcome { finished, outage, abandoned };

    /// Returns when the transfer ended. \param connection Ends the transfer when its peer closes it.
    outcome transfer(bool adapter, int connection)
    {
        std::unique_lock lock{mutex_};
        if (!adapter) {
            if (auto const ended = wait_for_start(lock, connection); ended != outcome::finished) {
                return ended;
            }
        }
        auto& kind = adapter ? adapters_ : checkpoints_;
        kind.advance_to(steady_now(), delay_factor_);
        auto const end = kind.begin();
        changed_.notify_all(); // The others' speed changed.
        auto result = outcome::finished;
        while (!kind.reached(end)) {
            auto const wait = std::min(to_duration(kind.time_until(end, delay_factor_)), peer_check);
            changed_.wait_for(lock, wait);
            kind.advance_to(steady_now(), delay_factor_);
            result = ended_early(connection);
            if (result != outcome::finished) {
                break;
            }
        }
        kind.end(result == outcome::finished);
        changed_.notify_all();
        return result;
    }

    void set_faults(double delay_factor, bool outage)
    {
        std::lock_guard const lock{mutex_};
        checkpoints_.advance_to(steady_now(), delay_factor_);
        adapters_.advance_to(steady_now(), delay_factor_);
        delay_factor_ = delay_factor;
        outage_ = outage;
        changed_.notify_all();
    }

    [[nodiscard]] json counts() const
    {
        std::lock_guard const lock{mutex_};
        return {{"checkpoints", checkpoints_.counts()}, {"adapters", adapters_.counts()}};
    }

private:
    [[nodiscard]] outcome ended_early(int connection) const
    {
        if (outage_) {
            return outcome::outage;
        }
        return connection >= 0 && closed_by_peer(connection) ? outcome::abandoned : outcome::finished;
    }

    /// \returns `finished` when the transfer may start.
    outcome wait_for_start(std::unique_lock<std::mutex>& lock, int connection)
    {
        if (loads_per_second_ <= 0) {
            return ended_early(connection);
        }
        auto const start = std::max(next_start_, steady_now());
        next_start_ = start + millis{static_cast<std::int64_t>(1000 / loads_per_second_)};
        for (;;) {
            auto const ended = ended_early(connection);
            auto const now = steady_now();
            if (ended != outcome::finished || now >= start) {
                return ended;
            }
            changed_.wait_for(lock, std::min(to_duration(start - now), peer_check));
        }
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    transit checkpoints_;
    transit adapters_;
    double const loads_per_second_;
    millis next_start_{};
    double delay_factor_{1};
    bool outage_{};
};

int run_store(std::map<std::string, docopt::value> const& arguments)
{
    auto const number = [&](char const* name) { return std::stod(arguments.at(name).asString()); };
    store weights{transit{arguments.at("--checkpoints").asLong(), number("--checkpoint-ms")},
                  transit{arguments.at("--adapters").asLong(), number("--adapter-ms")},
                  number("--loads-per-second")};
    fault_set* set = nullptr;
    fault_set faults{json{{"delay_factor", 1.0}, {"outage", false}},
                     [&] { weights.set_faults(set->factor("delay_factor"), set->flag("outage")); }};
    set = &faults;

    httplib::Server server;
    faults.serve_on(server);
    server.Post("/v1/transfers", [&](httplib::Request const& req, httplib::Response& res) {
        auto const body = json::parse(req.body);
        auto const kind = body.at("kind").get<std::string>();
        auto const name = body.at("name").get<std::string>();
        if (kind != "checkpoint" && kind != "adapter") {
            return refuse(res, 400, "bad_request", "kind is neither checkpoint nor adapter");
        }
        auto const began = steady_now();
        if (weights.transfer(kind == "adapter", connection_of(req)) != store::outcome::finished) {
            return refuse(res, 503, "outage", "the weight store is not available");
        }
        answer(res, {{"kind", kind}, {"name", name}, {"duration_ms", (steady_now() - began).count_}});
    });
    server.Get("/v1/transfers",
               [&](httplib::Request const&, httplib::Response& res) { answer(res, weights.counts()); });
    return serve(server, arguments.at("--listen").asString(), 256);
}

} // namespace

int main(int argc, char** argv)
{
    return run(usage, argc, argv, run_store);
}
