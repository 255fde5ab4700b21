#include "libcaraway/membership/update_queue.hpp"

#include "libcaraway/membership/message_size.hpp"

#include <algorithm>
#include <utility>

namespace caraway::membership
{

namespace
{

/// An update received this often from peers, and sent this often, is known to nearly all nodes and
/// is removed from the queue. The number of times received does not suffice: in a fleet of a few
/// nodes, the nodes that know an update early receive it often from each other before all nodes
/// know it.
constexpr std::size_t min_received = 6;
constexpr std::size_t min_sent = 6;
/// Lower bound of the send limit, for the smallest fleets.
constexpr std::size_t min_send_limit = 12;

/// Limit of queued updates beyond which updates with details are not queued: when a whole fleet
/// starts at once, the nodes learn of each other from member lists, which are sent once, rather
/// than from gossip, which is sent several times.
constexpr std::size_t max_with_details = 64;

/// Suspicions of the same state by different accusers each count as evidence, and are passed on
/// separately.
bool replaces(const member_update& next, const member_update& previous)
{
    const bool both_suspect = next.judged == verdict::suspect &&
                              previous.judged == verdict::suspect && next.node == previous.node &&
                              next.refutations == previous.refutations;
    return next.node.id == previous.node.id && !(both_suspect && next.accuser != previous.accuser);
}

}  // namespace

void update_queue::put(member_update update)
{
    std::erase_if(items_, [&](const item& other) { return replaces(update, other.update); });
    if (!update.details || items_.size() < max_with_details)
    {
        items_.push_back({.update = std::move(update)});
    }
}

void update_queue::record_received(const member_update& update)
{
    for (auto& entry : items_)
    {
        const auto& queued = entry.update;
        if (queued.node == update.node && queued.refutations == update.refutations &&
            queued.judged == update.judged && queued.accuser == update.accuser)
        {
            ++entry.received;
        }
    }
    std::erase_if(items_, [](const item& entry)
                  { return entry.received >= min_received && entry.sent >= min_sent; });
}

std::vector<member_update> update_queue::take(std::size_t max_bytes, std::size_t send_limit)
{
    std::vector<item*> by_sent;
    for (auto& entry : items_)
    {
        by_sent.push_back(&entry);
    }
    std::stable_sort(by_sent.begin(), by_sent.end(),
                     [](const item* a, const item* b) { return a->sent < b->sent; });
    std::vector<member_update> taken;
    std::size_t used = 0;
    for (item* entry : by_sent)
    {
        const std::size_t size = size_bound(entry->update);
        if (used + size > max_bytes)
        {
            continue;
        }
        used += size;
        ++entry->sent;
        taken.push_back(entry->update);
    }
    std::erase_if(items_,
                  [send_limit](const item& entry)
                  {
                      // Each suspicion is soon followed by a death or a refutation, which is passed
                      // on the full number of times.
                      const bool is_suspicion = entry.update.judged == verdict::suspect;
                      return entry.sent >=
                             std::max(is_suspicion ? send_limit / 2 : send_limit, min_send_limit);
                  });
    return taken;
}

}  // namespace caraway::membership
