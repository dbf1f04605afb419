#include <auburnchute/ids.hpp>
#include <auburnchute/store_return.hpp>

namespace auburnchute {

namespace {

/// Members whose record may be lost look within the first time; the others after it, within the second: they
/// only make sure.
constexpr millis young_spread{2'000};
constexpr millis old_begin{10'000};
constexpr millis old_spread{30'000};

/// A lost plan is stored by the first VM at once; by others if it is still lost after these times. Each is
/// longer than a call, and the last ends before `plan_settle_time`.
constexpr millis reader_restore_delay{700};
constexpr millis other_restore_delay{1'400};

} // namespace

millis rejoin_delay(std::string_view vm, millis registered_for) noexcept
{
    auto const drawn = stable_hash(vm);
    auto const part = [drawn](millis spread) {
        return millis{static_cast<std::int64_t>(drawn % static_cast<std::uint64_t>(spread.count_))};
    };
    return may_be_lost(registered_for) ? part(young_spread) : old_begin + part(old_spread);
}

millis plan_restore_delay(plan_writer writer) noexcept
{
    switch (writer) {
    case plan_writer::first:
        return millis{0};
    case plan_writer::reader:
        return reader_restore_delay;
    case plan_writer::other:
        break;
    }
    return other_restore_delay;
}

} // namespace auburnchute
