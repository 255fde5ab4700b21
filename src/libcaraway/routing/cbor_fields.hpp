#pragma once

#include "libcaraway/routing/cbor_reader.hpp"

#include <chrono>
#include <string>
#include <type_traits>
#include <utility>

/// What messages between routers are made of. A failure shows in the reader, as for single items.
namespace caraway::routing
{

template <class Id>
Id read_id(cbor_reader& in)
{
    return Id(std::string(in.text()));
}

template <class Enum, class Integer = std::underlying_type_t<Enum>>
Enum read_enum(cbor_reader& in)
{
    return Enum{in.integer<Integer>()};
}

/// Narrower than the duration where no sender has more.
template <class Integer>
std::chrono::milliseconds read_milliseconds(cbor_reader& in)
{
    return std::chrono::milliseconds(in.integer<Integer>());
}

/// Calls `read_item` for each item of an array.
template <class ReadItem>
void read_items(cbor_reader& in, const ReadItem& read_item)
{
    for (auto left = in.array(); left > 0 && !in.failed(); --left)
    {
        read_item();
    }
}

/// Reads an array of at least `required` fields, which `read_required` reads. `read_later` reads
/// one each of the fields that were added later, as far as the array has them; the rest are
/// ignored.
template <class ReadRequired, class... ReadLater>
void read_fields(cbor_reader& in, std::uint64_t required, const ReadRequired& read_required,
                 const ReadLater&... read_later)
{
    auto left = in.array(required);
    left -= in.failed() ? 0 : required;
    read_required();
    [[maybe_unused]] const auto read_if_there = [&](const auto& read_field)
    {
        if (left > 0)
        {
            read_field();
            --left;
        }
    };
    (read_if_there(read_later), ...);
    in.skip(left);
}

/// Calls `read_entry` for each item of an array, all of which are arrays of at least
/// `field_count` fields; further fields are ignored.
template <class ReadEntry>
void read_entries(cbor_reader& in, std::uint64_t field_count, const ReadEntry& read_entry)
{
    read_items(in, [&] { read_fields(in, field_count, read_entry); });
}

/// Reads a map's entries, which senders have sorted by their ids; of equal ids the last counts.
template <class Map, class ReadValue>
Map read_map(cbor_reader& in, std::uint64_t field_count, const ReadValue& read_value)
{
    Map map;
    read_entries(in, field_count,
                 [&]
                 {
                     auto id = read_id<typename Map::key_type>(in);
                     map.insert_or_assign(map.end(), std::move(id), read_value());
                 });
    return map;
}

}  // namespace caraway::routing
