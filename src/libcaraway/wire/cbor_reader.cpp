#include "libcaraway/wire/cbor_reader.hpp"

#include <cmath>

namespace caraway::wire
{

namespace
{

/// Deepest nesting of a skipped value; the messages of this format nest less deeply.
constexpr int max_depth = 16;

}  // namespace

cbor_reader::cbor_reader(const QByteArray& bytes) : reader_(bytes) {}

std::uint64_t cbor_reader::integer(std::uint64_t max_value)
{
    if (failed_ || !reader_.isUnsignedInteger() || reader_.toUnsignedInteger() > max_value)
    {
        fail();
        return 0;
    }
    const std::uint64_t value = reader_.toUnsignedInteger();
    skip();
    return value;
}

double cbor_reader::number()
{
    if (!failed_ && reader_.isUnsignedInteger())
    {
        return static_cast<double>(integer());
    }
    if (failed_ || !reader_.isDouble() || !std::isfinite(reader_.toDouble()))
    {
        fail();
        return 0;
    }
    const double value = reader_.toDouble();
    skip();
    return value;
}

std::string cbor_reader::text(std::size_t max_bytes)
{
    return string(max_bytes, QCborStreamReader::TextString);
}

std::string cbor_reader::bytes(std::size_t max_bytes)
{
    return string(max_bytes, QCborStreamReader::ByteString);
}

std::string cbor_reader::string(std::size_t max_bytes, QCborStreamReader::Type type)
{
    if (failed_ || reader_.type() != type || !reader_.isLengthKnown() ||
        reader_.length() > max_bytes)
    {
        fail();
        return {};
    }
    std::string value(static_cast<std::size_t>(reader_.length()), '\0');
    const auto chunk = reader_.readStringChunk(value.data(), static_cast<qsizetype>(value.size()));
    if (chunk.status == QCborStreamReader::Error ||
        chunk.data != static_cast<qsizetype>(value.size()))
    {
        fail();
        return {};
    }
    // Qt advances to the next value only after a read has returned EndOfString.
    const auto end = reader_.readStringChunk(nullptr, 0);
    if (end.status != QCborStreamReader::EndOfString)
    {
        fail();
        return {};
    }
    return value;
}

bool cbor_reader::is_null() const
{
    return !failed_ && reader_.isNull();
}

void cbor_reader::skip()
{
    if (failed_ || !reader_.isValid() || !reader_.next(max_depth))
    {
        fail();
    }
}

bool cbor_reader::at_end() const
{
    return !reader_.hasNext() && reader_.containerDepth() == 0;
}

std::size_t cbor_reader::begin_array(std::size_t max_length)
{
    if (failed_ || !reader_.isArray() || !reader_.isLengthKnown() || reader_.length() > max_length)
    {
        fail();
        return 0;
    }
    const auto count = static_cast<std::size_t>(reader_.length());
    if (!reader_.enterContainer())
    {
        fail();
        return 0;
    }
    return count;
}

bool cbor_reader::has_next() const
{
    return !failed_ && reader_.hasNext();
}

void cbor_reader::end_array()
{
    while (has_next())
    {
        skip();
    }
    if (failed_ || !reader_.leaveContainer())
    {
        fail();
    }
}

}  // namespace caraway::wire
