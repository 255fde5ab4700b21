#include "libcaraway/membership/probe_tracker.hpp"

#include <algorithm>
#include <utility>

namespace caraway::membership
{

namespace
{

/// Limit of relayed probes in flight: above what a fleet without failures requests. Requests beyond
/// the limit are not tracked, so no answer is sent for them.
constexpr std::size_t max_relayed = 64;

}  // namespace

probe_tracker::probe_tracker(timeouts limits) : timeouts_(limits) {}

std::uint32_t probe_tracker::start(const base::node_ref& target, base::time_point now)
{
    ++last_sequence_;
    own_[last_sequence_] = {.target = target, .started = now};
    return last_sequence_;
}

std::uint32_t probe_tracker::start_relayed(requester origin, base::time_point now)
{
    ++last_sequence_;
    if (relayed_.size() < max_relayed)
    {
        relayed_[last_sequence_] = {.origin = std::move(origin), .started = now};
    }
    return last_sequence_;
}

std::optional<probe_tracker::requester> probe_tracker::acknowledge(std::uint32_t sequence)
{
    own_.erase(sequence);
    const auto relayed = relayed_.find(sequence);
    if (relayed == relayed_.end())
    {
        return std::nullopt;
    }
    requester origin = std::move(relayed->second.origin);
    relayed_.erase(relayed);
    return origin;
}

std::vector<probe_tracker::unanswered> probe_tracker::take_overdue(base::time_point now)
{
    std::vector<unanswered> overdue;
    for (auto& [sequence, probe] : own_)
    {
        if (!probe.indirect_requested && probe.started + timeouts_.direct <= now)
        {
            probe.indirect_requested = true;
            overdue.push_back({.sequence = sequence, .target = probe.target});
        }
    }
    return overdue;
}

void probe_tracker::record_nack(std::uint32_t sequence, const base::node_id& relay)
{
    if (const auto probe = own_.find(sequence); probe != own_.end())
    {
        probe->second.nacks.insert(relay);
    }
}

std::vector<probe_tracker::unanswered> probe_tracker::take_failed(base::time_point now)
{
    std::vector<unanswered> failed;
    std::erase_if(own_,
                  [&](auto& item)
                  {
                      auto& [sequence, probe] = item;
                      if (probe.started + timeouts_.total > now)
                      {
                          return false;
                      }
                      failed.push_back({.sequence = sequence,
                                        .target = probe.target,
                                        .nacks = std::move(probe.nacks)});
                      return true;
                  });
    return failed;
}

std::vector<probe_tracker::requester> probe_tracker::take_failed_relayed(base::time_point now)
{
    std::vector<requester> failed;
    std::erase_if(relayed_,
                  [&](auto& item)
                  {
                      if (item.second.started + relay_timeout() > now)
                      {
                          return false;
                      }
                      failed.push_back(std::move(item.second.origin));
                      return true;
                  });
    return failed;
}

std::optional<base::time_point> probe_tracker::next_deadline() const
{
    std::optional<base::time_point> next;
    const auto consider = [&next](base::time_point deadline)
    {
        next = next ? std::min(*next, deadline) : deadline;
    };
    for (const auto& [sequence, probe] : own_)
    {
        consider(probe.started + (probe.indirect_requested ? timeouts_.total : timeouts_.direct));
    }
    for (const auto& [sequence, probe] : relayed_)
    {
        consider(probe.started + relay_timeout());
    }
    return next;
}

base::duration probe_tracker::relay_timeout() const
{
    // The remaining fifth is left for transmitting the request and the answer.
    return (timeouts_.total - timeouts_.direct) * 4 / 5;
}

void probe_tracker::postpone(base::duration delay)
{
    for (auto& [sequence, probe] : own_)
    {
        probe.started += delay;
    }
    for (auto& [sequence, probe] : relayed_)
    {
        probe.started += delay;
    }
}

}  // namespace caraway::membership
