#include "libcaraway/membership/suspicion_timers.hpp"

#include <algorithm>
#include <cmath>

namespace caraway::membership
{

namespace
{

/// Decreases with the logarithm of the number of accusers: the second accuser adds the most
/// evidence.
base::duration timeout_for(const suspicion_timers::timeouts& limits, std::size_t accusers)
{
    if (limits.confirmations == 0 || accusers > limits.confirmations)
    {
        return limits.minimum;
    }
    const double fraction = std::log(static_cast<double>(accusers)) /
                            std::log(static_cast<double>(limits.confirmations + 1));
    const auto range = static_cast<double>((limits.maximum - limits.minimum).count());
    return limits.maximum - base::duration(static_cast<base::duration::rep>(range * fraction));
}

}  // namespace

bool suspicion_timers::record_accuser(const suspicion_key& key, const base::node_id& accuser,
                                      const timeouts& limits, base::time_point now)
{
    auto& timer = timers_[key.node.id];
    const bool is_new = !(timer.key == key);
    if (is_new)
    {
        timer = {.key = key, .started = now, .deadline = {}, .accusers = {}};
    }
    const bool is_new_accuser =
        timer.accusers.size() <= limits.confirmations && timer.accusers.insert(accuser).second;
    if (is_new_accuser)
    {
        timer.deadline = timer.started + timeout_for(limits, timer.accusers.size());
    }
    return is_new_accuser;
}

void suspicion_timers::clear(const base::node_id& id)
{
    timers_.erase(id);
}

std::vector<suspicion_key> suspicion_timers::take_expired(base::time_point now)
{
    std::vector<suspicion_key> expired;
    std::erase_if(timers_,
                  [&](const auto& item)
                  {
                      if (item.second.deadline > now)
                      {
                          return false;
                      }
                      expired.push_back(item.second.key);
                      return true;
                  });
    return expired;
}

std::optional<base::time_point> suspicion_timers::next_deadline() const
{
    std::optional<base::time_point> next;
    for (const auto& [id, timer] : timers_)
    {
        next = next ? std::min(*next, timer.deadline) : timer.deadline;
    }
    return next;
}

void suspicion_timers::postpone(base::duration delay)
{
    for (auto& [id, timer] : timers_)
    {
        timer.started += delay;
        timer.deadline += delay;
    }
}

}  // namespace caraway::membership
