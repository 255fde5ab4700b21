#include "libcaraway/scheduling/upstream_window.hpp"

#include <algorithm>

namespace caraway::scheduling
{

upstream_window::upstream_window(base::slots slots, base::slots headroom)
    : slots_(slots), headroom_(headroom), capacity_(slots)
{
}

void upstream_window::configure(base::slots slots, base::slots headroom)
{
    if (slots != slots_)
    {
        capacity_ = slots;
        changed_at_.reset();
    }
    slots_ = slots;
    headroom_ = headroom;
}

void upstream_window::observe(base::slots running, base::slots waiting, base::time_point taken_at,
                              base::time_point now)
{
    // A report taken before the last change shows the load that caused the change, not its effect.
    if (changed_at_ && taken_at <= *changed_at_)
    {
        return;
    }
    auto capacity = capacity_;
    if (waiting > headroom_ && running < capacity_)
    {
        capacity = std::max<base::slots>(running, 1);
    }
    else if (waiting <= headroom_ && running >= capacity_ && capacity_ < slots_)
    {
        capacity = capacity_ + 1;
    }
    if (capacity != capacity_)
    {
        capacity_ = capacity;
        changed_at_ = now;
    }
}

base::slots upstream_window::size() const
{
    return capacity_ + headroom_;
}

}  // namespace caraway::scheduling
