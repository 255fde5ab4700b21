#include "standin_engine/order_book.hpp"

#include <QDateTime>

#include <algorithm>

namespace standin_engine
{

namespace
{

constexpr int remembered = 1000;

}  // namespace

bool order_book::submit(double fence, const QJsonObject& state, bool checks)
{
    const bool taken = !checks || fence >= largest_fence_;
    largest_fence_ = std::max(largest_fence_, fence);
    if (taken)
    {
        fence_ = fence;
        state_ = state;
    }
    history_.append(QJsonObject{{QStringLiteral("fence"), fence},
                                {QStringLiteral("state"), state},
                                {QStringLiteral("taken"), taken},
                                {QStringLiteral("at_ms"), QDateTime::currentMSecsSinceEpoch()}});
    if (history_.size() > remembered)
    {
        history_.removeFirst();
    }
    return taken;
}

QJsonObject order_book::current() const
{
    return {{QStringLiteral("fence"), fence_},
            {QStringLiteral("largest_fence"), largest_fence_},
            {QStringLiteral("state"), state_}};
}

QJsonArray order_book::history() const
{
    return history_;
}

}  // namespace standin_engine
