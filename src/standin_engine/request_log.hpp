#pragma once

#include <QByteArray>
#include <QHash>
#include <QJsonObject>

#include <deque>

namespace standin_engine
{

/// What became of the requests with one X-Request-Id at this engine.
struct request_counts
{
    int received = 0;
    int started = 0;
    int finished = 0;
    int cancelled = 0;
    int tokens = 0;
};

/// Counts by X-Request-Id, of the ids that came last, and in all.
class request_log
{
public:
    /// Adds to the counts of that id and to the totals.
    void add(const QByteArray& request_id, const request_counts& more);

    QJsonObject totals() const;
    QJsonObject by_request() const;
    const request_counts& total() const;

private:
    QHash<QByteArray, request_counts> counts_;
    std::deque<QByteArray> order_;
    request_counts total_;
};

}  // namespace standin_engine
