#pragma once

#include <auburnchute/clock.hpp>
#include <auburnchute/record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburnchute {

/// \brief A replica as its upstream reports it.
struct reported_replica {
    std::string replica_;
    bool loaded_{}; ///< False: still loading.
};

/// \brief A load report; it describes the upstream `age_` ago.
struct upstream_report {
    std::string vm_instance_;
    millis age_{};
    std::int64_t running_{};
    std::int64_t waiting_{};
    bool leaving_{};
    bool resumes_streams_{};
    std::string software_version_; ///< Empty: the upstream names none.
    std::vector<reported_replica> replicas_;
    std::vector<std::pair<std::string, load_source>>
        cached_; ///< `base` or `base:adapter`, and the cache that holds it.
};

/// \brief How an order to an upstream ended.
enum class order_result : std::uint8_t {
    done,
    refused,  ///< The upstream answered that it does not obey; the order can no longer act.
    not_sent, ///< Nothing was written; the order can no longer act.
    unknown   ///< The order may still act.
};

/// \brief Orders to an upstream.
struct load_order {
    std::string replica_;
    std::string model_;
    std::string adapter_;
    std::int64_t memory_mb_{};
    load_source source_{load_source::store};
    std::uint64_t fencing_{};
    std::string vm_instance_;
};

/// \brief Reads an upstream's report. \returns None if it could not be reached or answered nonsense.
/// Thread safety of all functions: may be called from any thread.
[[nodiscard]] std::optional<upstream_report> read_report(std::string const& address);

/// \brief Orders a load and waits for its end. \param order_key Signs the order; empty: unsigned.
[[nodiscard]] order_result order_load(std::string const& address, load_order const& order,
                                      std::string const& order_key, millis limit);

/// \brief Orders an unload and waits for its end.
[[nodiscard]] order_result order_unload(std::string const& address, std::string const& replica,
                                        std::uint64_t fencing, std::string const& order_key);

/// \returns The hexadecimal HMAC-SHA-256 that upstreams check.
[[nodiscard]] std::string sign_order(std::string const& order_key, std::string const& body);

} // namespace auburnchute
