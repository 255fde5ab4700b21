#pragma once

#include "libcaraway/base/units.hpp"

#include <chrono>
#include <cstdint>
#include <functional>

namespace caraway::scheduling
{

/// Who decides what runs next. All but `full` are there to be compared with it.
enum class policy
{
    full,              ///< Grants by each upstream's owner, least service fleet-wide first.
    local_only,        ///< Each router fair by its own counts, over its fixed part of the slots.
    shared_counters,   ///< Fixed parts of the slots, but fleet-wide counts.
    single_scheduler,  ///< One router owns all upstreams.
};

/// The stable name, as in "shared_counters".
const char* name(policy value);

/// Settings of the scheduler; the same on every router.
struct scheduler_options
{
    policy mode = policy::full;

    /// Owners to which a router shows the requests that wait for one service.
    std::uint32_t owners_asked = 16;
    /// Of these, replaced by others each refresh while requests wait.
    std::uint32_t owners_resampled = 2;
    /// Of these, asked at first when so many are known to have free slots.
    std::uint32_t owners_asked_first = 2;
    /// How long those are given before the others are asked too.
    std::chrono::milliseconds first_owners_timeout{10};
    /// How long a hint of free slots is believed.
    std::chrono::milliseconds free_hint_lifetime{1000};
    /// Routers that an owner with free slots tells of them, each refresh, if it isn't asked by all.
    std::uint32_t free_hints_sent = 2;

    /// Requests sent to an upstream beyond its slots, so that a slot is refilled without a round
    /// trip.
    base::slots headroom = 1;

    std::chrono::milliseconds report_delay{2};
    /// Delay of a report on demand alone, when another owner has served it.
    std::chrono::milliseconds report_deferred_delay{25};
    /// A report is repeated once after this, in case it got lost; a choice of owners is drawn anew.
    std::chrono::milliseconds report_refresh{250};
    /// From then on it is repeated this often while there is something to tell.
    std::chrono::milliseconds report_slow_refresh{2000};
    /// Largest number of waiting requests told of one workspace and service.
    std::uint32_t max_reported_waiting = 4;

    std::chrono::milliseconds grant_resend_interval{50};
    std::chrono::milliseconds grant_timeout{1000};
    /// How long an upstream isn't offered again to a router that declined it though work waits.
    std::chrono::milliseconds decline_backoff{100};
    /// How long a new owner waits for the reports of all routers before it grants.
    std::chrono::milliseconds takeover_wait{500};

    /// What is charged in advance of a request's service, in mean costs of its service. More widens
    /// the gap in service; much less lets it swing.
    double advance_share = 0.5;
    /// How often an aggregator is told and asked, unless it wants to be asked less often.
    std::chrono::milliseconds totals_period{150};
    /// Totals are all sent anew this often, whether they changed or not.
    std::chrono::milliseconds totals_refresh{2000};
    /// Replies about sums that an aggregator gives a second, at most; more that ask get longer
    /// intervals.
    std::uint32_t totals_replies_per_second = 30;
    /// How long a grant to another router is charged locally, until the sums hold it; at least, and
    /// in intervals of the aggregator. As long as it takes on the average: longer counts twice.
    std::chrono::milliseconds charge_lag{150};
    double charge_lag_intervals = 1.2;
    /// An account without waiting requests for so long earns no credit from then on.
    std::chrono::milliseconds idle_timeout{500};
    /// How long an aggregator that just became one lifts nobody.
    std::chrono::milliseconds aggregator_warm_up{1000};
    /// An account that comes back from idling is lifted when it lags by more than so many of its
    /// service's default costs.
    double lift_tolerance = 1;
    /// How far a backlogged account may lag behind (after a partition): so many default costs for
    /// each slot of the service. Less than one would forgive what a workspace takes that finds all
    /// slots free a moment before the others ask.
    double max_backlogged_lag = 1;

    /// Retries allowed for each first attempt of a service.
    double retry_budget_ratio = 0.1;
    /// Retries that may be saved up.
    double retry_budget_burst = 10;
    /// How long a retry avoids the upstream that it comes from.
    std::chrono::milliseconds retry_avoid{2000};

    std::chrono::milliseconds ejection_base{500};
    std::chrono::milliseconds ejection_max{30000};
    std::uint32_t ejection_failures = 3;
    /// Largest part of a service's upstreams that is ejected at a time.
    double max_ejected_fraction = 0.5;

    /// Upstreams whose last prefixes are remembered, a node.
    std::uint32_t affinity_entries = 4096;

    /// Source of randomness, for spreading only; needed.
    std::function<std::uint64_t()> random;
};

}  // namespace caraway::scheduling
