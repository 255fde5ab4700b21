#include "libcaraway/wire/cbor_writer.hpp"

#include <cmath>

namespace caraway::wire
{

void write(QCborStreamWriter& out, std::uint64_t value)
{
    out.append(static_cast<quint64>(value));
}

void write(QCborStreamWriter& out, double value)
{
    constexpr double exact_integers_end = 9007199254740992.0;  // 2^53
    if (value >= 0 && value < exact_integers_end && std::floor(value) == value)
    {
        out.append(static_cast<quint64>(value));
        return;
    }
    out.append(value);
}

void write_text(QCborStreamWriter& out, const std::string& value)
{
    out.appendTextString(value.data(), static_cast<qsizetype>(value.size()));
}

}  // namespace caraway::wire
