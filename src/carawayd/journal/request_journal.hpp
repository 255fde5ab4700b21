#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <QJsonArray>
#include <QJsonObject>

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace carawayd::journal
{

/// Remembers what was decided about the latest requests and why, for `explain`. Any thread may
/// write. Bounded: the oldest request is forgotten first, and a request's events are capped.
class request_journal
{
public:
    explicit request_journal(const caraway::base::clock& clock);

    /// Adds an event; `part` says who decided, `what` is a short fixed text, `details` its figures.
    void record(const caraway::base::request_id& request, const char* part, const char* what,
                QJsonObject details = {});

    /// The events in order, or nothing when the request is unknown here (any more).
    std::optional<QJsonArray> events(const caraway::base::request_id& request) const;

    std::size_t size() const;

private:
    struct entry
    {
        caraway::base::time_point first;
        QJsonArray events;
    };

    const caraway::base::clock& clock_;
    mutable std::mutex mutex_;
    std::unordered_map<caraway::base::request_id, entry> entries_;
    std::deque<caraway::base::request_id> order_;
};

}  // namespace carawayd::journal
