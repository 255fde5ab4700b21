#include "libcaraway/membership/message_size.hpp"

#include <bit>

namespace caraway::membership
{

namespace
{

constexpr std::size_t list_head = 3;
constexpr std::size_t hash_size = 34;
/// The head of a message's array and its kind.
constexpr std::size_t kind_size = 2;

std::size_t integer(std::uint64_t value)
{
    constexpr std::uint64_t in_head = 24;
    if (value < in_head)
    {
        return 1;
    }
    const auto bits = static_cast<int>(std::bit_width(value));
    return bits <= 8 ? 2 : bits <= 16 ? 3 : bits <= 32 ? 5 : 9;
}

std::size_t text(const std::string& value)
{
    return integer(value.size()) + value.size();
}

std::size_t address(const endpoint& value)
{
    return text(value.host) + integer(value.port);
}

std::size_t load_size(const load_digest& load)
{
    return integer(load.waiting) + integer(load.free_slots) + integer(load.connections);
}

std::size_t message_size(const probe& value)
{
    return integer(value.sequence);
}

std::size_t message_size(const probe_ack& value)
{
    return integer(value.sequence);
}

std::size_t message_size(const probe_nack& value)
{
    return integer(value.sequence);
}

std::size_t message_size(const probe_request& value)
{
    return integer(value.sequence) + text(value.target.id.str()) +
           integer(static_cast<std::uint64_t>(value.target.life)) + address(value.address);
}

std::size_t message_size(const sync_request& value)
{
    return text(value.after.str()) + list_head + sizeof(value.view);
}

std::size_t message_size(const sync_reply& value)
{
    return size_bound(value);
}

/// Its parts are counted one by one where it is written.
std::size_t message_size(const gossip&)
{
    return 0;
}

}  // namespace

std::size_t size_bound(const member_update& update)
{
    constexpr std::size_t states = 1;
    constexpr std::size_t no_details = 1;
    std::size_t total = list_head + text(update.node.id.str()) +
                        integer(static_cast<std::uint64_t>(update.node.life)) +
                        integer(update.refutations) + states + text(update.accuser.str()) +
                        no_details;
    if (update.details)
    {
        const auto& details = *update.details;
        total += list_head + address(details.peer) + address(details.caller) +
                 address(details.admin) + text(details.zone.str()) + text(details.region.str());
    }
    return total;
}

std::size_t size_bound(const load_sample& sample)
{
    return list_head + text(sample.node.str()) + integer(sample.age_ms) + load_size(sample.load) +
           integer(static_cast<std::uint64_t>(sample.configuration));
}

std::size_t gossip_header_bound(const configuration_ref& newest)
{
    constexpr std::size_t longest_load = 15;
    constexpr std::size_t view = 5;
    const std::size_t version = integer(static_cast<std::uint64_t>(newest.version));
    return kind_size + longest_load + 2 * version + view + hash_size + text(newest.holder.str()) +
           3 * list_head;
}

std::size_t size_bound(const sync_reply& reply)
{
    std::size_t total = kind_size + list_head + text(reply.next_after.str());
    for (const auto& update : reply.members)
    {
        total += size_bound(update);
    }
    return total;
}

std::size_t size_bound(const message& other)
{
    return kind_size + std::visit([](const auto& each) { return message_size(each); }, other);
}

}  // namespace caraway::membership
