#include "libcaraway/routing/change_log.hpp"

#include <set>

namespace caraway::routing
{

change_log::change_log(std::size_t most) : most_(most) {}

void change_log::record(const base::upstream_id& id)
{
    ++position_;
    last_.push_back(id);
    if (last_.size() > most_)
    {
        last_.pop_front();
    }
}

std::optional<std::vector<base::upstream_id>> change_log::since(std::uint64_t position) const
{
    if (position > position_ || position_ - position > last_.size())
    {
        return std::nullopt;
    }
    const auto newer = static_cast<std::ptrdiff_t>(position_ - position);
    const std::set<base::upstream_id> each(last_.end() - newer, last_.end());
    return std::vector<base::upstream_id>(each.begin(), each.end());
}

}  // namespace caraway::routing
