#include "libcaraway/routing/retry_ledger.hpp"

#include <algorithm>

namespace caraway::routing
{

retry_ledger::retry_ledger(retry_options options) : options_(options) {}

void retry_ledger::set_routers(std::size_t count)
{
    routers_ = std::max(routers_, count);
}

void retry_ledger::count_request(const base::service_id& service, base::time_point now)
{
    auto& of = services_[service];
    drop_old(of, now);
    of.requests.push_back(now);
}

bool retry_ledger::take_repeat(const base::service_id& service, base::time_point now)
{
    if (left(service, now) < 1)
    {
        return false;
    }
    services_[service].repeats.push_back(now);
    return true;
}

double retry_ledger::left(const base::service_id& service, base::time_point now)
{
    auto& of = services_[service];
    drop_old(of, now);
    const double allowed = options_.ratio * static_cast<double>(of.requests.size()) +
                           options_.slack / static_cast<double>(routers_);
    return allowed * options_.spend - static_cast<double>(of.repeats.size());
}

void retry_ledger::drop_old(counts& of, base::time_point now) const
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
