#include "libcaraway/membership/message_size.hpp"

#include <bit>

namespace caraway::membership
{

namespace
{

constexpr std::size_t array_header_size = 3;
constexpr std::size_t hash_size = 34;
/// The header of a message's array and its kind.
constexpr std::size_t kind_size = 2;

std::size_t integer_size(std::uint64_t value)
{
    constexpr std::uint64_t first_with_extra_byte = 24;
    if (value < first_with_extra_byte)
    {
        return 1;
    }
    const auto bits = static_cast<int>(std::bit_width(value));
    return bits <= 8 ? 2 : bits <= 16 ? 3 : bits <= 32 ? 5 : 9;
}

std::size_t text_size(const std::string& value)
{
    return integer_size(value.size()) + value.size();
}

std::size_t address_size(const endpoint& value)
{
    return text_size(value.host) + integer_size(value.port);
}

std::size_t load_size(const load_digest& load)
{
    return integer_size(load.waiting) + integer_size(load.free_slots) +
           integer_size(load.connections);
}

std::size_t message_size(const probe& value)
{
    return integer_size(value.sequence);
}

std::size_t message_size(const probe_ack& value)
{
    return integer_size(value.sequence);
}

std::size_t message_size(const probe_nack& value)
{
    return integer_size(value.sequence);
}

std::size_t message_size(const probe_request& value)
{
    return integer_size(value.sequence) + text_size(value.target.id.str()) +
           integer_size(static_cast<std::uint64_t>(value.target.life)) +
           address_size(value.address);
}

std::size_t message_size(const sync_request& value)
{
    return text_size(value.after.str()) + array_header_size + sizeof(value.view);
}

std::size_t message_size(const sync_reply& value)
{
    return size_bound(value);
}

/// Not used: gossip_writer counts the parts of a gossip message one by one.
std::size_t message_size(const gossip&)
{
    return 0;
}

}  // namespace

std::size_t size_bound(const member_update& update)
{
    constexpr std::size_t states_size = 1;
    constexpr std::size_t no_details_size = 1;
    std::size_t total = array_header_size + text_size(update.node.id.str()) +
                        integer_size(static_cast<std::uint64_t>(update.node.life)) +
                        integer_size(update.refutations) + states_size +
                        text_size(update.accuser.str()) + no_details_size;
    if (update.details)
    {
        const auto& details = *update.details;
        total += array_header_size + address_size(details.peer) + address_size(details.caller) +
                 address_size(details.admin) + text_size(details.zone.str()) +
                 text_size(details.region.str());
    }
    return total;
}

std::size_t size_bound(const load_sample& sample)
{
    return array_header_size + text_size(sample.node.str()) + integer_size(sample.age_ms) +
           load_size(sample.load) + integer_size(static_cast<std::uint64_t>(sample.configuration));
}

std::size_t gossip_header_bound(const configuration_ref& newest)
{
    constexpr std::size_t max_load_size = 15;
    constexpr std::size_t view_size = 5;
    const std::size_t version_size = integer_size(static_cast<std::uint64_t>(newest.version));
    return kind_size + max_load_size + 2 * version_size + view_size + hash_size +
           text_size(newest.holder.str()) + 3 * array_header_size;
}

std::size_t size_bound(const sync_reply& reply)
{
    std::size_t total = kind_size + array_header_size + text_size(reply.next_after.str());
    for (const auto& update : reply.members)
    {
        total += size_bound(update);
    }
    return total;
}

std::size_t size_bound(const message& value)
{
    return kind_size + std::visit([](const auto& content) { return message_size(content); }, value);
}

}  // namespace caraway::membership
