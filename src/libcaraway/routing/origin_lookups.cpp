#include "libcaraway/routing/origin_lookups.hpp"

#include <utility>

namespace caraway::routing
{

void origin_lookups::start(stream_key key, std::vector<endpoint> asked, base::time_point give_up_at,
                           callback done)
{
    auto& started = lookups_[key];
    started.asked = std::move(asked);
    started.unanswered = started.asked;
    started.give_up_at = give_up_at;
    started.waiting.push_back(std::move(done));
}

void origin_lookups::record_known(stream_key key, const stream_origin& origin)
{
    const auto found = lookups_.find(key);
    if (found != lookups_.end())
    {
        finish(found, origin);
    }
}

void origin_lookups::record_unknown(stream_key key, const endpoint& router)
{
    const auto found = lookups_.find(key);
    if (found == lookups_.end())
    {
        return;
    }
    std::erase(found->second.unanswered, router);
    if (found->second.unanswered.empty() && found->second.asked_twice)
    {
        finish(found, std::nullopt);
    }
}

void origin_lookups::expire(base::time_point now)
{
    std::vector<stream_key> expired;
    for (const auto& [key, each] : lookups_)
    {
        if (each.give_up_at <= now)
        {
            expired.push_back(key);
        }
    }
    for (const auto key : expired)
    {
        const auto found = lookups_.find(key);
        if (found != lookups_.end())
        {
            finish(found, std::nullopt);
        }
    }
}

std::vector<origin_lookups::question> origin_lookups::take_due()
{
    std::vector<question> questions;
    for (auto& [key, each] : lookups_)
    {
        if (each.unanswered.empty())
        {
            each.unanswered = each.asked;
            each.asked_twice = true;
        }
        for (const auto& router : each.unanswered)
        {
            questions.push_back({.router = router, .key = key});
        }
    }
    return questions;
}

void origin_lookups::finish(std::map<stream_key, lookup>::iterator ended,
                            const std::optional<stream_origin>& origin)
{
    const auto callbacks = std::move(ended->second.waiting);
    lookups_.erase(ended);
    for (const auto& done : callbacks)
    {
        done(origin);
    }
}

}  // namespace caraway::routing
