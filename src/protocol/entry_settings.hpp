#pragma once

#include <auburnchute/clock.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace auburnchute {

/// \brief Settings of an entry daemon on the users' platform, in YAML; `deploy/entry.yaml.in` renders
/// them. Times are keys with the suffix `_ms` or `_s`.
struct entry_settings {
    std::string vm_;
    std::string ip_;
    std::string availability_zone_;
    bool first_start_{};                  ///< The whole system starts for the first time.
    double processor_share_{1.0};         ///< Part of a core that the VM may use.
    std::string callers_listen_;          ///< `IP:PORT` for callers.
    std::string ready_listen_;            ///< `IP:PORT` for the platform's readiness checks.
    std::string directory_listen_;        ///< `IP:PORT` for callers that ask which address to use.
    int peer_port_{};                     ///< UDP, for messages between entry daemons.
    int metrics_port_{};                  ///< TCP on all addresses of the VM; 0: none.
    std::string store_address_;           ///< `IP:PORT` of the platform's store.
    millis config_in_force_{2'000};       ///< Time within which a confirmed configuration is in force.
    millis leave_in_force_{2'000};        ///< Time within which no VM sends to an upstream that leaves.
    millis key_withdrawal_{5'000};        ///< Time after which a withdrawn key no longer works anywhere.
    millis order_lease_{3'000};           ///< Least time between orders of two holders.
    millis shutdown_grace_{8'000};        ///< Time between the stop signal and the kill.
    millis directory_lifetime_{5'000};    ///< Longest time for which callers keep a directory answer.
    double retry_ratio_{0.2};             ///< Retries over requests, all VMs together.
    double retry_extra_{10};              ///< Retries at once on top of the ratio, all VMs together.
    millis load_window_{5'000};           ///< Window of the weight store's limit.
    std::vector<std::string> agreements_; ///< Terms agreed with the platform, in its words; see
                                          ///< `platform::names_contested_load`.
    double memory_mb_{};                  ///< Memory that the process may take; 0: not stated.
    double max_descriptors_{};            ///< Descriptors that the process may open; 0: not stated.
};

/// \brief What reading the settings found besides the values.
struct entry_settings_file {
    entry_settings values_;
    std::vector<std::string> unknown_; ///< Keys that are not known and were ignored.
};

/// \brief Reads the settings.
/// \throws error with step `settings` and peer `file:line:column` for invalid YAML, a missing key or a value
/// of another type. Thread safety: pure.
[[nodiscard]] entry_settings_file parse_entry_settings(std::string_view file_name, std::string_view text);

} // namespace auburnchute
