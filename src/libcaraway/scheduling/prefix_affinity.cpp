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
    const auto found = positions_.find(prefix);
    if (found != positions_.end())
    {
        found->second->second = upstream;
        entries_.splice(entries_.begin(), entries_, found->second);
        return;
    }
    if (entries_.size() >= capacity_)
    {
        positions_.erase(entries_.back().first);
        entries_.pop_back();
    }
    entries_.emplace_front(prefix, upstream);
    positions_[prefix] = entries_.begin();
}

const base::upstream_id* prefix_affinity::find(std::uint64_t prefix) const
{
    const auto found = positions_.find(prefix);
    return found == positions_.end() ? nullptr : &found->second->second;
}

}  // namespace caraway::scheduling
