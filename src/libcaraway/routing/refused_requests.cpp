#include "libcaraway/routing/refused_requests.hpp"

#include <algorithm>

namespace caraway::routing
{

refused_requests::refused_requests(refused_options options) : options_(options) {}

void refused_requests::add(request_fingerprint request, base::time_point now)
{
    expire(now);
    remember({.request = request, .when = now, .own = true});
}

bool refused_requests::contains(request_fingerprint request, base::time_point now) const
{
    const auto found = known_.find(request);
    return found != known_.end() && found->second + options_.lifetime > now;
}

std::vector<request_fingerprint> refused_requests::recent_own(std::chrono::milliseconds span,
                                                              base::time_point now) const
{
    std::vector<request_fingerprint> out;
    for (auto each = order_.rbegin(); each != order_.rend() && each->when + span > now; ++each)
    {
        if (each->own && out.size() < options_.max_digest_entries)
        {
            out.push_back(each->request);
        }
    }
    return out;
}

void refused_requests::merge(const std::vector<request_fingerprint>& others, base::time_point now)
{
    expire(now);
    for (const auto each : others)
    {
        // Told again in several digests, so that a lost one does no harm.
        if (!known_.contains(each))
        {
            remember({.request = each, .when = now});
        }
    }
}

void refused_requests::remember(const entry& what)
{
    known_[what.request] = what.when;
    order_.push_back(what);
}

void refused_requests::expire(base::time_point now)
{
    while (!order_.empty() && order_.front().when + options_.lifetime <= now)
    {
        const auto found = known_.find(order_.front().request);
        if (found != known_.end() && found->second + options_.lifetime <= now)
        {
            known_.erase(found);
        }
        order_.pop_front();
    }
}

}  // namespace caraway::routing
