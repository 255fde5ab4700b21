#include "libcaraway/routing/retry_budget.hpp"

#include <algorithm>

namespace caraway::routing
{

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::set_router_count(std::size_t count)
{
    router_count_ = std::max(router_count_, count);
}

void retry_budget::record_request(const base::service_id& service, base::time_point now)
{
    auto& counts = services_[service];
    expire(counts, now);
    counts.requests.push_back(now);
}

bool retry_budget::take_retry(const base::service_id& service, base::time_point now)
{
    if (remaining(service, now) < 1)
    {
        return false;
    }
    services_[service].retries.push_back(now);
    return true;
}

double retry_budget::remaining(const base::service_id& service, base::time_point now)
{
    auto& counts = services_[service];
    expire(counts, now);
    const double allowed = options_.ratio * static_cast<double>(counts.requests.size()) +
                           options_.slack / static_cast<double>(router_count_);
    return allowed * options_.usable_share - static_cast<double>(counts.retries.size());
}

void retry_budget::expire(service_counts& counts, base::time_point now) const
{
    const auto expire_times = [&](std::deque<base::time_point>& times)
    {
        while (!times.empty() && times.front() + options_.window <= now)
        {
            times.pop_front();
        }
    };
    expire_times(counts.requests);
    expire_times(counts.retries);
}

}  // namespace caraway::routing
