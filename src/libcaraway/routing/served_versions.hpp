#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace caraway::routing
{

/// A software version that upstreams of a service had, and how long ago one was last listed.
struct listed_version
{
    base::service_id service;
    base::software_version software;
    base::duration age{};
};

/// The versions that are known to have served, and for how long into the past there are no others.
struct version_history
{
    std::vector<listed_version> versions;
    base::duration complete_for{};
};

/// The software versions that upstreams of each service had in the platform's table, as far back
/// as all changes of the table are known.
class served_versions
{
public:
    /// An upstream of this version is in the table.
    void record(const base::service_id& service, const base::software_version& software,
                base::time_point now);
    /// Until now, versions may have come and gone unnoticed.
    void record_gap(base::time_point now);
    /// Nothing has served before.
    void record_first_start(base::time_point now);
    /// Adds what another router knew, if nothing is missing between that and now.
    void restore(const version_history& known, base::time_point now);
    version_history history(base::time_point now) const;
    /// Whether all versions that upstreams had within the last `period` are known.
    bool is_complete(base::duration period, base::time_point now) const
    {
        return complete_for(now) >= period;
    }
    /// The only version that upstreams of the service had within the last `period`; empty if there
    /// were several, or if it isn't known.
    std::optional<base::software_version> sole(const base::service_id& service,
                                               base::duration period, base::time_point now) const;

    /// Whether upstreams of the service are known to have had several versions within the last
    /// `period`.
    bool are_several(const base::service_id& service, base::duration period,
                     base::time_point now) const
    {
        return listed_within(service, period, now).size() > 1;
    }

private:
    std::vector<base::software_version> listed_within(const base::service_id& service,
                                                      base::duration period,
                                                      base::time_point now) const;
    base::duration complete_for(base::time_point now) const;

    /// When an upstream with this version was last in the table.
    std::map<std::pair<base::service_id, base::software_version>, base::time_point> last_listed_;
    std::optional<base::time_point> complete_since_;
};

}  // namespace caraway::routing
