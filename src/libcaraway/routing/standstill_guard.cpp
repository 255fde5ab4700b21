#include "libcaraway/routing/standstill_guard.hpp"

#include <algorithm>

namespace caraway::routing
{

void standstill_guard::record_look(base::time_point now)
{
    const bool is_first = last_look_ == base::time_point{};
    const auto gap = now - last_look_;
    last_look_ = now;
    if (is_first)
    {
        return;
    }
    if (gap >= options_.longest_gap)
    {
        waited_ = base::duration::zero();
        return;
    }
    if (!waited_)
    {
        return;
    }
    *waited_ += std::min<base::duration>(gap, options_.longest_step);
    if (*waited_ >= options_.longest_wait)
    {
        waited_.reset();
    }
}

}  // namespace caraway::routing
