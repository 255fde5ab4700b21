#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/routing/stream_origin.hpp"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace caraway::routing
{

/// The origin of a stream, and until when its caller may resume it.
struct known_stream
{
    stream_key key{};
    stream_origin origin;
    base::time_point expires{};
    /// It began at this router.
    bool is_own = false;
};

/// Origins of the streams that this router began or was told of.
class stream_origins
{
public:
    /// Bounds the memory to a few megabytes; a node of the largest fleets knows some thousand.
    static constexpr std::size_t default_max_streams = 50000;

    explicit stream_origins(std::size_t max_streams = default_max_streams);

    /// Records an origin, or extends its time. If the stream is known with another origin, neither
    /// is returned from then on. Does nothing if no more streams can be recorded.
    void record(const known_stream& stream, base::time_point now);
    std::optional<stream_origin> find(stream_key key, base::time_point now) const;
    /// The same, with the time until which the stream may be resumed.
    std::optional<known_stream> find_stream(stream_key key, base::time_point now) const;
    void expire(base::time_point now);
    /// All streams whose origin is known.
    std::vector<known_stream> all(base::time_point now) const;
    /// The streams of the service that began at this router.
    std::vector<known_stream> own(const base::service_id& service, base::time_point now) const;
    std::size_t size() const
    {
        return streams_.size();
    }

private:
    struct entry
    {
        /// Position in `origins_`; `conflicting` if two origins were recorded.
        std::size_t origin = 0;
        base::time_point expires{};
        bool is_own = false;
    };
    static constexpr std::size_t conflicting = static_cast<std::size_t>(-1);

    std::size_t index_of(const stream_origin& origin);

    std::size_t max_streams_;
    /// The distinct origins: as many as there are services and versions.
    std::vector<stream_origin> origins_;
    std::unordered_map<stream_key, entry> streams_;
};

}  // namespace caraway::routing
