#pragma once

#include "libcaraway/base/ids.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace caraway::routing
{

/// What was said of an availability zone.
struct zone_update
{
    base::zone_id zone;
    /// Its upstreams get no new requests.
    bool drained = false;
    /// The store's revision in which it was said, or up to which a listing is current.
    std::uint64_t revision = 0;

    friend bool operator==(const zone_update&, const zone_update&) = default;
};

/// The availability zones whose upstreams get no new requests, by an operator's word. Statements
/// come from the store and from peers, in any order: of each zone the one of the latest revision
/// counts.
class drained_zones
{
public:
    /// Takes note of a statement; whether it changes what holds.
    bool record(const zone_update& what);
    /// What a whole listing says of the zones that it lacks: they are taken back.
    std::vector<zone_update> unlisted_updates(const std::set<base::zone_id>& listed,
                                              std::uint64_t revision) const;

    bool contains(const base::zone_id& zone) const;
    /// How many are drained.
    std::size_t drained_count() const
    {
        return drained_;
    }
    /// The last statement about each zone, for peers.
    std::vector<zone_update> updates() const;

private:
    std::map<base::zone_id, zone_update> last_;
    std::size_t drained_ = 0;
};

}  // namespace caraway::routing
