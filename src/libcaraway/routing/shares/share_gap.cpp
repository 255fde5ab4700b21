#include "libcaraway/routing/shares/share_gap.hpp"

#include <algorithm>

namespace caraway::routing::shares
{

namespace
{

/// Seconds over which service is compared.
constexpr std::size_t compared_seconds = 6;

}  // namespace

void share_gap::add_second(const workspace_usages& usages)
{
    seconds_.push_back(usages);
    if (seconds_.size() > compared_seconds)
    {
        seconds_.pop_front();
    }
    widest_ = seconds_.size() == compared_seconds ? find_widest() : widest_gap{};
}

widest_gap share_gap::find_widest() const
{
    widest_gap found;
    double best_served = 0;
    for (const auto& [id, usage] : seconds_.back())
    {
        const double served = total(id).served;
        if (served > best_served)
        {
            best_served = served;
            found.ahead = id;
        }
    }
    for (const auto& [id, usage] : seconds_.back())
    {
        if (!waited_throughout(id))
        {
            continue;
        }
        const auto sum = total(id);
        const double ratio = std::min(best_served, sum.demanded) / std::max(1.0, sum.served);
        if (ratio > found.ratio)
        {
            found.ratio = ratio;
            found.behind = id;
        }
    }
    return found.behind.str().empty() ? widest_gap{} : found;
}

bool share_gap::waited_throughout(const base::workspace_id& id) const
{
    return std::all_of(seconds_.begin(), seconds_.end(),
                       [&](const auto& usages)
                       {
                           const auto found = usages.find(id);
                           return found != usages.end() && found->second.refused > 0;
                       });
}

workspace_usage share_gap::total(const base::workspace_id& id) const
{
    workspace_usage sum;
    for (const auto& usages : seconds_)
    {
        const auto found = usages.find(id);
        if (found != usages.end())
        {
            sum += found->second;
        }
    }
    return sum;
}

}  // namespace caraway::routing::shares
