#include "libcaraway/membership/expiring_set.hpp"

#include <algorithm>

namespace caraway::membership
{

namespace
{

std::uint32_t remaining_ms(base::time_point expiry, base::time_point now)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(expiry - now).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 0));
}

}  // namespace

expiring_set::expiring_set(options limits) : options_(limits) {}

std::uint32_t expiring_set::increment(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                                      base::time_point now)
{
    // An expired count is continued rather than reset: peers remember the count as well, and would
    // ignore a smaller one as stale.
    const auto known = records_.find(fingerprint);
    const std::uint32_t previous = known == records_.end() ? 0 : known->second.count;
    store(fingerprint, previous + 1, ttl, now);
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
    bool changed = false;
    for (const auto& entry : entries)
    {
        const auto known = records_.find(entry.fingerprint);
        // An entry with the same or a larger count keeps its expiry, even if that has passed. If
        // the later expiry were taken, two nodes would extend the entry for each other by the
        // message delay, without end if the delay is longer than the interval between messages.
        if (known != records_.end() && known->second.count >= entry.count)
        {
            continue;
        }
        store(entry.fingerprint, entry.count, std::chrono::milliseconds(entry.ttl_ms), now);
        changed = true;
    }
    return changed;
}

std::vector<expiring_entry> expiring_set::next_batch(std::size_t max_bytes, base::time_point now)
{
    const std::size_t capacity = max_bytes / options_.bytes_per_entry;
    std::vector<expiring_entry> batch;
    auto next = records_.upper_bound(last_sent_);
    for (std::size_t visited = 0; visited < records_.size() && batch.size() < capacity;
         ++visited, ++next)
    {
        if (next == records_.end())
        {
            next = records_.begin();
        }
        const auto& [fingerprint, value] = *next;
        if (value.expiry > now)
        {
            batch.push_back({.fingerprint = fingerprint,
                             .count = value.count,
                             .ttl_ms = remaining_ms(value.expiry, now)});
            last_sent_ = fingerprint;
        }
    }
    return batch;
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
                           .ttl_ms = remaining_ms(value.expiry, now)});
        }
    }
    return all;
}

void expiring_set::store(std::uint64_t fingerprint, std::uint32_t count,
                         std::chrono::milliseconds ttl, base::time_point now)
{
    evict(now);
    const auto expiry = now + std::min(ttl, options_.max_ttl);
    records_[fingerprint] = {
        .count = count, .expiry = expiry, .discard_at = expiry + options_.max_ttl};
}

void expiring_set::evict(base::time_point now)
{
    std::erase_if(records_, [now](const auto& item) { return item.second.discard_at <= now; });
    if (records_.size() < options_.max_entries)
    {
        return;
    }
    const auto first_to_expire = std::min_element(records_.begin(), records_.end(),
                                                  [](const auto& a, const auto& b)
                                                  { return a.second.expiry < b.second.expiry; });
    records_.erase(first_to_expire);
}

}  // namespace caraway::membership
