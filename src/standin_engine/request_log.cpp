#include "standin_engine/request_log.hpp"

namespace standin_engine
{

namespace
{

/// Ids remembered; older ones are forgotten, so that a long load leaves the process small.
constexpr std::size_t remembered = 10000;

void add_up(request_counts& sum, const request_counts& more)
{
    sum.received += more.received;
    sum.started += more.started;
    sum.finished += more.finished;
    sum.cancelled += more.cancelled;
    sum.tokens += more.tokens;
}

QJsonObject shown(const request_counts& counts)
{
    return {{QStringLiteral("received"), counts.received},
            {QStringLiteral("started"), counts.started},
            {QStringLiteral("finished"), counts.finished},
            {QStringLiteral("cancelled"), counts.cancelled},
            {QStringLiteral("tokens"), counts.tokens}};
}

}  // namespace

void request_log::add(const QByteArray& request_id, const request_counts& more)
{
    add_up(total_, more);
    if (request_id.isEmpty())
    {
        return;
    }
    auto known = counts_.find(request_id);
    if (known == counts_.end())
    {
        known = counts_.insert(request_id, {});
        order_.push_back(request_id);
    }
    add_up(*known, more);
    if (order_.size() > remembered)
    {
        counts_.remove(order_.front());
        order_.pop_front();
    }
}

QJsonObject request_log::totals() const
{
    return shown(total_);
}

QJsonObject request_log::by_request() const
{
    QJsonObject all;
    for (auto one = counts_.begin(); one != counts_.end(); ++one)
    {
        all[QString::fromUtf8(one.key())] = shown(one.value());
    }
    return all;
}

const request_counts& request_log::total() const
{
    return total_;
}

}  // namespace standin_engine
