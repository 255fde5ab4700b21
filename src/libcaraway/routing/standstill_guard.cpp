#include "libcaraway/routing/standstill_guard.hpp"

#include <algorithm>

namespace caraway::routing
{

void standstill_guard::record_look(base::duration gap)
{
    if (gap >= options_.longest_gap)
    {
        waited_ = base::duration::zero();
        return;
    }
    if (!waited_)
    {
        return;
    }
    *waited_ += std::clamp<base::duration>(gap, base::duration::zero(), options_.longest_step);
    if (*waited_ >= options_.longest_wait)
    {
        waited_.reset();
    }
}

}  // namespace caraway::routing
