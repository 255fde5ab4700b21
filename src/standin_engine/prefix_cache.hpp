#pragma once

#include <QByteArray>
#include <QHash>

#include <cstddef>
#include <list>

namespace standin_engine
{

/// Remembers the starts of the prompts that came last, in limited memory.
class prefix_cache
{
public:
    explicit prefix_cache(std::size_t size);

    /// Whether the prompt's start is known; from now on it is.
    bool touch(const QByteArray& prompt);

    int hits() const;
    int misses() const;

private:
    std::size_t size_;
    std::list<QByteArray> recent_;  ///< Latest first.
    QHash<QByteArray, std::list<QByteArray>::iterator> places_;
    int hits_ = 0;
    int misses_ = 0;
};

}  // namespace standin_engine
