#pragma once

#include <chrono>

namespace caraway::routing::entry
{

struct relay_pace_options
{
    /// Longest time that an event of a stream may be left unread for the next ones. Callers need
    /// events within 200 ms, of which an event loop at its limit takes some tens itself.
    std::chrono::milliseconds max_pause{50};
    /// The same as a fraction of the route's target for the gap between events.
    double max_gap_fraction = 0.25;
};

/// How long a stream whose events were just relayed is left unread. 0 while the router keeps up:
/// each event is relayed as it arrives. At the limit of the processor, events that arrive within a
/// short time are read, parsed and written together, at the cost of one. A stream's first events
/// come before any pause.
std::chrono::milliseconds pause_after_events(bool overloaded, std::chrono::milliseconds gap_target,
                                             const relay_pace_options& options = {});

}  // namespace caraway::routing::entry
