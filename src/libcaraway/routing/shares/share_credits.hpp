#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/ids.hpp"

#include <map>

namespace caraway::routing::shares
{

/// Decides which of a workspace's requests at this router begin, where it may begin a part of what
/// it demands in the whole fleet: the same part of them at each router, evenly spread. Requests
/// that come back after a refusal get what fresh ones leave.
class share_credits
{
public:
    /// Counts requests that arrived, with their tokens, whether or not they get as far as `admits`.
    void record_arrival(const base::workspace_id& id, double tokens, base::time_point now,
                        double count = 1);
    /// Whether the request may begin: the workspace demands `demanded` tokens within the window and
    /// may begin `limit` of them. `random_unit` is uniform in [0, 1).
    bool admits(const base::workspace_id& id, bool returned, double demanded, double limit,
                double random_unit, base::time_point now);

    /// The workspace's demand at this router right now, relative to its mean of `window_tokens`
    /// tokens within a window of `window_seconds`; 1 unless it has clearly grown.
    double growth(const base::workspace_id& id, double window_tokens, double window_seconds,
                  base::time_point now);
    /// Tokens of the workspace's requests of late on average; 0 if there were none.
    double mean_tokens(const base::workspace_id& id) const;

private:
    /// Decayed counts of requests, and what is left of the parts that were not used.
    struct flow
    {
        base::time_point last{};
        double arrived = 0;
        double fresh = 0;
        double returned = 0;
        double recent_tokens = 0;
        double recent_requests = 0;
        double fresh_credit = 0;
        double returned_credit = 0;
        bool has_credit = false;
    };

    flow& current(const base::workspace_id& id, base::time_point now);

    std::map<base::workspace_id, flow> flows_;
};

}  // namespace caraway::routing::shares
