#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburnchute {

/// \brief One VM of the platform's VM list.
struct listed_vm {
    std::string name_;
    std::string instance_;
    bool is_entry_{};
    std::string address_; ///< `IP:PORT`
    std::string availability_zone_;
    std::int64_t memory_mb_{};
    bool leaving_{};
    bool honours_fencing_{};
    bool checks_sender_{};
};

/// \brief Reads the VM list, which may lag behind.
/// \returns None if it could not be reached or answered nonsense. Thread safety: may be called from any
/// thread.
[[nodiscard]] std::optional<std::vector<listed_vm>> read_vm_list(std::string const& address);

} // namespace auburnchute
