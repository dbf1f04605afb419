#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief An address to listen on or to connect to.
struct listen_address {
    std::string ip_; ///< Numeric IPv4 or IPv6 address, without brackets.
    int port_{};     ///< 0 lets the kernel pick a port.

    friend bool operator==(listen_address const&, listen_address const&) = default;
};

/// \returns `IP:PORT`, with brackets around an IPv6 address. Thread safety: pure.
[[nodiscard]] std::string to_string(listen_address const& address);

/// \brief Reads `IP:PORT` or `[IPv6]:PORT`; host names are refused, because addresses come from settings
/// only. \throws error with step `settings` if the text is not an address. Thread safety: pure.
[[nodiscard]] listen_address parse_listen_address(std::string_view text);

/// \brief The settings of one entry daemon, read once at start.
struct settings {
    std::string vm_; ///< Name of this VM, the first part of request ids.
    std::string availability_zone_;
    listen_address callers_; ///< HTTP for callers.
    listen_address peers_;   ///< gRPC for other daemons.
    listen_address admin_;   ///< HTTP for `auburnctl`.
    std::string log_address_;
    std::string vm_list_address_;
    std::string key_salt_;       ///< Equal on the whole fleet; see `salted_digest`.
    std::string operator_token_; ///< Required on the admin interface.
    std::string order_key_;      ///< Signs orders to upstreams that check their sender; empty: no signature.
    std::string trace_file_;     ///< Spans as JSON lines; empty: none.
    std::string log_level_{"info"};
    std::string advertised_callers_; ///< Default: the listen address, as for the two below.
    std::string advertised_peers_;
    std::string advertised_admin_;
    std::string callers_certificate_; ///< PEM files; empty: plain HTTP.
    std::string callers_private_key_;
    std::string peers_certificate_; ///< PEM files; empty: plain gRPC.
    std::string peers_private_key_;
    std::string peers_authority_;
    int max_open_streams_{2000};
    std::int64_t max_body_bytes_{4194304};
    int memory_mb_{};            ///< That the process may take; 0: that of the machine.
    millis entry_ttl_{10'000};   ///< How long callers may keep the answer of `GET /v1/entries`.
    millis stop_grace_{140'000}; ///< From the signal of a planned stop to the end of the process, at most.
};

/// \brief Reads the settings file.
/// \throws error with step `settings` and peer `file:line:column` at the first fault: invalid YAML, an
/// unknown, doubled or missing key, or a value that is not of the key's unit. Thread safety: pure.
///
/// \code
/// auto const own = parse_settings("entry.yaml", text);
/// \endcode
[[nodiscard]] settings parse_settings(std::string_view file_name, std::string_view text);

} // namespace auburnchute
