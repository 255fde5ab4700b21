#include "libcaraway/net/platform_upload.hpp"

#include <algorithm>
#include <utility>

namespace caraway::net
{

platform_upload::platform_upload(QByteArray body) : body_(std::move(body))
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

bool platform_upload::isSequential() const
{
    return true;
}

bool platform_upload::atEnd() const
{
    return position_ == body_.size();
}

qint64 platform_upload::bytesAvailable() const
{
    return body_.size() - position_;
}

bool platform_upload::reset()
{
    return position_ == 0;
}

qint64 platform_upload::readData(char* data, qint64 max_size)
{
    if (atEnd())
    {
        return -1;
    }
    const qint64 size = std::min<qint64>(max_size, bytesAvailable());
    std::copy_n(body_.constData() + position_, size, data);
    position_ += size;
    return size;
}

qint64 platform_upload::writeData(const char* /*data*/, qint64 /*size*/)
{
    return -1;
}

}  // namespace caraway::net
