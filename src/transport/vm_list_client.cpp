#include "transport/vm_list_client.hpp"

#include "transport/http_client.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace auburnchute {

namespace {

/// Largest list of VMs: 10,000 servers of less than 1 KiB each, with room.
constexpr std::size_t max_vm_list_bytes = std::size_t{16} * 1024 * 1024;

} // namespace

std::optional<std::vector<listed_vm>> read_vm_list(std::string const& address)
{
    http_client client{address, {{500}, {2'000}, {1'000}, max_vm_list_bytes}};
    auto const result = client.call({.target_ = "/v1/vms"});
    if (!result || result.status_ != 200) {
        return std::nullopt;
    }
    auto const json = nlohmann::json::parse(result.body_, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    try {
        std::vector<listed_vm> vms;
        for (auto const& item : json.at("vms")) {
            listed_vm vm;
            vm.name_ = item.at("name").get<std::string>();
            vm.instance_ = item.at("instance").get<std::string>();
            vm.is_entry_ = item.at("role").get<std::string>() == "entry";
            vm.address_ = item.value("address", "");
            vm.availability_zone_ = item.value("availability_zone", "");
            vm.memory_mb_ = item.value("memory_mb", std::int64_t{0});
            vm.leaving_ = item.value("leaving", false);
            vm.honours_fencing_ = item.value("honours_fencing", false);
            vm.checks_sender_ = item.value("checks_sender", false);
            vms.push_back(std::move(vm));
        }
        return vms;
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace auburnchute
