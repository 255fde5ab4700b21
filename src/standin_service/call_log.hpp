#pragma once

#include "libstandin/http_request.hpp"

#include <QByteArray>
#include <QHash>
#include <QJsonObject>

#include <deque>

namespace standin_service
{

/// How often each call ran, by the name that the caller gave it.
class call_log
{
public:
    /// `Idempotency-Key`, else `X-Request-Id`, else the hash of the body.
    static QByteArray key_of(const standin::http_request& request);

    /// Counts a run; which one it is of that call, from 1.
    int run(const standin::http_request& request);
    void answered(const standin::http_request& request);

    int total_runs() const;
    QJsonObject show() const;

private:
    struct counts
    {
        int runs = 0;
        int answered = 0;
        QByteArray method;
        QByteArray path;
    };
    counts& counts_of(const standin::http_request& request);

    QHash<QByteArray, counts> calls_;
    std::deque<QByteArray> order_;
    int total_runs_ = 0;
};

}  // namespace standin_service
