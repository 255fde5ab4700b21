#include "libcaraway/membership/gossip_writer.hpp"

#include "libcaraway/membership/message_size.hpp"

#include <algorithm>
#include <utility>

namespace caraway::membership
{

namespace
{

/// Load samples older than this are not worth the bytes that they take.
constexpr auto max_sample_age = std::chrono::seconds(30);

load_sample make_sample(const member& known, base::time_point now)
{
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *known.load_measured_at);
    return {.node = known.node.id,
            .age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)),
            .load = known.load,
            .configuration = known.configuration};
}

/// Prefers nodes in the receiver's zone: callers are directed to nodes near them, so a node mostly
/// needs the loads of its own zone.
std::vector<load_sample> choose_samples(const gossip_sources& sources, const member* receiver,
                                        base::time_point now)
{
    std::vector<const member*> candidates;
    std::vector<const member*> other_zones;
    for (const auto& [id, node] : sources.table.all())
    {
        const bool is_fresh =
            node.load_measured_at && now - *node.load_measured_at < max_sample_age;
        if (!is_fresh || id == sources.self || &node == receiver)
        {
            continue;
        }
        const bool is_same_zone =
            receiver != nullptr && node.details.zone == receiver->details.zone;
        (is_same_zone ? candidates : other_zones).push_back(&node);
    }
    shuffle(candidates, sources.random);
    shuffle(other_zones, sources.random);
    candidates.insert(candidates.end(), other_zones.begin(), other_zones.end());
    std::vector<load_sample> samples;
    for (std::size_t i = 0; i < std::min(candidates.size(), sources.max_samples); ++i)
    {
        samples.push_back(make_sample(*candidates[i], now));
    }
    return samples;
}

std::size_t total_bound(const std::vector<member_update>& updates)
{
    std::size_t total = 0;
    for (const auto& update : updates)
    {
        total += size_bound(update);
    }
    return total;
}

}  // namespace

gossip write_gossip(const gossip_sources& sources, const base::node_id& receiver_id,
                    base::time_point now)
{
    gossip result;
    const member* receiver = sources.table.find(receiver_id);
    const member* self = sources.table.find(sources.self);
    result.load = self->load;
    result.configuration = sources.configuration.own();
    result.newest = sources.configuration.newest();
    result.view = sources.table.view_hash();

    if (receiver != nullptr && receiver->judged != verdict::none)
    {
        result.updates.push_back(update_of(*receiver, false));
        result.updates.back().accuser =
            receiver->judged == verdict::suspect ? sources.self : base::node_id();
    }
    if (receiver == nullptr || receiver->judged == verdict::dead)
    {
        result.updates.push_back(update_of(*self, true));
    }
    std::size_t remaining = sources.max_bytes - gossip_header_bound(result.newest);
    const auto reserve = [&remaining](std::size_t bytes)
    {
        remaining -= std::min(remaining, bytes);
        return bytes;
    };
    reserve(total_bound(result.updates));
    result.entries = sources.entries.next_batch(std::min(remaining, sources.max_entry_bytes), now);
    reserve(result.entries.size() * sources.entries.bytes_per_entry());
    for (auto& update : sources.updates.take(std::min(remaining, sources.budget.available(now)),
                                             sources.retransmit_limit))
    {
        sources.budget.spend(reserve(size_bound(update)));
        result.updates.push_back(std::move(update));
    }
    for (const auto& sample : choose_samples(sources, receiver, now))
    {
        if (size_bound(sample) <= remaining)
        {
            reserve(size_bound(sample));
            result.samples.push_back(sample);
        }
    }
    return result;
}

}  // namespace caraway::membership
