#include "libcaraway/routing/entry/relay_pace.hpp"

#include <algorithm>

namespace caraway::routing::entry
{

std::chrono::milliseconds pause_after_events(bool overloaded, std::chrono::milliseconds gap_target,
                                             const relay_pace_options& options)
{
    using std::chrono::milliseconds;
    if (!overloaded)
    {
        return milliseconds(0);
    }
    const auto part_of_gap = static_cast<double>(gap_target.count()) * options.max_gap_fraction;
    const auto longest = static_cast<double>(options.max_pause.count());
    return milliseconds(static_cast<std::int64_t>(std::clamp(part_of_gap, 0.0, longest)));
}

}  // namespace caraway::routing::entry
