#include <auburnchute/rcu_cell.hpp>

#include <urcu-bp.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace auburnchute {

namespace {

// liburcu is not instrumented, so the thread sanitizer does not see that a grace period orders the end of a
// read section before the release of the memory. These annotations declare that order.
#ifdef __SANITIZE_THREAD__
char section_end_sync;

void annotate_section_end() noexcept
{
    __tsan_release(&section_end_sync);
}

void annotate_grace_period() noexcept
{
    __tsan_acquire(&section_end_sync);
}
#else
void annotate_section_end() noexcept {}
void annotate_grace_period() noexcept {}
#endif

} // namespace

void rcu_read_begin() noexcept
{
    urcu_bp_read_lock();
}

void rcu_read_end() noexcept
{
    annotate_section_end();
    urcu_bp_read_unlock();
}

void rcu_synchronize() noexcept
{
    urcu_bp_synchronize_rcu();
    annotate_grace_period();
}

} // namespace auburnchute
