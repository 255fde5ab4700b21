#include "libcaraway/routing/change_log.hpp"

#include <set>

namespace caraway::routing
{

change_log::change_log(std::size_t capacity) : capacity_(capacity) {}

void change_log::record(const base::upstream_id& id)
{
    ++position_;
    recent_.push_back(id);
    if (recent_.size() > capacity_)
    {
        recent_.pop_front();
    }
}

std::optional<std::vector<base::upstream_id>> change_log::since(std::uint64_t position) const
{
    if (position > position_ || position_ - position > recent_.size())
    {
        return std::nullopt;
    }
    const auto newer_count = static_cast<std::ptrdiff_t>(position_ - position);
    const std::set<base::upstream_id> changed(recent_.end() - newer_count, recent_.end());
    return std::vector<base::upstream_id>(changed.begin(), changed.end());
}

}  // namespace caraway::routing
