#pragma once

#include "libcaraway/base/units.hpp"
#include "libcaraway/scheduling/messages.hpp"

#include <map>

namespace caraway::scheduling
{

/// Computes what a request is charged while its final cost is unknown: its cost so far plus an
/// advance on the remaining cost. Hints are inexact and costs are heavy-tailed: if the whole
/// estimate were charged at the start, the charged total of a workspace would differ from the
/// service rendered by the estimated remaining cost of all its running requests. A bounded advance
/// in effect counts the running requests, and their number determines the rate at which service is
/// rendered.
class cost_estimator
{
public:
    /// `advance_share` is the maximum advance as a fraction of the service's mean cost.
    explicit cost_estimator(double advance_share);

    /// The hint, multiplied by the recent ratio of actual cost to hint for the account. `fallback`
    /// is used if the hint is 0.
    base::cost estimate(const account& key, base::cost hint, base::cost fallback) const;
    /// The cost to charge for a request with this estimate after `streamed` has been rendered.
    /// `fallback` is used as the service's mean cost until a request has completed.
    base::cost charge(const base::service_id& service, base::cost estimate, base::cost streamed,
                      base::cost fallback) const;
    /// Records the actual cost of a completed request.
    void record_cost(const account& key, base::cost hint, base::cost fallback, base::cost actual);

private:
    double advance_share_;
    std::map<account, double> ratios_;
    std::map<base::service_id, base::cost> means_;
};

}  // namespace caraway::scheduling
