#include "libcaraway/routing/returns/refused_requests.hpp"

#include <algorithm>

namespace caraway::routing::returns
{

refused_requests::refused_requests(refused_options options) : options_(options) {}

void refused_requests::add(request_fingerprint fingerprint, base::time_point now)
{
    expire(now);
    insert({.fingerprint = fingerprint, .recorded_at = now, .own = true});
}

bool refused_requests::contains(request_fingerprint fingerprint, base::time_point now) const
{
    const auto found = recorded_at_.find(fingerprint);
    return found != recorded_at_.end() && found->second + options_.lifetime > now;
}

std::vector<request_fingerprint> refused_requests::recent_own(std::chrono::milliseconds max_age,
                                                              base::time_point now) const
{
    std::vector<request_fingerprint> recent;
    for (auto refusal = by_expiry_.rbegin();
         refusal != by_expiry_.rend() && refusal->recorded_at + max_age > now; ++refusal)
    {
        if (refusal->own && recent.size() < options_.max_digest_entries)
        {
            recent.push_back(refusal->fingerprint);
        }
    }
    return recent;
}

void refused_requests::merge(const std::vector<request_fingerprint>& fingerprints,
                             base::time_point now)
{
    expire(now);
    for (const auto fingerprint : fingerprints)
    {
        // A refusal is listed in several digests, so that a lost digest does no harm.
        if (!recorded_at_.contains(fingerprint))
        {
            insert({.fingerprint = fingerprint, .recorded_at = now});
        }
    }
}

void refused_requests::insert(const entry& refusal)
{
    recorded_at_[refusal.fingerprint] = refusal.recorded_at;
    by_expiry_.push_back(refusal);
}

void refused_requests::expire(base::time_point now)
{
    while (!by_expiry_.empty() && by_expiry_.front().recorded_at + options_.lifetime <= now)
    {
        const auto found = recorded_at_.find(by_expiry_.front().fingerprint);
        if (found != recorded_at_.end() && found->second + options_.lifetime <= now)
        {
            recorded_at_.erase(found);
        }
        by_expiry_.pop_front();
    }
}

}  // namespace caraway::routing::returns
