#include "libcaraway/routing/stream_origins.hpp"

#include <algorithm>

namespace caraway::routing
{

stream_origins::stream_origins(std::size_t max_streams) : max_streams_(max_streams) {}

void stream_origins::record(const known_stream& stream, base::time_point now)
{
    if (stream.expires <= now)
    {
        return;
    }
    const auto origin = index_of(stream.origin);
    const auto found = streams_.find(stream.key);
    if (found == streams_.end())
    {
        if (streams_.size() < max_streams_)
        {
            streams_.emplace(
                stream.key,
                entry{.origin = origin, .expires = stream.expires, .is_own = stream.is_own});
        }
        return;
    }
    auto& known = found->second;
    known.origin = known.origin == origin ? origin : conflicting;
    known.expires = std::max(known.expires, stream.expires);
    known.is_own = known.is_own || stream.is_own;
}

std::optional<stream_origin> stream_origins::find(stream_key key, base::time_point now) const
{
    const auto stream = find_stream(key, now);
    return stream ? std::optional(stream->origin) : std::nullopt;
}

std::optional<known_stream> stream_origins::find_stream(stream_key key, base::time_point now) const
{
    const auto found = streams_.find(key);
    if (found == streams_.end() || found->second.expires <= now ||
        found->second.origin == conflicting)
    {
        return std::nullopt;
    }
    return known_stream{
        .key = key, .origin = origins_[found->second.origin], .expires = found->second.expires};
}

void stream_origins::expire(base::time_point now)
{
    std::erase_if(streams_, [&](const auto& stream) { return stream.second.expires <= now; });
    if (streams_.empty())
    {
        origins_.clear();
    }
}

std::vector<known_stream> stream_origins::all(base::time_point now) const
{
    std::vector<known_stream> known;
    for (const auto& [key, each] : streams_)
    {
        if (each.expires > now && each.origin != conflicting)
        {
            known.push_back({.key = key,
                             .origin = origins_[each.origin],
                             .expires = each.expires,
                             .is_own = each.is_own});
        }
    }
    return known;
}

std::vector<known_stream> stream_origins::own(const base::service_id& service,
                                              base::time_point now) const
{
    auto streams = all(now);
    std::erase_if(streams, [&](const auto& stream)
                  { return !stream.is_own || stream.origin.service != service; });
    return streams;
}

std::size_t stream_origins::index_of(const stream_origin& origin)
{
    const auto found = std::find(origins_.begin(), origins_.end(), origin);
    if (found != origins_.end())
    {
        return static_cast<std::size_t>(found - origins_.begin());
    }
    origins_.push_back(origin);
    return origins_.size() - 1;
}

}  // namespace caraway::routing
