#include "libcaraway/routing/parts/part_copies.hpp"

#include <algorithm>

namespace caraway::routing::parts
{

part_copies::part_copies(const part_copy_options& options) : options_(options) {}

void part_copies::record_sent(std::uint64_t upstream, const std::vector<std::uint64_t>& prefixes,
                              base::time_point now)
{
    for (const auto prefix : prefixes)
    {
        record(upstream, prefix, now);
    }
}

void part_copies::record(std::uint64_t upstream, std::uint64_t prefix, base::time_point now)
{
    if (!upstreams_.contains(upstream) && upstreams_.size() >= options_.max_upstreams)
    {
        return;
    }
    add_use(upstreams_[upstream], prefix, now);
}

void part_copies::add_use(part_times& uses, std::uint64_t prefix, base::time_point now) const
{
    if (uses.size() >= options_.max_parts && !uses.contains(prefix))
    {
        std::erase_if(uses, [&](const auto& entry) { return !is_current(entry.second, now); });
        if (uses.size() >= options_.max_parts)
        {
            return;
        }
    }
    auto& times = uses[prefix];
    times.first = is_current(times, now) ? times.first : now;
    times.last = now;
}

void part_copies::announce(std::uint64_t upstream, std::uint64_t prefix, base::time_point now)
{
    if (announced_.size() >= options_.max_sent)
    {
        announced_.erase(announced_.begin());
    }
    announced_.push_back({.copy = {.prefix = prefix, .holder = upstream}, .at = now});
}

std::vector<part_rate> part_copies::announced(base::duration period, base::time_point now)
{
    std::erase_if(announced_, [&](const auto& each) { return each.at + period < now; });
    std::vector<part_rate> copies;
    std::transform(announced_.begin(), announced_.end(), std::back_inserter(copies),
                   [](const auto& each) { return each.copy; });
    return copies;
}

void part_copies::merge(const std::vector<part_rate>& received, base::time_point now)
{
    std::size_t accepted = 0;
    for (const auto& each : received)
    {
        if (each.holder != 0 && accepted < options_.max_received)
        {
            ++accepted;
            record(each.holder, each.prefix, now);
        }
    }
}

bool part_copies::is_current(const use_times& times, base::time_point now) const
{
    return times.last != base::time_point{} && times.last + options_.lifetime > now;
}

const part_copies::use_times* part_copies::find(std::uint64_t upstream, std::uint64_t prefix,
                                                base::time_point now) const
{
    const auto known = upstreams_.find(upstream);
    if (known == upstreams_.end())
    {
        return nullptr;
    }
    const auto times = known->second.find(prefix);
    return times != known->second.end() && is_current(times->second, now) ? &times->second
                                                                          : nullptr;
}

bool part_copies::holds(std::uint64_t upstream, std::uint64_t prefix, base::time_point now) const
{
    return find(upstream, prefix, now) != nullptr;
}

bool part_copies::has_read(std::uint64_t upstream, std::uint64_t prefix, base::time_point now) const
{
    const auto* times = find(upstream, prefix, now);
    return times != nullptr && times->first + options_.read_time <= now;
}

std::size_t part_copies::depth(std::uint64_t upstream, const std::vector<std::uint64_t>& prefixes,
                               base::time_point now) const
{
    const auto known = upstreams_.find(upstream);
    for (std::size_t count = prefixes.size(); known != upstreams_.end() && count > 0; --count)
    {
        const auto times = known->second.find(prefixes[count - 1]);
        if (times != known->second.end() && is_current(times->second, now))
        {
            return count;
        }
    }
    return 0;
}

void part_copies::forget(std::uint64_t upstream)
{
    upstreams_.erase(upstream);
}

}  // namespace caraway::routing::parts
