#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace caraway::routing
{

/// Whether an availability zone is drained, as of a revision of the store.
struct zone_update
{
    base::zone_id zone;
    /// The zone's upstreams get no new requests.
    bool drained = false;
    /// The store's revision that wrote the row, or up to which a listing is current.
    std::uint64_t revision = 0;

    friend bool operator==(const zone_update&, const zone_update&) = default;
};

/// The availability zones that an operator has drained: their upstreams get no new requests.
/// Updates arrive from the store and from peers in any order; for each zone the latest revision
/// wins.
class drained_zones
{
public:
    /// Returns whether the update changes if the zone is drained. Ignores outdated updates.
    bool record(const zone_update& update);
    /// Updates that restore the drained zones missing from a complete listing, which is current up
    /// to `revision`.
    std::vector<zone_update> unlisted_updates(const std::set<base::zone_id>& listed,
                                              std::uint64_t revision) const;

    bool contains(const base::zone_id& zone) const;
    /// The number of drained zones.
    std::size_t drained_count() const
    {
        return drained_count_;
    }
    /// The last update of each zone, to pass on to peers.
    std::vector<zone_update> updates() const;

private:
    std::map<base::zone_id, zone_update> last_updates_;
    std::size_t drained_count_ = 0;
};

}  // namespace caraway::routing
