#pragma once

#include "libcaraway/routing/stream_origin.hpp"
#include "libcaraway/routing/upstream_directory.hpp"

#include <vector>

namespace caraway::routing
{

/// A router that can keep the origins of other routers' streams.
struct origin_keeper
{
    base::node_id router;
    base::zone_id zone;
    endpoint datagrams;
    /// Accepts callers. One that doesn't is about to stop, and forgets what it keeps.
    bool ready = false;
};

/// Chooses the routers that keep a stream's origin by rendezvous hashing of its key, so that all
/// routers that know about the same others choose about the same ones without messages.
class origin_keepers
{
public:
    /// The other routers.
    explicit origin_keepers(std::vector<origin_keeper> others);

    /// The routers to be told by one of `zone`: the first of that zone and of two others; if there
    /// are fewer zones, further routers.
    std::vector<const origin_keeper*> to_tell(stream_key key, const base::zone_id& zone) const;
    /// The routers that may have been told: the first two of each zone, as the first may have
    /// joined since.
    std::vector<const origin_keeper*> to_ask(stream_key key) const;

private:
    struct ranked_keeper
    {
        const origin_keeper* keeper = nullptr;
        std::uint64_t weight = 0;
        /// Number of routers of its zone that come before it.
        std::size_t rank_in_zone = 0;
    };

    /// All routers that qualify, by falling weight.
    std::vector<ranked_keeper> rank(stream_key key, bool only_ready) const;

    std::vector<origin_keeper> others_;
    /// Hashes of the routers' names.
    std::vector<std::uint64_t> hashes_;
};

}  // namespace caraway::routing
