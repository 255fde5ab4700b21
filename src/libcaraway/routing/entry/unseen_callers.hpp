#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <chrono>
#include <map>

namespace caraway::routing::entry
{

struct unseen_callers_options
{
    /// Time constant with which what was seen is forgotten.
    std::chrono::milliseconds memory{500};
    /// Callers assumed to have been missed for each one seen, at most: what is seen in a few
    /// milliseconds says little of the rest.
    double most_per_seen = 10;
};

/// Estimates how many callers of each workspace found the listening socket closed, which nobody can
/// count: as many per second as were seen per second while it was open.
class unseen_callers
{
public:
    using counts = std::map<base::workspace_id, double>;

    explicit unseen_callers(unseen_callers_options options = {}) : options_(options) {}

    /// A new connection of the workspace was seen, whatever became of it.
    void record_seen(const base::workspace_id& workspace);
    /// The callers of each workspace that came while the socket was closed, of the time since the
    /// last call. Nothing if a time is negative.
    counts advance(base::duration open, base::duration closed);

private:
    unseen_callers_options options_;
    /// Decayed, like the time in which they were seen.
    counts seen_;
    double open_seconds_ = 0;
};

}  // namespace caraway::routing::entry
