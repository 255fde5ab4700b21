#include "libcaraway/scheduling/upstream_rests.hpp"

#include <algorithm>

namespace caraway::scheduling
{

void upstream_rests::record(const base::upstream_id& id, std::chrono::milliseconds rest,
                            base::time_point now)
{
    auto& end = ends_[id];
    end = std::max(end, now + rest);
}

bool upstream_rests::is_resting(const base::upstream_id& id, base::time_point now) const
{
    const auto found = ends_.find(id);
    return found != ends_.end() && now < found->second;
}

std::chrono::milliseconds upstream_rests::time_left(const base::upstream_id& id,
                                                    base::time_point now) const
{
    if (!is_resting(id, now))
    {
        return {};
    }
    return std::chrono::ceil<std::chrono::milliseconds>(ends_.at(id) - now);
}

void upstream_rests::expire(base::time_point now)
{
    std::erase_if(ends_, [&](const auto& entry) { return entry.second <= now; });
}

}  // namespace caraway::scheduling
