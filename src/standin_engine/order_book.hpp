#pragma once

#include <QJsonArray>
#include <QJsonObject>

namespace standin_engine
{

/// Orders of what the engine should be (models, role), each with a fencing number.
class order_book
{
public:
    /// Takes an order, or refuses one whose fence is lower than the largest seen if `checks` says
    /// so. True when taken.
    bool submit(double fence, const QJsonObject& state, bool checks);

    QJsonObject current() const;
    QJsonArray history() const;

private:
    double largest_fence_ = 0;
    double fence_ = 0;
    QJsonObject state_;
    QJsonArray history_;
};

}  // namespace standin_engine
