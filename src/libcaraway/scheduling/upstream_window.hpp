#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/units.hpp"

#include <optional>

namespace caraway::scheduling
{

/// Number of requests that an owner keeps at an upstream: its slots and a headroom, so that the
/// upstream's batch stays full while the notice of a free slot is in transit. Requests that wait at
/// the upstream are beyond the reach of fair scheduling, so the window shrinks when the upstream's
/// own (delayed) reports show more waiting requests than the headroom.
class upstream_window
{
public:
    upstream_window(base::slots slots, base::slots headroom);

    void configure(base::slots slots, base::slots headroom);
    /// Handles a load report of the upstream, taken at `taken_at`.
    void observe(base::slots running, base::slots waiting, base::time_point taken_at,
                 base::time_point now);

    base::slots size() const;

private:
    base::slots slots_;
    base::slots headroom_;
    /// Number of requests that the upstream was observed to run at the same time, if fewer than its
    /// configured slots.
    base::slots capacity_;
    std::optional<base::time_point> changed_at_;
};

}  // namespace caraway::scheduling
