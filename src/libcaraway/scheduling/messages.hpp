#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace caraway::scheduling
{

/// What service is counted by: one workspace at one service.
struct account
{
    base::service_id service;
    base::workspace_id workspace;

    friend bool operator==(const account&, const account&) = default;
    friend std::strong_ordering
    operator<=>(const account&,
                const account&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Requests of one workspace that wait for one service at the reporting router.
struct demand
{
    base::service_id service;
    base::workspace_id workspace;
    /// Capped (scheduler_options::max_reported_waiting): beyond it more makes no difference to an
    /// owner.
    std::uint32_t waiting = 0;
    /// Estimated cost of the request that would be bound next.
    base::cost head_cost;
    /// Age of that request, in milliseconds.
    std::uint32_t head_age_ms = 0;
    /// Hash of that request's prompt prefix; 0 when it has none.
    std::uint64_t affinity = 0;

    friend bool operator==(const demand&, const demand&) = default;
};

/// Requests that the reporting router has running at one upstream.
struct holding
{
    base::upstream_id upstream;
    base::slots held = 0;

    friend bool operator==(const holding&, const holding&) = default;
};

/// Router to owner: the whole state that this owner needs of this router. It replaces the last one,
/// so that a lost, repeated or late report does no harm.
struct router_report
{
    /// Rises with each report to this owner; a report that is not newer is dropped.
    std::uint64_t sequence = 0;
    /// The owner's life whose grants `last_grant` counts.
    base::incarnation owner_incarnation{};
    /// Hash of what the sender takes for the live routers. An owner that has just taken over counts
    /// a report as complete only if both agree on who owns what.
    std::uint64_t view = 0;
    /// All grants up to this one were bound or declined.
    base::grant_number last_grant{};
    /// The latest of those that were declined, in order of number.
    std::vector<base::grant_number> declined;
    std::vector<demand> demands;
    /// The demands are much as in the last report that told them, and left out.
    bool demands_unchanged = false;
    std::vector<holding> holdings;
    /// Upstreams of this owner that the router can't use for now.
    std::vector<base::upstream_id> ejected;

    friend bool operator==(const router_report&, const router_report&) = default;
};

/// One slot given to one workspace at one router.
struct grant
{
    base::grant_number number{};
    base::upstream_id upstream;
    base::service_id service;
    base::workspace_id workspace;

    friend bool operator==(const grant&, const grant&) = default;
};

/// Slots of a service that the sender owns and nobody has asked for.
struct free_slots
{
    base::service_id service;
    base::slots free = 0;

    friend bool operator==(const free_slots&, const free_slots&) = default;
};

/// Owner to router: every grant that the router has not yet acknowledged, in order of number.
struct grant_list
{
    /// The router's life that the grants are for; another life ignores them.
    base::incarnation router_incarnation{};
    std::vector<grant> grants;
    /// A hint on where to ask; a list without grants is sent just for it.
    std::vector<free_slots> free;

    friend bool operator==(const grant_list&, const grant_list&) = default;
};

/// A node's own total for one account. An epoch is one stretch of backlog; a higher epoch
/// replaces all that is known of lower ones.
struct service_total
{
    base::service_id service;
    base::workspace_id workspace;
    std::uint32_t epoch = 0;
    /// Credit that lifts the account to the others when the epoch starts; the largest one wins.
    base::cost lift;
    base::cost total;

    friend bool operator==(const service_total&, const service_total&) = default;
};

/// How far a service's virtual time has come: an account that becomes backlogged starts there.
struct service_floor
{
    base::service_id service;
    base::virtual_time floor;

    friend bool operator==(const service_floor&, const service_floor&) = default;
};

/// Node to an account's aggregating node: the sender's own totals, absolute.
struct totals_report
{
    std::uint64_t sequence = 0;
    std::vector<service_total> totals;
    /// Accounts whose sums the sender wants back.
    std::vector<account> wanted;
    std::vector<service_floor> floors;

    friend bool operator==(const totals_report&, const totals_report&) = default;
};

/// What the whole fleet has rendered to one account in its present epoch.
struct service_sum
{
    base::service_id service;
    base::workspace_id workspace;
    std::uint32_t epoch = 0;
    base::cost lift;
    /// All nodes' totals, without the lift.
    base::cost sum;
    /// The receiver's own part of the sum, as it last reported it.
    base::cost included;

    friend bool operator==(const service_sum&, const service_sum&) = default;
};

/// Aggregating node to node: fleet-wide sums.
struct totals_reply
{
    std::uint64_t sequence = 0;
    std::vector<service_sum> sums;
    std::vector<service_floor> floors;
    /// How long the receiver should wait before it asks again.
    std::uint32_t interval_ms = 0;

    friend bool operator==(const totals_reply&, const totals_reply&) = default;
};

/// All that the schedulers of two routers say to each other.
using peer_message = std::variant<router_report, grant_list, totals_report, totals_reply>;

}  // namespace caraway::scheduling
