#include "libcaraway/attempts/crash_detector.hpp"

#include <algorithm>

namespace caraway::attempts
{

namespace
{

/// Removes one occurrence of `value`. Returns false if there is none.
bool remove_one(std::vector<request_fingerprint>& values, request_fingerprint value)
{
    const auto found = std::find(values.begin(), values.end(), value);
    if (found == values.end())
    {
        return false;
    }
    values.erase(found);
    return true;
}

}  // namespace

crash_detector::crash_detector(crash_detector_options options) : options_(options) {}

void crash_detector::record_started(const upstream_incarnation& upstream,
                                    request_fingerprint fingerprint)
{
    upstreams_[upstream].in_flight.push_back(fingerprint);
}

void crash_detector::record_ended(const upstream_incarnation& upstream,
                                  request_fingerprint fingerprint)
{
    const auto found = upstreams_.find(upstream);
    if (found != upstreams_.end())
    {
        remove_one(found->second.in_flight, fingerprint);
    }
}

std::optional<upstream_crash>
crash_detector::record_connection_lost(const upstream_incarnation& upstream,
                                       request_fingerprint fingerprint, base::time_point now)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end() || !remove_one(found->second.in_flight, fingerprint))
    {
        // Already attributed to a crash that was reported before this connection was lost.
        return std::nullopt;
    }
    auto& state = found->second;
    std::erase_if(state.lost, [&](const lost_request& entry)
                  { return entry.at + options_.loss_retention <= now; });
    state.lost.push_back({.fingerprint = fingerprint, .at = now});
    const auto recent_losses =
        std::count_if(state.lost.begin(), state.lost.end(),
                      [&](const lost_request& entry) { return entry.at + options_.window > now; });
    const bool unreachable =
        state.unreachable && *state.unreachable + options_.loss_retention > now;
    if (!unreachable &&
        static_cast<std::uint32_t>(recent_losses) < options_.min_simultaneous_losses)
    {
        return std::nullopt;
    }
    return take_crash(upstream, state);
}

std::optional<upstream_crash>
crash_detector::record_unreachable(const upstream_incarnation& upstream, base::time_point now)
{
    auto& state = upstreams_[upstream];
    state.unreachable = now;
    std::erase_if(state.lost, [&](const lost_request& entry)
                  { return entry.at + options_.loss_retention <= now; });
    if (state.lost.empty())
    {
        return std::nullopt;
    }
    return take_crash(upstream, state);
}

std::vector<upstream_crash> crash_detector::record_restarted(const upstream_incarnation& upstream,
                                                             base::time_point now)
{
    std::vector<upstream_incarnation> previous;
    for (auto position = upstreams_.lower_bound({.id = upstream.id});
         position != upstreams_.end() && position->first < upstream; ++position)
    {
        previous.push_back(position->first);
    }
    std::vector<upstream_crash> crashes;
    for (const auto& each : previous)
    {
        if (auto crash = record_unreachable(each, now))
        {
            crashes.push_back(std::move(*crash));
        }
    }
    return crashes;
}

void crash_detector::record_healthy(const upstream_incarnation& upstream)
{
    const auto found = upstreams_.find(upstream);
    if (found == upstreams_.end())
    {
        return;
    }
    found->second.lost.clear();
    found->second.unreachable.reset();
    if (found->second.in_flight.empty())
    {
        upstreams_.erase(found);
    }
}

void crash_detector::expire(base::time_point now)
{
    std::erase_if(upstreams_, [&](const auto& entry) { return has_expired(entry.second, now); });
}

bool crash_detector::has_expired(const upstream_state& state, base::time_point now) const
{
    const auto is_old = [&](base::time_point at)
    {
        return at + options_.loss_retention <= now;
    };
    return state.in_flight.empty() && (!state.unreachable || is_old(*state.unreachable)) &&
           std::all_of(state.lost.begin(), state.lost.end(),
                       [&](const lost_request& entry) { return is_old(entry.at); });
}

upstream_crash crash_detector::take_crash(const upstream_incarnation& upstream,
                                          upstream_state& state)
{
    upstream_crash crash{.upstream = upstream, .in_flight = std::move(state.in_flight)};
    for (const auto& entry : state.lost)
    {
        crash.in_flight.push_back(entry.fingerprint);
    }
    std::sort(crash.in_flight.begin(), crash.in_flight.end());
    const auto duplicates = std::unique(crash.in_flight.begin(), crash.in_flight.end());
    crash.in_flight.erase(duplicates, crash.in_flight.end());
    state = upstream_state{};
    return crash;
}

}  // namespace caraway::attempts
