#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

namespace auburnchute::tests {

/// \brief Answers one call with a beginning and then with the same bytes, until the caller closes the
/// connection or has taken `most_taken`.
class endless_service {
public:
    static constexpr std::size_t most_taken = std::size_t{32} * 1024 * 1024;

    /// \param again Empty: the connection is closed after the beginning.
    explicit endless_service(std::string start, std::string again = "x")
        : start_{std::move(start)}, again_{std::move(again)}, thread_{[this] { serve(); }}
    {
    }
    ~endless_service()
    {
        if (thread_.joinable()) {
            thread_.join();
        }
    }
    endless_service(endless_service const&) = delete;
    endless_service& operator=(endless_service const&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    /// \brief Waits for the end of the call. \returns Bytes that were sent without end.
    [[nodiscard]] std::size_t taken()
    {
        thread_.join();
        return taken_;
    }

private:
    void serve()
    {
        auto connection = acceptor_.accept();
        std::string request;
        boost::system::error_code closed;
        boost::asio::read_until(connection, boost::asio::dynamic_buffer(request), "\r\n\r\n", closed);
        boost::asio::write(connection, boost::asio::buffer(start_), closed);
        std::string block;
        while (!again_.empty() && block.size() < 50'000) {
            block += again_;
        }
        while (!block.empty() && !closed && taken_ < most_taken) {
            taken_ += boost::asio::write(connection, boost::asio::buffer(block), closed);
        }
    }

    std::string start_;
    std::string again_;
    std::size_t taken_{};
    boost::asio::io_context loop_;
    boost::asio::ip::tcp::acceptor acceptor_{loop_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::thread thread_;
};

} // namespace auburnchute::tests
