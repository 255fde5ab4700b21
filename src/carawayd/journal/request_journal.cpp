#include "carawayd/journal/request_journal.hpp"

#include <chrono>
#include <utility>

namespace carawayd::journal
{

namespace
{

constexpr std::size_t remembered_requests = 4096;
constexpr qsizetype events_a_request = 64;

}  // namespace

request_journal::request_journal(const caraway::base::clock& clock) : clock_(clock) {}

void request_journal::record(const caraway::base::request_id& request, const char* part,
                             const char* what, QJsonObject details)
{
    const caraway::base::time_point now = clock_.now();
    const std::lock_guard lock(mutex_);
    auto [place, added] = entries_.try_emplace(request);
    if (added)
    {
        place->second.first = now;
        order_.push_back(request);
    }
    if (place->second.events.size() >= events_a_request)
    {
        return;
    }
    const auto age = std::chrono::duration<double, std::milli>(now - place->second.first);
    details["at_ms"] = age.count();
    details["part"] = part;
    details["what"] = what;
    place->second.events.append(std::move(details));
    if (order_.size() > remembered_requests)
    {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

std::optional<QJsonArray> request_journal::events(const caraway::base::request_id& request) const
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(request);
    if (found == entries_.end())
    {
        return std::nullopt;
    }
    return found->second.events;
}

std::size_t request_journal::size() const
{
    const std::lock_guard lock(mutex_);
    return order_.size();
}

}  // namespace carawayd::journal
