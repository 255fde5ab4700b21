#include "libcaraway/routing/standstill_guard.hpp"

namespace caraway::routing
{

void standstill_guard::record_look(base::time_point now)
{
    const bool is_first = last_look_ == base::time_point{};
    const bool stood_still = !is_first && now - last_look_ >= options_.longest_gap;
    last_look_ = now;
    if (stood_still)
    {
        unconfirmed_until_ = now + options_.longest_wait;
    }
}

}  // namespace caraway::routing
