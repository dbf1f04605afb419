#pragma once

#include "transport/entry/async.hpp"

#include <auburnchute/answer_ledger.hpp>
#include <auburnchute/clock.hpp>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief A connection to an upstream, used by one request at a time.
struct upstream_connection {
    explicit upstream_connection(net::io_context& loop) : stream_{loop} {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_{max_unparsed_bytes};
    std::string upstream_id_;
    bool idle_{};
    bool reused_{};
    millis idle_since_{};
    millis keep_{}; ///< How long it may stay idle.
};

/// \brief Kept connections to upstreams.
///
/// An idle connection is watched: it leaves the pool when the upstream closes it or sends bytes that belong
/// to no request. Thread safety: all calls come from the loop's thread.
class upstream_pool {
public:
    explicit upstream_pool(net::io_context& loop) : loop_{&loop} {}

    /// \brief Takes an idle connection, or none.
    /// \param longest_idle Connections that were idle for longer are closed in place of being used.
    [[nodiscard]] std::shared_ptr<upstream_connection> take_idle(std::string const& upstream_id,
                                                                 millis longest_idle);

    /// \returns A connection that is not open yet.
    [[nodiscard]] std::shared_ptr<upstream_connection> make(std::string const& upstream_id) const;

    /// \brief Opens a connection; closing its socket ends the attempt. \param fault Set if it fails within
    /// the limit.
    static net::awaitable<void> open(std::shared_ptr<upstream_connection> connection, std::string address,
                                     millis limit, error_code& fault);

    /// \brief Keeps a connection for later requests. \pre Its last answer was read whole.
    void keep(std::shared_ptr<upstream_connection> connection, millis keep_alive);

    /// \brief Closes the idle connections of an upstream that has left.
    void forget(std::string const& upstream_id);

private:
    net::awaitable<void> watch_idle(std::shared_ptr<upstream_connection> connection);
    void remove(upstream_connection const& connection);

    net::io_context* loop_;
    std::map<std::string, std::vector<std::shared_ptr<upstream_connection>>, std::less<>> idle_;
};

} // namespace auburnchute
