#include "libcaraway/scheduling/upstream_rests.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

/// An upstream that still refuses does so within a few round trips.
constexpr std::chrono::milliseconds trial_duration{100};
/// How long an upstream is remembered to be due for a trial.
constexpr std::chrono::seconds trial_retention{60};

}  // namespace

void upstream_rests::record(const base::upstream_id& id, std::chrono::milliseconds rest,
                            base::time_point now)
{
    auto& entry = rests_[id];
    entry.end = std::max(entry.end, now + rest);
    entry.trial_sent.reset();
}

bool upstream_rests::may_send(const base::upstream_id& id, base::time_point now) const
{
    const auto found = rests_.find(id);
    if (found == rests_.end())
    {
        return true;
    }
    const auto& [end, trial_sent] = found->second;
    return now >= end && (!trial_sent || now >= *trial_sent + trial_duration);
}

void upstream_rests::record_sent(const base::upstream_id& id, base::time_point now)
{
    const auto found = rests_.find(id);
    if (found != rests_.end() && now >= found->second.end && !found->second.trial_sent)
    {
        found->second.trial_sent = now;
    }
}

bool upstream_rests::is_resting(const base::upstream_id& id, base::time_point now) const
{
    return time_left(id, now).count() > 0;
}

std::chrono::milliseconds upstream_rests::time_left(const base::upstream_id& id,
                                                    base::time_point now) const
{
    const auto found = rests_.find(id);
    if (found == rests_.end() || now >= found->second.end)
    {
        return {};
    }
    return std::chrono::ceil<std::chrono::milliseconds>(found->second.end - now);
}

std::optional<base::time_point> upstream_rests::next_end(base::time_point now) const
{
    std::optional<base::time_point> next;
    for (const auto& [id, entry] : rests_)
    {
        if (now < entry.end && (!next || entry.end < *next))
        {
            next = entry.end;
        }
    }
    return next;
}

void upstream_rests::expire(base::time_point now)
{
    std::erase_if(rests_,
                  [&](const auto& item)
                  {
                      const auto& [end, trial_sent] = item.second;
                      return (trial_sent && now >= *trial_sent + trial_duration) ||
                             now >= end + trial_retention;
                  });
}

std::size_t upstream_rests::resting_count(base::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        rests_.begin(), rests_.end(), [&](const auto& item) { return now < item.second.end; }));
}

}  // namespace caraway::scheduling
