#include "libcaraway/routing/served_versions.hpp"

#include <algorithm>

namespace caraway::routing
{

namespace
{

/// No stream lasts longer; protects arithmetic on times.
constexpr std::chrono::hours longest_history{1};

}  // namespace

void served_versions::record(const base::service_id& service,
                             const base::software_version& software, base::time_point now)
{
    last_listed_[{service, software}] = now;
}

void served_versions::record_gap(base::time_point now)
{
    complete_since_ = now;
}

void served_versions::record_first_start(base::time_point now)
{
    complete_since_ = now - longest_history;
}

void served_versions::restore(const version_history& known, base::time_point now)
{
    for (const auto& each : known.versions)
    {
        const auto listed_at = now - std::min<base::duration>(each.age, longest_history);
        auto& last_listed =
            last_listed_.try_emplace({each.service, each.software}, listed_at).first->second;
        last_listed = std::max(last_listed, listed_at);
    }
    const auto complete_since = now - std::min<base::duration>(known.complete_for, longest_history);
    complete_since_ = std::min(complete_since_.value_or(complete_since), complete_since);
}

version_history served_versions::history(base::time_point now) const
{
    version_history known{.complete_for = complete_for(now)};
    for (const auto& [version, listed_at] : last_listed_)
    {
        if (now - listed_at <= longest_history)
        {
            known.versions.push_back(
                {.service = version.first, .software = version.second, .age = now - listed_at});
        }
    }
    return known;
}

std::optional<base::software_version> served_versions::sole(const base::service_id& service,
                                                            base::duration period,
                                                            base::time_point now) const
{
    if (!is_complete(period, now))
    {
        return std::nullopt;
    }
    const auto listed = listed_within(service, period, now);
    return listed.size() == 1 ? std::optional(listed.front()) : std::nullopt;
}

std::vector<base::software_version> served_versions::listed_within(const base::service_id& service,
                                                                   base::duration period,
                                                                   base::time_point now) const
{
    std::vector<base::software_version> listed;
    for (const auto& [version, listed_at] : last_listed_)
    {
        if (version.first == service && now - listed_at <= period)
        {
            listed.push_back(version.second);
        }
    }
    return listed;
}

base::duration served_versions::complete_for(base::time_point now) const
{
    if (!complete_since_)
    {
        return {};
    }
    return std::min<base::duration>(now - *complete_since_, longest_history);
}

}  // namespace caraway::routing
