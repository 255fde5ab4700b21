#include "libcaraway/routing/retry_budget.hpp"

#include <algorithm>

namespace caraway::routing
{

retry_budget::retry_budget(retry_budget_options options) : options_(options) {}

void retry_budget::set_router_count(std::size_t count)
{
    routers_ = std::max(routers_, count);
}

void retry_budget::record_request(const base::service_id& service, base::time_point now)
{
    auto& of = services_[service];
    drop_old(of, now);
    of.requests.push_back(now);
}

bool retry_budget::take_retry(const base::service_id& service, base::time_point now)
{
    if (remaining(service, now) < 1)
    {
        return false;
    }
    services_[service].repeats.push_back(now);
    return true;
}

double retry_budget::remaining(const base::service_id& service, base::time_point now)
{
    auto& of = services_[service];
    drop_old(of, now);
    const double allowed = options_.ratio * static_cast<double>(of.requests.size()) +
                           options_.slack / static_cast<double>(routers_);
    return allowed * options_.usable_share - static_cast<double>(of.repeats.size());
}

void retry_budget::drop_old(counts& of, base::time_point now) const
{
    const auto drop = [&](std::deque<base::time_point>& times)
    {
        while (!times.empty() && times.front() + options_.window <= now)
        {
            times.pop_front();
        }
    };
    drop(of.requests);
    drop(of.repeats);
}

}  // namespace caraway::routing
