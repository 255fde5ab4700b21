#include "libcaraway/net/http_upload_device.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace caraway::net
{

http_upload_device::http_upload_device(QByteArray body, QObject* parent)
    : QIODevice(parent), body_(std::move(body))
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool http_upload_device::isSequential() const
{
    return true;
}

bool http_upload_device::seek(qint64 /*position*/)
{
    return false;
}

qint64 http_upload_device::bytesAvailable() const
{
    return body_.size() - read_;
}

qint64 http_upload_device::readData(char* data, qint64 size)
{
    if (read_ == 0)
    {
        Q_EMIT read_begun();
    }
    const auto taken = std::min<qint64>(size, body_.size() - read_);
    if (taken == 0)
    {
        return -1;
    }
    std::memcpy(data, body_.constData() + read_, static_cast<std::size_t>(taken));
    read_ += taken;
    return taken;
}

qint64 http_upload_device::writeData(const char* /*data*/, qint64 /*size*/)
{
    return -1;
}

}  // namespace caraway::net
