#pragma once

#include <memory>
#include <utility>

namespace auburnchute {

/// \brief Opens a read-copy-update read section; `lock` and `unlock` nest. Used by `snapshot_cell`.
void rcu_enter() noexcept;
void rcu_leave() noexcept;
/// \brief Waits until all read sections that were open have ended. \pre Not called within a read section.
void rcu_wait() noexcept;

/// \brief Publishes immutable snapshots from one writer to many readers without locks on the readers' side.
///
/// \code
/// snapshot_cell<fleet_view> cell{std::make_unique<fleet_view const>()};
/// cell.read([](fleet_view const& view) { return view.routes_; });
/// \endcode
template <typename T>
class snapshot_cell;

} // namespace auburnchute
