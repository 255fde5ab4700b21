#include "standin_engine/prefix_cache.hpp"

#include <QCryptographicHash>

namespace standin_engine
{

namespace
{

constexpr int prefix_characters = 256;

}  // namespace

prefix_cache::prefix_cache(std::size_t size) : size_(size) {}

bool prefix_cache::touch(const QByteArray& prompt)
{
    const QByteArray key =
        QCryptographicHash::hash(prompt.left(prefix_characters), QCryptographicHash::Md5);
    const auto known = places_.find(key);
    if (known != places_.end())
    {
        recent_.splice(recent_.begin(), recent_, *known);
        ++hits_;
        return true;
    }
    recent_.push_front(key);
    places_.insert(key, recent_.begin());
    ++misses_;
    if (recent_.size() > size_)
    {
        places_.remove(recent_.back());
        recent_.pop_back();
    }
    return false;
}

int prefix_cache::hits() const
{
    return hits_;
}

int prefix_cache::misses() const
{
    return misses_;
}

}  // namespace standin_engine
