#include "protocol/entry_settings.hpp"

#include <auburnchute/error.hpp>

#include <functional>
#include <map>
#include <yaml-cpp/yaml.h>

namespace auburnchute {

namespace {

std::string place(std::string_view file, YAML::Mark const& mark)
{
    return std::string{file} + ":" + std::to_string(mark.line + 1) + ":" + std::to_string(mark.column + 1);
}

template <typename T>
T value_of(std::string_view file, std::string const& key, YAML::Node const& node)
{
    try {
        return node.as<T>();
    } catch (YAML::Exception const&) {
        throw error{"settings", place(file, node.Mark()), key + ": the value has another type"};
    }
}

/// Writes the value of one key, and says whether the key must be there.
struct known_key {
    bool required_{};
    std::function<void(YAML::Node const&)> take_;
};

std::map<std::string, known_key> known_keys(std::string_view file, entry_settings& into)
{
    std::map<std::string, known_key> keys;
    auto const add = [&](std::string const& key, bool required, auto& target) {
        using type = std::remove_reference_t<decltype(target)>;
        keys[key] = {required, [file, key, &target](YAML::Node const& node) {
                         if constexpr (std::is_same_v<type, millis>) {
                             auto const scale = key.ends_with("_s") ? 1'000.0 : 1.0;
                             target =
                                 millis{static_cast<std::int64_t>(value_of<double>(file, key, node) * scale)};
                             if (target < millis{0}) {
                                 throw error{"settings", place(file, node.Mark()), key + ": below zero"};
                             }
                         } else {
                             target = value_of<type>(file, key, node);
                         }
                     }};
    };
    add("vm", true, into.vm_);
    add("ip", true, into.ip_);
    add("availability_zone", true, into.availability_zone_);
    add("first_start", false, into.first_start_);
    add("processor_share", false, into.processor_share_);
    add("callers_listen", true, into.callers_listen_);
    add("ready_listen", true, into.ready_listen_);
    add("directory_listen", true, into.directory_listen_);
    add("peer_port", true, into.peer_port_);
    add("metrics_port", false, into.metrics_port_);
    add("store_address", true, into.store_address_);
    add("config_in_force_ms", false, into.config_in_force_);
    add("leave_in_force_ms", false, into.leave_in_force_);
    add("key_withdrawal_ms", false, into.key_withdrawal_);
    add("order_lease_ms", false, into.order_lease_);
    add("shutdown_grace_s", false, into.shutdown_grace_);
    add("directory_lifetime_s", false, into.directory_lifetime_);
    add("retry_ratio", false, into.retry_ratio_);
    add("retry_extra", false, into.retry_extra_);
    add("load_window_s", false, into.load_window_);
    add("agreements", false, into.agreements_);
    add("memory_mb", false, into.memory_mb_);
    add("max_descriptors", false, into.max_descriptors_);
    return keys;
}

} // namespace

entry_settings_file parse_entry_settings(std::string_view file_name, std::string_view text)
{
    YAML::Node root;
    try {
        root = YAML::Load(std::string{text});
    } catch (YAML::Exception const& fault) {
        throw error{"settings", place(file_name, fault.mark), fault.msg};
    }
    if (!root.IsMap()) {
        throw error{"settings", file_name, "expected a map of keys"};
    }
    entry_settings_file read;
    auto keys = known_keys(file_name, read.values_);
    for (auto const& entry : root) {
        if (!entry.first.IsScalar()) {
            throw error{"settings", place(file_name, entry.first.Mark()), "expected a key"};
        }
        auto const key = entry.first.Scalar();
        auto const known = keys.find(key);
        if (known == keys.end()) {
            read.unknown_.push_back(key);
        } else if (!entry.second.IsNull()) {
            known->second.take_(entry.second);
            keys.erase(known);
        }
    }
    for (auto const& [key, known] : keys) {
        if (known.required_) {
            throw error{"settings", file_name, key + ": missing"};
        }
    }
    return read;
}

} // namespace auburnchute
