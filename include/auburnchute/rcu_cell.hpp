#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <utility>

namespace auburnchute {

/// \brief Enters a read-copy-update read section; read sections nest. Used by `rcu_cell`.
/// Thread safety: may be called from any thread.
void rcu_read_begin() noexcept;
/// \brief Leaves the innermost read section. \pre This thread is in a read section.
void rcu_read_end() noexcept;
/// \brief Waits until all read sections that had begun before the call have ended.
/// \pre This thread is not in a read section.
void rcu_synchronize() noexcept;

/// \brief An immutable value that writers replace and that readers access without locks (read-copy-update).
///
/// \code
/// rcu_cell<fleet_view> cell{std::make_unique<fleet_view const>()};
/// auto const routes = cell.read([](fleet_view const& view) { return view.routes_; });
/// cell.publish(std::make_unique<fleet_view const>(next));
/// \endcode
/// Thread safety: `read` and `publish` may be called from any thread, the destructor only when no other call
/// runs.
template <typename T>
class rcu_cell {
public:
    /// \brief Constructs the cell with its initial value. \pre `value` is not null.
    explicit rcu_cell(std::unique_ptr<T const> value) noexcept : value_{value.release()} {}

    rcu_cell(rcu_cell const&) = delete;
    rcu_cell& operator=(rcu_cell const&) = delete;
    ~rcu_cell() { delete value_.load(std::memory_order_acquire); }

    /// \brief Calls `f` with the current value, which stays valid during the call. A long call delays
    /// `publish`.
    /// \returns A copy of what `f` returns; `f` must not return a pointer or view into the value.
    template <typename F>
    auto read(F&& f) const
    {
        section const open;
        return std::invoke(std::forward<F>(f), *value_.load(std::memory_order_acquire));
    }

    /// \brief Replaces the value, waits until no reader uses the old one, and frees it.
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
