#include "protocol/settings.hpp"

#include <auburnchute/error.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <initializer_list>
#include <set>
#include <yaml-cpp/yaml.h>

namespace auburnchute {

namespace {

bool is_ip(std::string const& ip) noexcept
{
    in6_addr ignored{};
    return inet_pton(AF_INET, ip.c_str(), &ignored) == 1 || inet_pton(AF_INET6, ip.c_str(), &ignored) == 1;
}

template <typename Number>
bool read_number(std::string_view text, Number& value) noexcept
{
    auto const result = std::from_chars(text.data(), text.data() + text.size(), value);
    return !text.empty() && result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

/// Reads one file; each function names the key and the expected unit when it refuses.
class reader {
public:
    explicit reader(std::string_view file) : file_{file} {}

    settings run(std::string_view text)
    {
        auto const root = load(text);
        check_keys(root, "",
                   {"vm", "availability_zone", "callers", "peers", "admin", "log", "vm_list", "key_salt",
                    "operator_token", "order_key", "traces", "log_level", "stop_grace_ms", "memory_mb"});
        settings own;
        own.vm_ = name(root, "vm");
        own.availability_zone_ = name(root, "availability_zone");
        read_callers(section(root, "callers"), own);
        read_peers(section(root, "peers"), own);
        auto const admin = section(root, "admin");
        check_keys(admin, "admin.", {"listen", "advertise"});
        own.admin_ = listen(admin, "admin.");
        own.advertised_admin_ = advertise(admin, "admin.", own.admin_);
        own.log_address_ = remote(root, "log");
        own.vm_list_address_ = remote(root, "vm_list");
        own.key_salt_ = secret(root, "key_salt", 8);
        own.operator_token_ = secret(root, "operator_token", 16);
        own.order_key_ = root["order_key"] ? secret(root, "order_key", 16) : std::string{};
        if (auto const traces = optional_section(root, "traces")) {
            check_keys(traces, "traces.", {"file"});
            own.trace_file_ = text_of(traces, "traces.", "file", "a path");
        }
        if (root["log_level"]) {
            own.log_level_ = level(root);
        }
        read_amount<std::int64_t>(root, "", "stop_grace_ms", "milliseconds", 3'600'000,
                                  own.stop_grace_.count_);
        read_amount(root, "", "memory_mb", "megabytes", 1'000'000, own.memory_mb_);
        return own;
    }

private:
    [[noreturn]] void refuse(YAML::Mark const& mark, std::string const& message) const
    {
        // yaml-cpp counts from 0 and gives a null mark for a missing node.
        auto const place = mark.is_null() ? file_ + ":1:1"
                                          : file_ + ":" + std::to_string(mark.line + 1) + ":" +
                                                std::to_string(mark.column + 1);
        throw error{"settings", place, message};
    }

    YAML::Node load(std::string_view text) const
    {
        try {
            auto root = YAML::Load(std::string{text});
            if (!root.IsMap()) {
                refuse(root.Mark(), "expected keys with values; see the settings page of docs/OPERATING.md");
            }
            return root;
        } catch (YAML::Exception const& fault) {
            refuse(fault.mark, fault.msg);
        }
    }

    void check_keys(YAML::Node const& map, std::string const& prefix,
                    std::initializer_list<std::string_view> known) const
    {
        std::set<std::string> seen;
        for (auto const& entry : map) {
            auto const& key = entry.first;
            if (!key.IsScalar()) {
                refuse(key.Mark(), "expected a key");
            }
            if (std::find(known.begin(), known.end(), key.Scalar()) == known.end()) {
                std::string names;
                for (auto const one : known) {
                    names.append(names.empty() ? "" : ", ").append(one);
                }
                refuse(key.Mark(), "unknown key `" + prefix + key.Scalar() + "`; known here: " + names);
            }
            if (!seen.insert(key.Scalar()).second) {
                refuse(key.Mark(), "key `" + prefix + key.Scalar() + "` stands twice");
            }
        }
    }

    YAML::Node optional_section(YAML::Node const& root, std::string const& key) const
    {
        auto const found = root[key];
        if (found && !found.IsMap()) {
            refuse(found.Mark(), "`" + key + "`: expected a section with keys");
        }
        return found;
    }

    YAML::Node section(YAML::Node const& root, std::string const& key) const
    {
        auto const found = optional_section(root, key);
        if (!found) {
            refuse(root.Mark(), "the section `" + key + "` is missing");
        }
        return found;
    }

    /// \returns The value; `expected` states the unit for the message.
    std::string text_of(YAML::Node const& map, std::string const& prefix, std::string const& key,
                        std::string const& expected) const
    {
        auto const found = map[key];
        if (!found) {
            refuse(map.Mark(), "`" + prefix + key + "` is missing; expected " + expected);
        }
        if (!found.IsScalar() || found.Scalar().empty()) {
            refuse(found.Mark(), "`" + prefix + key + "`: expected " + expected);
        }
        return found.Scalar();
    }

    std::string name(YAML::Node const& root, std::string const& key) const
    {
        // The VM's name is part of header values and request ids.
        constexpr std::string_view expected =
            "a name of up to 63 letters, digits, dots, hyphens and underscores";
        auto value = text_of(root, "", key, std::string{expected});
        bool const plain = std::all_of(value.begin(), value.end(), [](unsigned char c) {
            return c < 0x80 && (std::isalnum(c) != 0 || c == '.' || c == '-' || c == '_');
        });
        if (!plain || value.size() > 63) {
            refuse(root[key].Mark(), "`" + key + "`: expected " + std::string{expected});
        }
        return value;
    }

    std::string secret(YAML::Node const& root, std::string const& key, std::size_t least) const
    {
        auto const expected = "a text of at least " + std::to_string(least) + " characters";
        auto value = text_of(root, "", key, expected);
        if (value.size() < least) {
            refuse(root[key].Mark(), "`" + key + "`: expected " + expected);
        }
        return value;
    }

    std::string level(YAML::Node const& root) const
    {
        constexpr std::string_view expected = "trace, debug, info, warning or error";
        auto value = text_of(root, "", "log_level", std::string{expected});
        if (value != "trace" && value != "debug" && value != "info" && value != "warning" &&
            value != "error") {
            refuse(root["log_level"].Mark(), "`log_level`: expected " + std::string{expected});
        }
        return value;
    }

    listen_address address(YAML::Node const& map, std::string const& prefix, std::string const& key) const
    {
        auto const text = text_of(map, prefix, key, "an address IP:PORT");
        try {
            return parse_listen_address(text);
        } catch (error const&) {
            refuse(map[key].Mark(),
                   "`" + prefix + key + "`: expected an address IP:PORT, got `" + text + "`");
        }
    }

    listen_address listen(YAML::Node const& map, std::string const& prefix) const
    {
        return address(map, prefix, "listen");
    }

    std::string advertise(YAML::Node const& map, std::string const& prefix,
                          listen_address const& listened) const
    {
        return map["advertise"] ? connectable(map, prefix, "advertise") : to_string(listened);
    }

    /// An address to connect to: its port cannot be left to the kernel.
    std::string connectable(YAML::Node const& map, std::string const& prefix, std::string const& key) const
    {
        auto const value = address(map, prefix, key);
        if (value.port_ == 0) {
            refuse(map[key].Mark(), "`" + prefix + key + "`: expected a port from 1 to 65535");
        }
        return to_string(value);
    }

    std::string remote(YAML::Node const& root, std::string const& key) const
    {
        auto const map = section(root, key);
        check_keys(map, key + ".", {"address"});
        return connectable(map, key + ".", "address");
    }

    template <typename Number>
    void read_amount(YAML::Node const& map, std::string const& prefix, std::string const& key,
                     std::string const& unit, Number most, Number& value) const
    {
        if (!map[key]) {
            return;
        }
        auto const expected = "a whole number of " + unit + " from 1 to " + std::to_string(most);
        auto const text = text_of(map, prefix, key, expected);
        if (!read_number(text, value) || value < 1 || value > most) {
            refuse(map[key].Mark(), "`" + prefix + key + "`: expected " + expected);
        }
    }

    std::string path(YAML::Node const& map, std::string const& prefix, std::string const& key) const
    {
        return map[key] ? text_of(map, prefix, key, "a path") : std::string{};
    }

    void read_callers(YAML::Node const& map, settings& own) const
    {
        check_keys(map, "callers.",
                   {"listen", "advertise", "certificate", "private_key", "max_open_streams", "max_body_bytes",
                    "entry_ttl_ms"});
        own.callers_ = listen(map, "callers.");
        own.advertised_callers_ = advertise(map, "callers.", own.callers_);
        own.callers_certificate_ = path(map, "callers.", "certificate");
        own.callers_private_key_ = path(map, "callers.", "private_key");
        if (own.callers_certificate_.empty() != own.callers_private_key_.empty()) {
            refuse(map.Mark(),
                   "`callers.certificate` and `callers.private_key`: state both (TLS) or neither (plain)");
        }
        read_amount(map, "callers.", "max_open_streams", "streams", 100'000, own.max_open_streams_);
        read_amount<std::int64_t>(map, "callers.", "max_body_bytes", "bytes", 1'073'741'824,
                                  own.max_body_bytes_);
        read_amount<std::int64_t>(map, "callers.", "entry_ttl_ms", "milliseconds", 3'600'000,
                                  own.entry_ttl_.count_);
    }

    void read_peers(YAML::Node const& map, settings& own) const
    {
        check_keys(map, "peers.", {"listen", "advertise", "certificate", "private_key", "authority"});
        own.peers_ = listen(map, "peers.");
        own.advertised_peers_ = advertise(map, "peers.", own.peers_);
        own.peers_certificate_ = path(map, "peers.", "certificate");
        own.peers_private_key_ = path(map, "peers.", "private_key");
        own.peers_authority_ = path(map, "peers.", "authority");
        bool const plain = own.peers_certificate_.empty();
        if (own.peers_private_key_.empty() != plain || own.peers_authority_.empty() != plain) {
            refuse(map.Mark(),
                   "`peers.certificate`, `peers.private_key` and `peers.authority`: state all (TLS) or "
                   "none (plain)");
        }
    }

    std::string file_;
};

} // namespace

std::string to_string(listen_address const& address)
{
    bool const v6 = address.ip_.find(':') != std::string::npos;
    return (v6 ? "[" + address.ip_ + "]" : address.ip_) + ":" + std::to_string(address.port_);
}

listen_address parse_listen_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    listen_address address;
    auto ip = text.substr(0, colon);
    bool const bracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (bracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    address.ip_ = ip;
    bool const v6 = ip.find(':') != std::string_view::npos;
    if (colon == std::string_view::npos || v6 != bracketed || !is_ip(address.ip_) ||
        !read_number(text.substr(colon + 1), address.port_) || address.port_ < 0 || address.port_ > 65'535) {
        throw error{"settings", "", "expected an address IP:PORT, got `" + std::string{text} + "`"};
    }
    return address;
}

settings parse_settings(std::string_view file_name, std::string_view text)
{
    return reader{file_name}.run(text);
}

} // namespace auburnchute
