#pragma once

#include "libcaraway/base/strong_id.hpp"

#include <QCborStreamWriter>

#include <cstdint>
#include <string>
#include <vector>

namespace caraway::wire
{

void write(QCborStreamWriter& out, std::uint64_t value);
/// Writes non-negative whole numbers below 2^53 as integers: the encoding is exact and shorter, and
/// most costs are whole numbers.
void write(QCborStreamWriter& out, double value);
void write_text(QCborStreamWriter& out, const std::string& value);

template <class Tag>
void write(QCborStreamWriter& out, const base::strong_id<Tag>& id)
{
    write_text(out, id.str());
}

/// Writes an array of values, each with `write_one(QCborStreamWriter&, const T&)`.
template <class T, class WriteOne>
void write_list(QCborStreamWriter& out, const std::vector<T>& values, WriteOne write_one)
{
    out.startArray(values.size());
    for (const auto& value : values)
    {
        write_one(out, value);
    }
    out.endArray();
}

}  // namespace caraway::wire
