#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <map>
#include <optional>
#include <utility>

namespace caraway::routing
{

/// The software versions that upstreams of each service had in the platform's table, as far back
/// as this router has followed it without a gap.
class served_versions
{
public:
    /// An upstream of this version is in the table.
    void record(const base::service_id& service, const base::software_version& software,
                base::time_point now);
    /// Until now, versions may have come and gone unnoticed.
    void record_gap(base::time_point now);
    /// The only version that upstreams of the service had within the last `period`; empty if there
    /// were several, or if it isn't known.
    std::optional<base::software_version> sole(const base::service_id& service,
                                               base::duration period, base::time_point now) const;

private:
    /// When an upstream with this version was last in the table.
    std::map<std::pair<base::service_id, base::software_version>, base::time_point> last_listed_;
    base::time_point complete_since_ = base::time_point::max();
};

}  // namespace caraway::routing
