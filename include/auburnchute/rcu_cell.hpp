#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

namespace auburnchute {

/// \brief Opens a read-copy-update read section; `rcu_read_begin` and `rcu_read_end` nest. Used by `rcu_cell`.
void rcu_read_begin() noexcept;
/// \brief Closes the read section. \pre `rcu_read_begin` was called by this thread.
void rcu_read_end() noexcept;
/// \brief Waits until all read sections that were open have ended. \pre Not called within a read section.
void rcu_synchronize() noexcept;

/// \brief Publishes immutable snapshots to many readers without locks on the readers' side.
///
/// \code
/// rcu_cell<fleet_view> cell{std::make_unique<fleet_view const>()};
/// auto const routes = cell.read([](fleet_view const& view) { return view.routes_; });
/// cell.publish(std::make_unique<fleet_view const>(next));
/// \endcode
/// Thread safety: `read` and `publish` may be called from any thread; the destructor needs that no other
/// call runs.
template <typename T>
class rcu_cell {
public:
    /// \brief Makes a cell with its first value. \pre `value` is not null.
    explicit rcu_cell(std::unique_ptr<T const> value) noexcept : value_{value.release()} {}

    rcu_cell(rcu_cell const&) = delete;
    rcu_cell& operator=(rcu_cell const&) = delete;
    ~rcu_cell() { delete value_.load(std::memory_order_acquire); }

    /// \brief Calls `f` with the current value, which stays valid during the call. `f` should be short: a
    /// long read delays `publish`.
    /// \returns A copy of what `f` returns; `f` must not return a pointer or view into the value.
    template <typename F>
    auto read(F&& f) const
    {
        section const open;
        return std::invoke(std::forward<F>(f), *value_.load(std::memory_order_acquire));
    }

    /// \brief Replaces the value, and frees the old one after its readers have left.
    /// \pre `value` is not null; not called from within `read`.
    void publish(std::unique_ptr<T const> value) noexcept
    {
        std::unique_ptr<T const> const old{value_.exchange(value.release(), std::memory_order_acq_rel)};
        rcu_synchronize();
    }

private:
    struct section {
        section() noexcept { rcu_read_begin(); }
        section(section const&) = delete;
        section& operator=(section const&) = delete;
        ~section() { rcu_read_end(); }
    };

    std::atomic<T const*> value_;
};

} // namespace auburnchute
