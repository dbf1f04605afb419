#include "standin.hpp"

#include <condition_variable>
#include <openssl/evp.h>
#include <optional>

using namespace standins;

namespace {

constexpr char usage[] = R"(Stand-in for the platform's append-only log service.

Usage:
  standin-log [options]

Options:
  --listen IP:PORT          Address to bind; port 0 is picked by the kernel [default: 127.0.0.1:0].
  --appends-per-second N    Appends accepted each second [default: 400].
  --retention N             Records kept [default: 1000000].
  --help                    Show this text.
)";

constexpr std::size_t max_record_bytes = 1 << 20;
/// Bounds the memory that one answer takes; a reader asks again for the rest.
constexpr std::size_t max_answer_bytes = 8 << 20;
constexpr std::int64_t max_wait_ms = 30'000;

std::string base64(std::string const& data)
{
    std::string text(4 * ((data.size() + 2) / 3) + 1, '\0');
    auto const size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(data.data()), static_cast<int>(data.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

struct stored_record {
    std::int64_t time_ms_{};
    std::string data_;
};

struct append_result {
    std::uint64_t offset_{};
    std::int64_t time_ms_{};
};

/// The records and the append rate. Thread safety: all members may be called from any thread.
class record_log {
public:
    record_log(double appends_per_second, std::int64_t retention)
        : default_rate_{appends_per_second}, default_retention_{retention}
    {
    }

    /// Returns nothing if the append is above the rate.
    std::optional<append_result> append(std::string data)
    {
        std::lock_guard const lock{mutex_};
        if (!take_append()) {
            return std::nullopt;
        }
        auto const wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
        last_time_ms_ = std::max<std::int64_t>(last_time_ms_, wall);
        records_.push_back({last_time_ms_, std::move(data)});
        append_result const result{first_ + records_.size() - 1, last_time_ms_};
        drop_old();
        changed_.notify_all();
        return result;
    }

    json read(std::uint64_t from, std::size_t max, millis wait)
    {
        std::unique_lock lock{mutex_};
        auto const outages = outages_;
        changed_.wait_for(lock, to_duration(wait),
                          [&] { return from < first_ + records_.size() || outages != outages_; });
        json records = json::array();
        std::size_t bytes = 0;
        if (from >= first_) {
            for (auto i = static_cast<std::size_t>(from - first_);
                 i < records_.size() && records.size() < max && bytes < max_answer_bytes; ++i) {
                bytes += records_[i].data_.size();
                records.push_back({{"offset", first_ + i},
                                   {"time_ms", records_[i].time_ms_},
                                   {"data", base64(records_[i].data_)}});
            }
        }
        return {{"first", first_}, {"next", first_ + records_.size()}, {"records", std::move(records)}};
    }

    /// Takes over changed limits; waiting reads end if an outage began.
    void set_limits(double appends_per_second, std::int64_t retention, bool outage)
    {
        std::lock_guard const lock{mutex_};
        rate_ = appends_per_second >= 0 ? appends_per_second : default_rate_;
        retention_ = retention >= 0 ? retention : default_retention_;
        outages_ += outage ? 1 : 0;
        drop_old();
        changed_.notify_all();
    }

private:
    bool take_append()
    {
        // A quarter of a second's appends may come at once.
        auto const capacity = rate_ > 0 ? std::max(1.0, rate_ / 4) : 0.0;
        auto const now = steady_now();
        tokens_ =
            std::min(capacity, tokens_ + rate_ * static_cast<double>((now - refilled_).count_) / 1000.0);
        refilled_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

    void drop_old()
    {
        while (records_.size() > static_cast<std::size_t>(retention_)) {
            records_.pop_front();
            ++first_;
        }
    }

    double const default_rate_;
    std::int64_t const default_retention_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<stored_record> records_;
    std::uint64_t first_{};
    std::int64_t last_time_ms_{};
    double rate_{default_rate_};
    std::int64_t retention_{default_retention_};
    double tokens_{1};
    millis refilled_{};
    std::uint64_t outages_{};
};

std::uint64_t number_param(httplib::Request const& req, char const* name, std::uint64_t otherwise)
{
    return req.has_param(name) ? std::stoull(req.get_param_value(name)) : otherwise;
}

int run_log(std::map<std::string, docopt::value> const& arguments)
{
    record_log log{std::stod(arguments.at("--appends-per-second").asString()),
                   arguments.at("--retention").asLong()};
    fault_set* set = nullptr;
    fault_set faults{{{"outage", false},
                      {"append_outage", false},
                      {"delay_ms", 0},
                      {"lose_acks", 0},
                      {"retention", -1},
                      {"appends_per_second", -1.0}},
                     [&] {
                         log.set_limits(set->factor("appends_per_second"), set->number("retention"),
                                        set->flag("outage"));
                     }};
    set = &faults;

    httplib::Server server;
    server.set_payload_max_length(2 * max_record_bytes);
    faults.serve_on(server);
    server.Post("/v1/records", [&](httplib::Request const& req, httplib::Response& res) {
        std::this_thread::sleep_for(to_duration({faults.number("delay_ms")}));
        if (faults.flag("outage") || faults.flag("append_outage")) {
            return refuse(res, 503, "outage", "the log service is not available");
        }
        if (req.body.size() > max_record_bytes) {
            return refuse(res, 413, "too_large", "a record has at most 1 MiB");
        }
        auto const appended = log.append(req.body);
        if (!appended) {
            return refuse(res, 429, "append_rate", "above the append rate");
        }
        if (faults.take("lose_acks")) {
            return drop_connection(req);
        }
        answer(res, {{"offset", appended->offset_}, {"time_ms", appended->time_ms_}});
    });
    server.Get("/v1/records", [&](httplib::Request const& req, httplib::Response& res) {
        std::this_thread::sleep_for(to_duration({faults.number("delay_ms")}));
        auto const refuse_if_down = [&] {
            if (faults.flag("outage")) {
                refuse(res, 503, "outage", "the log service is not available");
                return true;
            }
            return false;
        };
        if (refuse_if_down()) {
            return;
        }
        auto const wait =
            std::min<std::int64_t>(max_wait_ms, static_cast<std::int64_t>(number_param(req, "wait_ms", 0)));
        auto const read = log.read(number_param(req, "from", 0), number_param(req, "max", 1000), {wait});
        if (!refuse_if_down()) {
            answer(res, read);
        }
    });
    return serve(server, arguments.at("--listen").asString(), 256);
}

} // namespace

int main(int argc, char** argv)
{
    return run(usage, argc, argv, run_log);
}
