#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <deque>
#include <map>

namespace caraway::routing
{

struct retry_budget_options
{
    /// Retries allowed for each request, fleet-wide, in any window.
    double ratio = 0.2;
    /// Retries allowed in any window in addition to `ratio`, fleet-wide.
    double slack = 0;
    std::chrono::milliseconds window{10000};
    /// Fraction of its part of the budget that a router uses. The rest covers what a router cannot
    /// observe: windows that begin between its own counts, and routers that count the part of a
    /// dead peer twice.
    double usable_share = 0.6;

    friend bool operator==(const retry_budget_options&, const retry_budget_options&) = default;
};

/// One router's part of the fleet-wide retry budget. Each router stays within `ratio` of the
/// requests that it received itself in the window, plus its part of the slack, so that the fleet
/// stays within its bound without any messages. A network partition affects only the part of the
/// slack: a router divides the slack by the largest number of routers it has ever known, so its
/// part never grows.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    void set_options(retry_budget_options options)
    {
        options_ = options;
    }
    /// Sets the number of routers that share the slack; a lower number than before is ignored,
    /// until the process is restarted.
    void set_router_count(std::size_t count);

    void record_request(const base::service_id& service, base::time_point now);
    /// Takes one retry from the budget; false if the budget is exhausted.
    bool take_retry(const base::service_id& service, base::time_point now);
    /// Retries left in the current window, for metrics.
    double remaining(const base::service_id& service, base::time_point now);

private:
    struct service_counts
    {
        std::deque<base::time_point> requests;
        std::deque<base::time_point> retries;
    };

    void expire(service_counts& counts, base::time_point now) const;

    retry_budget_options options_;
    std::size_t router_count_ = 1;
    std::map<base::service_id, service_counts> services_;
};

}  // namespace caraway::routing
