#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/wire/cbor_reader.hpp"
#include "libcaraway/wire/cbor_writer.hpp"
#include "libcaraway/wire/limits.hpp"

#include <QCborStreamWriter>

#include <limits>
#include <type_traits>

namespace caraway::wire
{

template <class Tag>
void read(cbor_reader& in, base::strong_id<Tag>& id)
{
    id = base::strong_id<Tag>(in.text(max_id_bytes));
}

/// Reads an integer, or an enumeration used as a strong integer type; fails if the value exceeds
/// the range of its type.
template <class Number>
void read_number(cbor_reader& in, Number& number)
{
    number = static_cast<Number>(in.integer(std::numeric_limits<Number>::max()));
}

template <class Enum>
requires std::is_enum_v<Enum>
void read_number(cbor_reader& in, Enum& number)
{
    using underlying = std::underlying_type_t<Enum>;
    number = static_cast<Enum>(in.integer(std::numeric_limits<underlying>::max()));
}

/// The node is written as two elements of the enclosing array: its id and its incarnation.
void write_fields(QCborStreamWriter& out, const base::node_ref& node);
void read_fields(cbor_reader& in, base::node_ref& node);

}  // namespace caraway::wire
