#include "transport/entry/upstream_pool.hpp"

#include <algorithm>

namespace auburnchute {

namespace {

/// Silence after which a connection to an upstream counts as lost: retransmissions and probes go unanswered.
constexpr millis upstream_silence{3'000};

/// Idle connections kept for each upstream; each costs a descriptor at both ends.
constexpr std::size_t max_idle = 8;

void close(upstream_connection& connection)
{
    error_code ignored; // closing a dead socket may fail; it is gone either way
    connection.stream_.socket().close(ignored);
}

} // namespace

std::shared_ptr<upstream_connection> upstream_pool::take_idle(std::string const& upstream_id,
                                                              millis longest_idle)
{
    auto const found = idle_.find(upstream_id);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    auto const now = boot_now();
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        connection->idle_ = false;
        error_code ignored; // ends the watch; a failure shows at the next use
        connection->stream_.socket().cancel(ignored);
        if (now - connection->idle_since_ < std::min(longest_idle, connection->keep_)) {
            connection->reused_ = true;
            return connection;
        }
        close(*connection);
    }
    return nullptr;
}

std::shared_ptr<upstream_connection> upstream_pool::make(std::string const& upstream_id) const
{
    auto connection = std::make_shared<upstream_connection>(*loop_);
    connection->upstream_id_ = upstream_id;
    return connection;
}

net::awaitable<void> upstream_pool::open(std::shared_ptr<upstream_connection> connection, std::string address,
                                         millis limit, error_code& fault)
{
    connection->stream_.expires_after(to_chrono(limit));
    co_await connection->stream_.async_connect(parse_endpoint(address), outcome_in(fault));
    if (!fault) {
        set_liveness(connection->stream_.socket(), upstream_silence);
    }
}

void upstream_pool::keep(std::shared_ptr<upstream_connection> connection, millis keep_alive)
{
    auto& kept = idle_[connection->upstream_id_];
    if (kept.size() >= max_idle) {
        close(*kept.front());
        kept.erase(kept.begin());
    }
    connection->idle_ = true;
    connection->idle_since_ = boot_now();
    connection->keep_ = keep_alive;
    connection->stream_.expires_never();
    kept.push_back(connection);
    net::co_spawn(*loop_, watch_idle(std::move(connection)), report_failure);
}

void upstream_pool::forget(std::string const& upstream_id)
{
    auto const found = idle_.find(upstream_id);
    if (found == idle_.end()) {
        return;
    }
    for (auto const& connection : found->second) {
        connection->idle_ = false;
        close(*connection);
    }
    idle_.erase(found);
}

net::awaitable<void> upstream_pool::watch_idle(std::shared_ptr<upstream_connection> connection)
{
    auto const since = connection->idle_since_;
    error_code outcome;
    co_await connection->stream_.socket().async_wait(tcp::socket::wait_read, outcome_in(outcome));
    // Readable while idle: the upstream closed it, or sent bytes that no request waits for.
    if (connection->idle_ && connection->idle_since_ == since && outcome != net::error::operation_aborted) {
        close(*connection);
        remove(*connection);
    }
}

void upstream_pool::remove(upstream_connection const& connection)
{
    auto const found = idle_.find(connection.upstream_id_);
    if (found != idle_.end()) {
        std::erase_if(found->second, [&](auto const& kept) { return kept.get() == &connection; });
    }
}

} // namespace auburnchute
