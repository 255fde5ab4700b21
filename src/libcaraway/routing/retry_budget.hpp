#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <deque>
#include <map>

namespace caraway::routing
{

struct retry_budget_options
{
    /// Repeats allowed for each request, fleet-wide, in any window.
    double ratio = 0.2;
    /// Repeats allowed besides, fleet-wide.
    double slack = 0;
    std::chrono::milliseconds window{10000};
    /// What a router spends of its part. The rest covers what it can't see: windows that begin
    /// between its own counts, and routers that count a dead peer's part twice.
    double usable_share = 0.6;

    friend bool operator==(const retry_budget_options&, const retry_budget_options&) = default;
};

/// One router's part of the fleet-wide retry budget. Each router keeps to `ratio` of the requests
/// that it has itself received in the window, and to its part of the slack, so that the sum keeps
/// to the fleet's bound without a message; peers that can't hear each other change nothing but the
/// slack's part, which shrinks only with routers that were ever known.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options = {});

    void set_options(retry_budget_options options)
    {
        options_ = options;
    }
    /// Routers that share the slack; never lowered within a life.
    void set_router_count(std::size_t count);

    void record_request(const base::service_id& service, base::time_point now);
    /// Takes one repeat from the budget; false when none is left.
    bool take_retry(const base::service_id& service, base::time_point now);
    /// What is left now, for metrics.
    double remaining(const base::service_id& service, base::time_point now);

private:
    struct counts
    {
        std::deque<base::time_point> requests;
        std::deque<base::time_point> repeats;
    };

    void drop_old(counts& of, base::time_point now) const;

    retry_budget_options options_;
    std::size_t routers_ = 1;
    std::map<base::service_id, counts> services_;
};

}  // namespace caraway::routing
