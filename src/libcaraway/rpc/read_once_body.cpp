#include "libcaraway/rpc/read_once_body.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace caraway::rpc
{

read_once_body::read_once_body(QByteArray bytes, QObject* parent)
    : QIODevice(parent), bytes_(std::move(bytes))
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool read_once_body::isSequential() const
{
    return true;
}

qint64 read_once_body::bytesAvailable() const
{
    return bytes_.size() - position_ + QIODevice::bytesAvailable();
}

bool read_once_body::atEnd() const
{
    return position_ >= bytes_.size();
}

qint64 read_once_body::readData(char* data, qint64 max_size)
{
    const qint64 size = std::min<qint64>(max_size, bytes_.size() - position_);
    if (size <= 0)
    {
        return -1;
    }
    std::memcpy(data, bytes_.constData() + position_, static_cast<std::size_t>(size));
    position_ += size;
    return size;
}

qint64 read_once_body::writeData(const char* /*data*/, qint64 /*size*/)
{
    return -1;
}

}  // namespace caraway::rpc
