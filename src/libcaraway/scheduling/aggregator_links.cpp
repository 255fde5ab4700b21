#include "libcaraway/scheduling/aggregator_links.hpp"

#include <algorithm>
#include <chrono>

namespace caraway::scheduling
{

namespace
{

/// Urgent messages may follow after the interval divided by this.
constexpr int urgent_divisor = 8;
/// Upper bound on the interval that an aggregator can request; a received value must not be trusted
/// without a bound.
constexpr std::chrono::seconds max_interval{20};

}  // namespace

aggregator_links::aggregator_links(const scheduler_options& options) : options_(options) {}

base::duration aggregator_links::interval(const base::node_ref& aggregator) const
{
    const base::duration min_interval = options_.totals_period;
    const auto found = links_.find(aggregator);
    return found == links_.end() ? min_interval
                                 : std::max(min_interval, found->second.requested_interval);
}

base::time_point aggregator_links::due(const base::node_ref& aggregator, bool urgent) const
{
    const auto found = links_.find(aggregator);
    if (found == links_.end() || !found->second.last_sent)
    {
        return base::time_point::min();
    }
    return *found->second.last_sent + interval(aggregator) / (urgent ? urgent_divisor : 1);
}

std::uint64_t aggregator_links::record_sent(const base::node_ref& aggregator, base::time_point now)
{
    auto& state = links_[aggregator];
    state.last_sent = now;
    return ++state.sent_sequence;
}

bool aggregator_links::record_received(const base::node_ref& aggregator, std::uint64_t sequence,
                                       std::uint32_t interval_ms)
{
    auto& state = links_[aggregator];
    if (sequence <= state.received_sequence)
    {
        return false;
    }
    state.received_sequence = sequence;
    const base::duration limit = max_interval;
    state.requested_interval =
        std::min<base::duration>(std::chrono::milliseconds(interval_ms), limit);
    return true;
}

void aggregator_links::retain(const std::function<bool(const base::node_ref&)>& alive)
{
    std::erase_if(links_, [&](const auto& entry) { return !alive(entry.first); });
}

}  // namespace caraway::scheduling
