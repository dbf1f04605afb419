#include "transport/entry/own_answer.hpp"

#include "platform/headers.hpp"

#include <array>
#include <cstdio>

namespace auburnchute {

boost::beast::http::response<boost::beast::http::string_body> to_message(own_answer const& answer,
                                                                         std::string_view request_id)
{
    namespace http = boost::beast::http;
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(answer.status_));
    message.set(http::field::content_type, "text/plain");
    if (!request_id.empty()) {
        platform::set_request_id(message, request_id);
    }
    if (answer.retry_after_ >= millis{0}) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3f",
                      static_cast<double>(answer.retry_after_.count_) / 1'000.0);
        message.set(http::field::retry_after, text.data());
    }
    message.body() = std::string{answer.reason_} + "\n";
    message.prepare_payload();
    return message;
}

} // namespace auburnchute
