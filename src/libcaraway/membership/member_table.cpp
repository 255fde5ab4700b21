#include "libcaraway/membership/member_table.hpp"

#include "libcaraway/membership/message_size.hpp"

#include <tuple>
#include <utility>

namespace caraway::membership
{

namespace
{

bool is_gone(const member& known)
{
    return known.announced == announced_state::left || known.judged == verdict::dead;
}

bool is_gone(const member_update& update)
{
    return update.announced == announced_state::left || update.judged == verdict::dead;
}

std::uint64_t fnv_1a(std::uint64_t hash, std::uint64_t value)
{
    constexpr std::uint64_t prime = 1099511628211ULL;
    for (int byte = 0; byte < 8; ++byte)
    {
        hash = (hash ^ (value & 0xff)) * prime;
        value >>= 8;
    }
    return hash;
}

std::uint64_t id_hash(const base::node_id& id)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : id.str())
    {
        hash = fnv_1a(hash, static_cast<unsigned char>(character));
    }
    return hash;
}

std::size_t bucket_index(const base::node_id& id)
{
    return id_hash(id) % std::tuple_size_v<view_digest>;
}

std::uint32_t state_hash(const member& known)
{
    const auto incarnation = static_cast<std::uint64_t>(known.node.life);
    const auto hash = fnv_1a(fnv_1a(id_hash(known.node.id), incarnation), known.refutations);
    return static_cast<std::uint32_t>(hash >> 32);
}

}  // namespace

member_update update_of(const member& known, bool with_details)
{
    member_update update{.node = known.node,
                         .refutations = known.refutations,
                         .announced = known.announced,
                         .judged = known.judged,
                         .accuser = {},
                         .details = {}};
    if (with_details)
    {
        update.details = known.details;
    }
    return update;
}

member_table::merged member_table::merge(const member_update& update, base::time_point now)
{
    member* known = find(update.node.id);
    const bool is_new_incarnation = known == nullptr || update.node.life > known->node.life;
    if (is_new_incarnation && (!update.details || (known == nullptr && is_gone(update))))
    {
        return {};
    }
    if (known != nullptr && !supersedes(update, update_of(*known, false)))
    {
        return {};
    }
    merged result{.is_applied = true, .is_new_incarnation = is_new_incarnation, .former = {}};
    if (known != nullptr)
    {
        result.former = known->state();
    }
    if (is_new_incarnation)
    {
        insert({.node = update.node, .details = *update.details});
        known = find(update.node.id);
    }
    remove_from_view(*known);
    known->refutations = update.refutations;
    known->announced = update.announced;
    known->judged = update.judged;
    add_to_view(*known);
    if (result.former != known->state())
    {
        known->changed_at = now;
    }
    return result;
}

const member* member_table::find(const base::node_id& id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

member* member_table::find(const base::node_id& id)
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

void member_table::insert(member added)
{
    if (const member* former = find(added.node.id))
    {
        remove_from_view(*former);
    }
    add_to_view(added);
    auto id = added.node.id;
    members_.insert_or_assign(std::move(id), std::move(added));
}

void member_table::remove_from_view(const member& known)
{
    if (!is_gone(known))
    {
        --live_count_;
        view_[bucket_index(known.node.id)] ^= state_hash(known);
    }
}

void member_table::add_to_view(const member& known)
{
    if (!is_gone(known))
    {
        ++live_count_;
        view_[bucket_index(known.node.id)] ^= state_hash(known);
    }
}

std::vector<base::node_id> member_table::live(const base::node_id& except) const
{
    std::vector<base::node_id> ids;
    for (const auto& [id, node] : members_)
    {
        if (!is_gone(node) && id != except)
        {
            ids.push_back(id);
        }
    }
    return ids;
}

std::uint32_t member_table::view_hash() const
{
    std::uint64_t hash = 0;
    for (const auto bucket : view_)
    {
        hash = fnv_1a(hash, bucket);
    }
    return static_cast<std::uint32_t>(hash >> 32);
}

sync_reply member_table::sync_page(const base::node_id& after, const view_digest& peer_view,
                                   std::size_t max_bytes) const
{
    sync_reply reply;
    for (auto next = members_.upper_bound(after); next != members_.end(); ++next)
    {
        const auto bucket = bucket_index(next->first);
        if (peer_view[bucket] == view_[bucket])
        {
            continue;
        }
        reply.members.push_back(update_of(next->second, true));
        // A page holds at least one member; otherwise the requester could never get past a member
        // that exceeds the limit.
        if (reply.members.size() > 1 && size_bound(reply) > max_bytes)
        {
            reply.members.pop_back();
            reply.next_after = reply.members.back().node.id;
            break;
        }
    }
    return reply;
}

void member_table::remove_expired(base::time_point cutoff)
{
    std::erase_if(members_, [cutoff](const auto& item)
                  { return is_gone(item.second) && item.second.changed_at < cutoff; });
}

}  // namespace caraway::membership
