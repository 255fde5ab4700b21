#include "libcaraway/membership/gossip_writer.hpp"

#include "libcaraway/membership/message_size.hpp"

#include <algorithm>
#include <utility>

namespace caraway::membership
{

namespace
{

/// Older samples are not worth their bytes.
constexpr auto max_sample_age = std::chrono::seconds(30);

load_sample sample_of(const member& of, base::time_point now)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *of.load_at);
    return {.node = of.node.id,
            .age_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)),
            .load = of.load,
            .configuration = of.configuration};
}

/// Callers are given nodes near them, so a node needs the loads of its own zone most.
std::vector<load_sample> choose_samples(const gossip_sources& from, const member* to,
                                        base::time_point now)
{
    std::vector<const member*> near;
    std::vector<const member*> far;
    for (const auto& [id, each] : from.table.all())
    {
        const bool is_fresh = each.load_at && now - *each.load_at < max_sample_age;
        if (!is_fresh || id == from.self || &each == to)
        {
            continue;
        }
        const bool is_near = to != nullptr && each.details.zone == to->details.zone;
        (is_near ? near : far).push_back(&each);
    }
    shuffle(near, from.random);
    shuffle(far, from.random);
    near.insert(near.end(), far.begin(), far.end());
    std::vector<load_sample> samples;
    for (std::size_t i = 0; i < std::min(near.size(), from.max_samples); ++i)
    {
        samples.push_back(sample_of(*near[i], now));
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

gossip write_gossip(const gossip_sources& from, const base::node_id& to, base::time_point now)
{
    gossip written;
    const member* receiver = from.table.find(to);
    const member* self = from.table.find(from.self);
    written.load = self->load;
    written.configuration = from.configuration.own();
    written.newest = from.configuration.newest();
    written.view = from.table.view_hash();

    if (receiver != nullptr && receiver->judged != verdict::none)
    {
        written.updates.push_back(update_of(*receiver, false));
        written.updates.back().accuser =
            receiver->judged == verdict::suspect ? from.self : base::node_id();
    }
    if (receiver == nullptr || receiver->judged == verdict::dead)
    {
        written.updates.push_back(update_of(*self, true));
    }
    std::size_t room = from.max_bytes - gossip_header_bound(written.newest);
    const auto take = [&room](std::size_t bytes)
    {
        room -= std::min(room, bytes);
        return bytes;
    };
    take(total_bound(written.updates));
    written.entries = from.entries.digest(std::min(room, from.max_entry_bytes), now);
    take(written.entries.size() * from.entries.bytes_per_entry());
    for (auto& update : from.updates.take(std::min(room, from.budget.left(now)), from.retransmits))
    {
        from.budget.spend(take(size_bound(update)));
        written.updates.push_back(std::move(update));
    }
    for (const auto& sample : choose_samples(from, receiver, now))
    {
        if (size_bound(sample) <= room)
        {
            take(size_bound(sample));
            written.samples.push_back(sample);
        }
    }
    return written;
}

}  // namespace caraway::membership
