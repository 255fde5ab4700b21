#include "standin_service/call_log.hpp"

#include <QCryptographicHash>

namespace standin_service
{

namespace
{

/// Calls remembered; older ones are forgotten, so that a long load leaves the process small.
constexpr std::size_t remembered = 20000;

}  // namespace

QByteArray call_log::key_of(const standin::http_request& request)
{
    for (const char* name : {"Idempotency-Key", "X-Request-Id"})
    {
        if (QByteArray key = request.header(name); !key.isEmpty())
        {
            return key;
        }
    }
    return QCryptographicHash::hash(request.body, QCryptographicHash::Sha256).toHex();
}

int call_log::run(const standin::http_request& request)
{
    ++total_runs_;
    return ++counts_of(request).runs;
}

void call_log::answered(const standin::http_request& request)
{
    ++counts_of(request).answered;
}

int call_log::total_runs() const
{
    return total_runs_;
}

QJsonObject call_log::show() const
{
    QJsonObject all;
    for (auto one = calls_.begin(); one != calls_.end(); ++one)
    {
        all[QString::fromUtf8(one.key())] =
            QJsonObject{{QStringLiteral("runs"), one->runs},
                        {QStringLiteral("answered"), one->answered},
                        {QStringLiteral("method"), QString::fromUtf8(one->method)},
                        {QStringLiteral("path"), QString::fromUtf8(one->path)}};
    }
    return all;
}

call_log::counts& call_log::counts_of(const standin::http_request& request)
{
    const QByteArray key = key_of(request);
    const auto known = calls_.find(key);
    if (known != calls_.end())
    {
        return *known;
    }
    order_.push_back(key);
    if (order_.size() > remembered)
    {
        calls_.remove(order_.front());
        order_.pop_front();
    }
    return *calls_.insert(key, {.method = request.method, .path = request.path});
}

}  // namespace standin_service
