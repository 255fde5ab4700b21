#include "libcaraway/routing/served_versions.hpp"

namespace caraway::routing
{

void served_versions::record(const base::service_id& service,
                             const base::software_version& software, base::time_point now)
{
    last_listed_[{service, software}] = now;
}

void served_versions::record_gap(base::time_point now)
{
    complete_since_ = now;
}

std::optional<base::software_version> served_versions::sole(const base::service_id& service,
                                                            base::duration period,
                                                            base::time_point now) const
{
    const bool is_complete =
        complete_since_ != base::time_point::max() && now - complete_since_ >= period;
    if (!is_complete)
    {
        return std::nullopt;
    }
    std::optional<base::software_version> only;
    for (const auto& [version, listed_at] : last_listed_)
    {
        if (version.first != service || now - listed_at > period)
        {
            continue;
        }
        if (only)
        {
            return std::nullopt;
        }
        only = version.second;
    }
    return only;
}

}  // namespace caraway::routing
