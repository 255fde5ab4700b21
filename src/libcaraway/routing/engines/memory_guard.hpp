#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/routing/configuration.hpp"
#include "libcaraway/routing/engines/load_tracker.hpp"

#include <chrono>

namespace caraway::routing::engines
{

/// Keeps the requests of all routers together within an engine's memory, though each router knows
/// of the others' requests only by digests.
///
/// Routers divide the room that is left, in proportion to the tokens that each of them holds at all
/// engines: between two of its digests, a router's own load at an engine grows by no more than its
/// part of the room. If there is room for fewer requests than there are routers, the engine's id
/// selects the routers that may place one, the same on all of them; others have their turn at other
/// engines. While little of the engine's memory is taken, and its load doesn't grow fast, each
/// router may place one request in any case.
class memory_guard
{
public:
    /// Recomputes this router's part of the room, which is not divided before the first call.
    /// `digest_period` is the time between two digests
    /// of a router to a peer.
    void update(const load_tracker& loads, const base::node_id& self,
                std::chrono::milliseconds digest_period);

    /// The part of the engine's slots or of its usable memory that the load takes, whichever is
    /// larger; above 1 while requests wait there.
    static double part_taken(const engine_capacity& engine, const upstream_load& load);

    /// Whether a request that needs `tokens` fits into the engine.
    bool has_room(const engine_capacity& engine, const base::upstream_id& id,
                  const known_load& load, std::uint64_t tokens) const;

private:
    bool is_scarce(const known_load& load, double tokens, double usable) const;
    /// Requests that this router may place if there is room for `requests` from all routers.
    double own_part(const base::upstream_id& id, double requests) const;

    bool divides_room_ = false;
    /// Digests are assumed to be this old at most: one of them may be lost.
    std::chrono::milliseconds max_digest_age_{200};
    /// This router's part of the room, between 0 and 1. All routers' parts make up the whole.
    double part_begin_ = 0;
    double part_end_ = 1;
};

}  // namespace caraway::routing::engines
