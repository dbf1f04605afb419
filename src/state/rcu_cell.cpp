#include <auburnchute/rcu_cell.hpp>

#include <urcu-bp.h>

#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

namespace auburnchute {

namespace {

// liburcu is not instrumented, so the thread sanitizer does not see that a grace period orders the end of a
// read section before the memory is freed. These annotations state that order.
#ifdef __SANITIZE_THREAD__
char sections_ended;

void note_section_end() noexcept
{
    __tsan_release(&sections_ended);
}

void note_grace_period() noexcept
{
    __tsan_acquire(&sections_ended);
}
#else
void note_section_end() noexcept {}
void note_grace_period() noexcept {}
#endif

} // namespace

void rcu_read_begin() noexcept
{
    urcu_bp_read_lock();
}

void rcu_read_end() noexcept
{
    note_section_end();
    urcu_bp_read_unlock();
}

void rcu_synchronize() noexcept
{
    urcu_bp_synchronize_rcu();
    note_grace_period();
}

} // namespace auburnchute
