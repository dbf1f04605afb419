#include "transport/engine_client.hpp"

#include "transport/http_client.hpp"

#include <array>
#include <nlohmann/json.hpp>
#include <openssl/hmac.h>

namespace auburnchute {

namespace {

/// Largest answer of an engine to a call, in bytes: a report names its replicas and cached models.
constexpr std::size_t max_engine_answer_bytes = std::size_t{1024} * 1024;

/// Longest name of a software version in bytes, as heartbeats carry it; a longer one counts as none.
constexpr std::size_t max_version_bytes = 128;

load_source parse_source(std::string const& text)
{
    if (text == "memory_cache") {
        return load_source::memory_cache;
    }
    return text == "disk_cache" ? load_source::disk_cache : load_source::store;
}

std::string to_text(load_source source)
{
    switch (source) {
    case load_source::memory_cache:
        return "memory_cache";
    case load_source::disk_cache:
        return "disk_cache";
    case load_source::store:
        break;
    }
    return "store";
}

upstream_report parse_report(nlohmann::json const& json)
{
    upstream_report report;
    report.vm_instance_ = json.value("vm_instance", "");
    report.age_ = {json.value("taken_ms_ago", std::int64_t{0})};
    report.running_ = json.value("running", std::int64_t{0});
    report.waiting_ = json.value("waiting", std::int64_t{0});
    report.leaving_ = json.value("leaving", false);
    report.resumes_streams_ = json.value("resumes_streams", false);
    report.software_version_ = json.value("software_version", "");
    if (report.software_version_.size() > max_version_bytes) {
        report.software_version_.clear();
    }
    for (auto const& item : json.value("replicas", nlohmann::json::array())) {
        report.replicas_.push_back(
            {item.at("replica").get<std::string>(), item.value("status", "") == "loaded"});
    }
    for (auto const& item : json.value("cached", nlohmann::json::array())) {
        report.cached_.emplace_back(item.at("model").get<std::string>(),
                                    parse_source(item.value("source", "")));
    }
    return report;
}

order_result send_order(std::string const& address, std::string const& path, std::string const& body,
                        std::string const& order_key, millis limit)
{
    httplib::Headers headers{{"Content-Type", "application/json"}};
    if (!order_key.empty()) {
        headers.emplace("X-Order-Signature", sign_order(order_key, body));
    }
    http_client client{address, {{1'000}, limit, {2'000}, max_engine_answer_bytes}};
    auto const result =
        client.call({.method_ = "POST", .target_ = path, .headers_ = std::move(headers), .body_ = body});
    if (result) {
        return result.status_ == 200 ? order_result::done : order_result::refused;
    }
    return result.fault_ == call_fault::not_connected ? order_result::not_sent : order_result::unknown;
}

} // namespace

std::string sign_order(std::string const& order_key, std::string const& body)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), order_key.data(), static_cast<int>(order_key.size()),
         reinterpret_cast<unsigned char const*>(body.data()), body.size(), bytes.data(), &size);
    return to_hex({bytes.data(), size});
}

std::optional<upstream_report> read_report(std::string const& address)
{
    http_client client{address, {{300}, {1'000}, {500}, max_engine_answer_bytes}};
    auto const result = client.call({.target_ = "/report"});
    if (!result || result.status_ != 200) {
        return std::nullopt;
    }
    auto const json = nlohmann::json::parse(result.body_, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        return parse_report(json);
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

order_result order_load(std::string const& address, load_order const& order, std::string const& order_key,
                        millis limit)
{
    nlohmann::json const body{{"replica", order.replica_},        {"model", order.model_},
                              {"adapter", order.adapter_},        {"memory_mb", order.memory_mb_},
                              {"source", to_text(order.source_)}, {"fencing", order.fencing_},
                              {"vm_instance", order.vm_instance_}};
    return send_order(address, "/orders/load", body.dump(), order_key, limit);
}

order_result order_unload(std::string const& address, std::string const& replica, std::uint64_t fencing,
                          std::string const& order_key)
{
    nlohmann::json const body{{"replica", replica}, {"fencing", fencing}};
    return send_order(address, "/orders/unload", body.dump(), order_key, {10'000});
}

} // namespace auburnchute
