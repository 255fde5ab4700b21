#include "libcaraway/scheduling/request_queues.hpp"

#include <algorithm>
#include <iterator>

namespace caraway::scheduling
{

namespace
{

template <class Map>
std::uint32_t count(const Map& map, const typename Map::key_type& key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

template <class Map>
void decrement(Map& map, const typename Map::key_type& key)
{
    const auto found = map.find(key);
    if (--found->second == 0)
    {
        map.erase(found);
    }
}

}  // namespace

account account_of(const request& counted)
{
    return {.service = counted.service, .workspace = counted.workspace};
}

void request_queues::push_back(request incoming)
{
    const auto key = account_of(incoming);
    auto& account_queue = queues_[key];
    insert(key, account_queue.end(), {.waiting = std::move(incoming), .avoid_until = {}});
}

void request_queues::push_front(request retried, base::time_point avoid_until)
{
    const auto key = account_of(retried);
    auto& account_queue = queues_[key];
    insert(key, account_queue.begin(), {.waiting = std::move(retried), .avoid_until = avoid_until});
}

std::optional<request> request_queues::take(const account& key, const base::upstream_id& upstream,
                                            base::time_point now)
{
    const auto found = queues_.find(key);
    if (found == queues_.end())
    {
        return std::nullopt;
    }
    auto& account_queue = found->second;
    const auto is_eligible = [&](const entry& candidate)
    {
        return now >= candidate.avoid_until || candidate.waiting.last_upstream != upstream;
    };
    const auto position = std::find_if(account_queue.begin(), account_queue.end(), is_eligible);
    if (position == account_queue.end())
    {
        return std::nullopt;
    }
    return erase(key, position);
}

std::optional<request> request_queues::remove(base::request_number number)
{
    const auto found = positions_.find(number);
    if (found == positions_.end())
    {
        return std::nullopt;
    }
    const auto [key, position] = found->second;
    return erase(key, position);
}

std::vector<request> request_queues::expire(base::time_point now)
{
    std::vector<request> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        expired.push_back(*remove(deadlines_.begin()->second));
    }
    return expired;
}

std::optional<base::time_point> request_queues::next_deadline() const
{
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.begin()->first);
}

bool request_queues::contains(base::request_number number) const
{
    return positions_.contains(number);
}

const request* request_queues::head(const account& key) const
{
    const auto found = queues_.find(key);
    return found == queues_.end() ? nullptr : &found->second.front().waiting;
}

std::uint32_t request_queues::waiting(const account& key) const
{
    const auto found = queues_.find(key);
    return found == queues_.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

std::uint32_t request_queues::waiting(const base::workspace_id& workspace) const
{
    return count(waiting_by_workspace_, workspace);
}

std::uint32_t request_queues::waiting(const base::service_id& service) const
{
    return count(waiting_by_service_, service);
}

std::vector<account> request_queues::accounts() const
{
    std::vector<account> keys;
    keys.reserve(queues_.size());
    for (const auto& [key, account_queue] : queues_)
    {
        keys.push_back(key);
    }
    return keys;
}

void request_queues::insert(const account& key, queue::iterator position, entry added)
{
    const auto number = added.waiting.number;
    deadlines_.emplace(added.waiting.deadline, number);
    ++waiting_by_workspace_[key.workspace];
    ++waiting_by_service_[key.service];
    const auto inserted = queues_[key].insert(position, std::move(added));
    positions_.emplace(number, std::pair(key, inserted));
}

request request_queues::erase(const account& key, queue::iterator position)
{
    const auto account_queue = queues_.find(key);
    request removed = std::move(position->waiting);
    account_queue->second.erase(position);
    if (account_queue->second.empty())
    {
        queues_.erase(account_queue);
    }
    positions_.erase(removed.number);
    deadlines_.erase({removed.deadline, removed.number});
    decrement(waiting_by_workspace_, removed.workspace);
    decrement(waiting_by_service_, removed.service);
    return removed;
}

}  // namespace caraway::scheduling
