#include "libcaraway/membership/expiring_set.hpp"

#include <algorithm>

namespace caraway::membership
{

namespace
{

std::uint32_t milliseconds_left(base::time_point until, base::time_point now)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 0));
}

}  // namespace

expiring_set::expiring_set(options limits) : options_(limits) {}

std::uint32_t expiring_set::count_up(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                                     base::time_point now)
{
    // A count that expired goes on from where it was: peers remember it too, and would take a
    // smaller one for old news.
    const auto known = records_.find(fingerprint);
    const std::uint32_t former = known == records_.end() ? 0 : known->second.count;
    store(fingerprint, former + 1, ttl, now);
    return count(fingerprint, now);
}

std::uint32_t expiring_set::count(std::uint64_t fingerprint, base::time_point now) const
{
    const auto known = records_.find(fingerprint);
    if (known == records_.end() || known->second.expiry <= now)
    {
        return 0;
    }
    return known->second.count;
}

bool expiring_set::merge(const std::vector<expiring_entry>& entries, base::time_point now)
{
    bool news = false;
    for (const auto& entry : entries)
    {
        const auto known = records_.find(entry.fingerprint);
        // What is at hand with this count keeps its expiry, also when that has passed. Were the
        // later one taken, two nodes would prolong an entry for each other by the time that a
        // message travels, for ever if that is longer than the pause between messages.
        if (known != records_.end() && known->second.count >= entry.count)
        {
            continue;
        }
        store(entry.fingerprint, entry.count, std::chrono::milliseconds(entry.ttl_ms), now);
        news = true;
    }
    return news;
}

std::vector<expiring_entry> expiring_set::digest(std::size_t max_bytes, base::time_point now)
{
    const std::size_t room = max_bytes / options_.bytes_per_entry;
    std::vector<expiring_entry> taken;
    auto next = records_.upper_bound(last_sent_);
    for (std::size_t seen = 0; seen < records_.size() && taken.size() < room; ++seen, ++next)
    {
        if (next == records_.end())
        {
            next = records_.begin();
        }
        const auto& [fingerprint, value] = *next;
        if (value.expiry > now)
        {
            taken.push_back({.fingerprint = fingerprint,
                             .count = value.count,
                             .ttl_ms = milliseconds_left(value.expiry, now)});
            last_sent_ = fingerprint;
        }
    }
    return taken;
}

std::vector<expiring_entry> expiring_set::entries(base::time_point now) const
{
    std::vector<expiring_entry> all;
    for (const auto& [fingerprint, value] : records_)
    {
        if (value.expiry > now)
        {
            all.push_back({.fingerprint = fingerprint,
                           .count = value.count,
                           .ttl_ms = milliseconds_left(value.expiry, now)});
        }
    }
    return all;
}

void expiring_set::store(std::uint64_t fingerprint, std::uint32_t count,
                         std::chrono::milliseconds ttl, base::time_point now)
{
    make_room(now);
    const auto expiry = now + std::min(ttl, options_.max_ttl);
    records_[fingerprint] = {
        .count = count, .expiry = expiry, .forget_at = expiry + options_.max_ttl};
}

void expiring_set::make_room(base::time_point now)
{
    std::erase_if(records_, [now](const auto& item) { return item.second.forget_at <= now; });
    if (records_.size() < options_.max_entries)
    {
        return;
    }
    const auto first_to_go = std::min_element(records_.begin(), records_.end(),
                                              [](const auto& a, const auto& b)
                                              { return a.second.expiry < b.second.expiry; });
    records_.erase(first_to_go);
}

}  // namespace caraway::membership
