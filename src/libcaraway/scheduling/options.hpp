#pragma once

#include "libcaraway/base/units.hpp"

#include <chrono>
#include <cstdint>
#include <functional>

namespace caraway::scheduling
{

/// How it is decided which request runs next. All modes but `full` exist for comparison with it.
enum class policy
{
    full,        ///< Each upstream's owner grants slots, least served account of the fleet first.
    local_only,  ///< Each router is fair by its own counts within a fixed part of the slots.
    shared_counters,   ///< Fixed parts of the slots, but counts of the whole fleet.
    single_scheduler,  ///< One router owns all upstreams.
};

/// Stable name of the mode, as in "shared_counters".
const char* name(policy value);

/// Settings of the scheduler; must be the same on every router.
struct scheduler_options
{
    policy mode = policy::full;

    /// Number of owners to which a router reports the requests that wait for one service.
    std::uint32_t owners_asked = 16;
    /// Number of these owners replaced by others at each refresh while requests wait.
    std::uint32_t owners_resampled = 2;
    /// Number of these owners asked first when at least so many are known to have free slots.
    std::uint32_t owners_asked_first = 2;
    /// Time after which the other owners are asked, too.
    std::chrono::milliseconds first_owners_timeout{10};
    /// Time after which a hint of free slots expires.
    std::chrono::milliseconds free_hint_lifetime{1000};
    /// Number of routers to which an owner with free slots sends a hint at each refresh, unless all
    /// routers ask it anyway.
    std::uint32_t free_hints_sent = 2;

    /// Requests sent to an upstream beyond its slots, so that a freed slot is refilled without a
    /// round trip.
    base::slots headroom = 1;

    std::chrono::milliseconds report_delay{2};
    /// Delay of a report that only tells of changed demand, once another owner has served that
    /// demand.
    std::chrono::milliseconds report_deferred_delay{25};
    /// A report is repeated once after this time in case it was lost; the router then also draws a
    /// new choice of owners.
    std::chrono::milliseconds report_refresh{250};
    /// After that repetition, a report is repeated at this interval while it is not empty.
    std::chrono::milliseconds report_slow_refresh{2000};
    /// Highest number of waiting requests reported for one workspace and service.
    std::uint32_t max_reported_waiting = 4;

    std::chrono::milliseconds grant_resend_interval{50};
    std::chrono::milliseconds grant_timeout{1000};
    /// How long an upstream is not offered again to a router that declined it although requests
    /// wait there.
    std::chrono::milliseconds decline_backoff{100};
    /// How long a new owner waits for the reports of all routers before it grants slots.
    std::chrono::milliseconds takeover_wait{500};

    /// Cost charged before a request has been served, in mean costs of its service. A higher value
    /// widens the gap in service between workspaces; a much lower one makes their shares oscillate.
    double advance_share = 0.5;
    /// Interval at which totals are sent to an aggregator and sums are requested from it, unless it
    /// requests a longer one.
    std::chrono::milliseconds totals_period{150};
    /// Interval at which all recently changed totals are sent again, in case a report was lost.
    std::chrono::milliseconds totals_refresh{2000};
    /// Highest number of replies with sums that an aggregator sends per second; if more nodes ask,
    /// it tells them to use longer intervals.
    std::uint32_t totals_replies_per_second = 30;
    /// How long a grant to another router is charged locally until the sums contain it: at least
    /// `charge_lag`, and at least `charge_lag_intervals` intervals of the aggregator. Should match
    /// the mean delay: a longer time counts the grant twice.
    std::chrono::milliseconds charge_lag{150};
    double charge_lag_intervals = 1.2;
    /// An account without waiting requests for this long is idle and earns no credit from then on.
    std::chrono::milliseconds idle_timeout{500};
    /// Time for which a new aggregator lifts no account.
    std::chrono::milliseconds aggregator_warm_up{1000};
    /// An account that resumes after idling is lifted if it lags by more than this many default
    /// costs of its service.
    double lift_tolerance = 1;
    /// Highest lag of a backlogged account (after a partition), in default costs for each slot of
    /// the service. Less than one would write off the service that a workspace takes when it finds
    /// all slots free a moment before the others ask.
    double max_backlogged_lag = 1;

    /// Retries allowed per first attempt of a service.
    double retry_budget_ratio = 0.1;
    /// Highest number of unused retries that can accumulate.
    double retry_budget_burst = 10;
    /// How long a retry avoids the upstream at which the previous attempt failed.
    std::chrono::milliseconds retry_avoid{2000};

    std::chrono::milliseconds ejection_base{500};
    std::chrono::milliseconds ejection_max{30000};
    std::uint32_t ejection_failures = 3;
    /// Highest fraction of a service's upstreams that may be ejected at the same time.
    double max_ejected_fraction = 0.5;

    /// Prompt prefixes that each node remembers with the upstream that last ran them.
    std::uint32_t affinity_entries = 4096;

    /// Source of random numbers, used only to spread load; must be set.
    std::function<std::uint64_t()> random;
};

}  // namespace caraway::scheduling
