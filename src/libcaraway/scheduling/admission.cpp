#include "libcaraway/scheduling/admission.hpp"

#include <algorithm>

namespace caraway::scheduling
{

namespace
{

constexpr std::chrono::milliseconds min_retry_after{1000};
constexpr std::chrono::milliseconds max_retry_after{60000};
constexpr double milliseconds_per_second = 1000;
/// The measured rate is inexact: a request is rejected only if its expected wait exceeds the time
/// left by this factor.
constexpr double max_lateness_ratio = 1.5;

}  // namespace

admission::admission(const service_directory& directory, const request_queues& queues,
                     const service_rate& rates)
    : directory_(directory), queues_(queues), rates_(rates)
{
}

std::optional<rejection> admission::check(const request& incoming, base::time_point now) const
{
    if (auto rejected = check_allowed(incoming))
    {
        return rejected;
    }
    const auto key = account_of(incoming);
    if (incoming.deadline <= now)
    {
        return rejection{.code = base::errc::timeout, .reason = "the deadline has expired"};
    }
    const auto limit = directory_.workspace(incoming.workspace)->max_waiting;
    if (queues_.waiting(incoming.workspace) >= limit)
    {
        return rejection{.code = base::errc::resource_exhausted,
                         .reason = "the workspace's queue is full",
                         .retry_after = retry_after(key, now)};
    }
    const auto queued_ahead = queues_.waiting(key);
    const auto rate = rates_.rate(key, now);
    const double time_left_s = std::chrono::duration<double>(incoming.deadline - now).count();
    if (queued_ahead > 0 && rate && queued_ahead / *rate > max_lateness_ratio * time_left_s)
    {
        return rejection{
            .code = base::errc::timeout,
            .reason = "the expected wait in the queue exceeds the time left until the deadline",
            .retry_after = retry_after(key, now)};
    }
    return std::nullopt;
}

rejection admission::deadline_rejection(const account& key, base::time_point now) const
{
    return {.code = base::errc::timeout,
            .reason = "no slot became free before the deadline",
            .retry_after = retry_after(key, now)};
}

std::chrono::milliseconds admission::retry_after(const account& key, base::time_point now) const
{
    const auto rate = rates_.rate(key, now);
    if (!rate)
    {
        return min_retry_after;
    }
    const double wait_ms = milliseconds_per_second * queues_.waiting(key) / *rate;
    const auto max_wait_ms = static_cast<double>(max_retry_after.count());
    const std::chrono::milliseconds bounded(
        static_cast<std::int64_t>(std::min(wait_ms, max_wait_ms)));
    return std::max(bounded, min_retry_after);
}

std::optional<rejection> admission::check_allowed(const request& incoming) const
{
    const auto* workspace = directory_.workspace(incoming.workspace);
    if (!workspace)
    {
        return rejection{.code = base::errc::not_found, .reason = "unknown workspace"};
    }
    if (!directory_.service(incoming.service))
    {
        return rejection{.code = base::errc::not_found, .reason = "unknown service"};
    }
    const auto& allowed = workspace->services;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), incoming.service) == allowed.end())
    {
        return rejection{.code = base::errc::permission_denied,
                         .reason = "the workspace may not call this service"};
    }
    const auto& upstreams = directory_.upstreams_of(incoming.service);
    const bool any_available =
        std::any_of(upstreams.begin(), upstreams.end(),
                    [this](const auto& id) { return !directory_.upstream(id)->draining; });
    if (!any_available)
    {
        return rejection{.code = base::errc::unavailable,
                         .reason = "the service has no available upstream",
                         .retry_after = min_retry_after};
    }
    return std::nullopt;
}

}  // namespace caraway::scheduling
