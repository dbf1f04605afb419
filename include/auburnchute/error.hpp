#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace auburnchute {

/// \brief An error with the step that failed and the peer involved.
///
/// \code
/// throw error{"connect", "10.0.0.7:8000", "connection refused"};
/// // what(): "connect 10.0.0.7:8000: connection refused"
/// \endcode
/// Thread safety: an object may be read from several threads.
class error : public std::runtime_error {
public:
    /// \brief Constructs an error. \pre `step` is not empty; `peer` may be empty if no peer is involved.
    error(std::string_view step, std::string_view peer, std::string_view message)
        : std::runtime_error{format(step, peer, message)}, step_{step}, peer_{peer}
    {
    }

    /// \returns The step that failed, for example `connect` or `authenticate`.
    [[nodiscard]] std::string const& step() const noexcept { return step_; }

    /// \returns The peer involved: an address, a file with line and column, or empty.
    [[nodiscard]] std::string const& peer() const noexcept { return peer_; }

private:
    static std::string format(std::string_view step, std::string_view peer, std::string_view message)
    {
        std::string text{step};
        if (!peer.empty()) {
            text.append(" ").append(peer);
        }
        return text.append(": ").append(message);
    }

    std::string step_;
    std::string peer_;
};

} // namespace auburnchute
