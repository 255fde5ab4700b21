#include "libcaraway/scheduling/prefix_affinity.hpp"

namespace caraway::scheduling
{

prefix_affinity::prefix_affinity(std::size_t capacity) : capacity_(capacity) {}

void prefix_affinity::record(std::uint64_t prefix, const base::upstream_id& upstream)
{
    if (prefix == 0 || capacity_ == 0)
    {
        return;
    }
    const auto known = places_.find(prefix);
    if (known != places_.end())
    {
        known->second->second = upstream;
        recent_.splice(recent_.begin(), recent_, known->second);
        return;
    }
    if (recent_.size() >= capacity_)
    {
        places_.erase(recent_.back().first);
        recent_.pop_back();
    }
    recent_.emplace_front(prefix, upstream);
    places_[prefix] = recent_.begin();
}

const base::upstream_id* prefix_affinity::find(std::uint64_t prefix) const
{
    const auto known = places_.find(prefix);
    return known == places_.end() ? nullptr : &known->second->second;
}

}  // namespace caraway::scheduling
