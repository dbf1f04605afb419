#include "transport/log_client.hpp"

#include "transport/http_client.hpp"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <utility>

namespace auburnchute {

namespace {

/// Largest page of records, in bytes.
constexpr std::size_t max_page_bytes = std::size_t{64} * 1024 * 1024;

/// \returns None if the text is not Base64.
std::optional<std::string> base64_decode(std::string const& text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    auto const size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<unsigned char const*>(text.data()), static_cast<int>(text.size()));
    if (size < 0 || text.size() % 4 != 0) {
        return std::nullopt;
    }
    // The decoder counts padding as zero bytes.
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

std::optional<log_page> parse_page(std::string const& body)
{
    auto const json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("records")) {
        return std::nullopt;
    }
    try {
        log_page page{json.at("first").get<std::uint64_t>(), json.at("next").get<std::uint64_t>(), {}};
        for (auto const& item : json.at("records")) {
            auto data = base64_decode(item.at("data").get_ref<std::string const&>());
            if (!data) {
                return std::nullopt;
            }
            page.entries_.push_back({item.at("offset").get<std::uint64_t>(),
                                     {item.at("time_ms").get<std::int64_t>()},
                                     std::move(*data)});
        }
        return page;
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace

log_client::log_client(std::string address) : address_{std::move(address)} {}

bool log_client::append(std::string_view data) const
{
    http_client client{address_, {{500}, {2'000}, {2'000}}};
    auto const result = client.call({.method_ = "POST",
                                     .target_ = "/v1/records",
                                     .headers_ = {{"Content-Type", "application/octet-stream"}},
                                     .body_ = data});
    return result && result.status_ == 200;
}

std::optional<log_page> log_client::read(std::uint64_t from, std::size_t max, millis wait) const
{
    http_client client{address_, {{500}, wait + millis{1'500}, {1'000}, max_page_bytes}};
    auto const path = "/v1/records?from=" + std::to_string(from) + "&max=" + std::to_string(max) +
                      "&wait_ms=" + std::to_string(wait.count_);
    auto const result = client.call({.target_ = path});
    if (!result || result.status_ != 200) {
        return std::nullopt;
    }
    return parse_page(result.body_);
}

} // namespace auburnchute
