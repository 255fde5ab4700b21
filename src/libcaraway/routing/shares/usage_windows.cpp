#include "libcaraway/routing/shares/usage_windows.hpp"

#include <algorithm>

namespace caraway::routing::shares
{

void usage_windows::set_window(std::chrono::milliseconds window)
{
    if (window == window_)
    {
        return;
    }
    window_ = window;
    by_workspace_.clear();
}

double usage_windows::window_seconds() const
{
    return std::chrono::duration<double>(window_).count();
}

workspace_usage& usage_windows::current(const base::workspace_id& id, base::time_point now)
{
    auto& counts = by_workspace_[id];
    const auto number = bucket_number(now);
    advance(counts, number);
    return counts.buckets[static_cast<std::size_t>(number) % bucket_count];
}

workspace_usages usage_windows::totals(base::time_point now)
{
    workspace_usages usages;
    for (auto entry = by_workspace_.begin(); entry != by_workspace_.end();)
    {
        const auto usage = total(entry->second, now);
        if (usage.demanded == 0 && usage.served == 0)
        {
            entry = by_workspace_.erase(entry);
            continue;
        }
        usages[entry->first] = usage;
        ++entry;
    }
    return usages;
}

std::int64_t usage_windows::bucket_number(base::time_point now) const
{
    const base::duration bucket_length = window_ / static_cast<int>(bucket_count);
    return now.time_since_epoch() / bucket_length;
}

workspace_usage usage_windows::total(sliding_window& counts, base::time_point now) const
{
    const auto newest = bucket_number(now);
    advance(counts, newest);
    workspace_usage sum;
    double recently_served = 0;
    const double newest_part = elapsed_part(now);
    for (int age = 0; age < static_cast<int>(bucket_count); ++age)
    {
        auto bucket = counts.buckets[static_cast<std::size_t>(newest - age) % bucket_count];
        const double refusal_part =
            std::clamp(static_cast<double>(refusal_buckets - age) + 1 - newest_part, 0.0, 1.0);
        bucket.refused *= refusal_part;
        bucket.held_by_engines *= refusal_part;
        bucket.held_by_processor *= refusal_part;
        recently_served += age < rate_buckets ? bucket.served : 0;
        sum += bucket;
    }
    sum.served = std::max(0.0, sum.served);
    sum.serving_rate = std::max(0.0, recently_served) / recent_seconds(now);
    return sum;
}

/// Part of the newest bucket that is over.
double usage_windows::elapsed_part(base::time_point now) const
{
    using real_seconds = std::chrono::duration<double>;
    const base::duration length = window_ / static_cast<int>(bucket_count);
    return real_seconds(now.time_since_epoch() % length) / real_seconds(length);
}

/// Time that the newest `rate_buckets` buckets cover so far.
double usage_windows::recent_seconds(base::time_point now) const
{
    const double bucket_seconds = window_seconds() / static_cast<double>(bucket_count);
    return (rate_buckets - 1 + elapsed_part(now)) * bucket_seconds;
}

void usage_windows::advance(sliding_window& counts, std::int64_t bucket)
{
    const auto expired_buckets =
        std::min<std::int64_t>(bucket - counts.newest_bucket, bucket_count);
    for (std::int64_t step = 0; step < expired_buckets; ++step)
    {
        counts.buckets[static_cast<std::size_t>(bucket - step) % bucket_count] = {};
    }
    counts.newest_bucket = std::max(counts.newest_bucket, bucket);
}

}  // namespace caraway::routing::shares
