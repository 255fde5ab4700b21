#pragma once

#include "libcaraway/base/ids.hpp"
#include "libcaraway/base/units.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace caraway::scheduling
{

/// The unit by which service is counted: one workspace at one service.
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
    /// Number of waiting requests, at most scheduler_options::max_reported_waiting; a higher number
    /// makes no difference to an owner.
    std::uint32_t waiting = 0;
    /// Estimated cost of the next request to be bound.
    base::cost head_cost;
    /// Age of that request, in milliseconds.
    std::uint32_t head_age_ms = 0;
    /// Hash of that request's prompt prefix; 0 when it has none.
    std::uint64_t affinity = 0;

    friend bool operator==(const demand&, const demand&) = default;
};

/// Number of requests that the reporting router runs at one upstream.
struct holding
{
    base::upstream_id upstream;
    base::slots held = 0;

    friend bool operator==(const holding&, const holding&) = default;
};

/// Router to owner: all state that the owner needs of this router. Replaces the previous report, so
/// lost, repeated or late reports do no harm.
struct router_report
{
    /// Increases with each report to this owner; a report that is not newer than the last one is
    /// dropped.
    std::uint64_t sequence = 0;
    /// Incarnation of the owner that numbered `last_grant`.
    base::incarnation owner_incarnation{};
    /// Hash of the sender's view of the live routers. An owner that has just taken over counts a
    /// report as complete only if both agree on the owner of each upstream.
    std::uint64_t view = 0;
    /// All grants up to and including this number have been bound or declined.
    base::grant_number last_grant{};
    /// The most recent declined grants among these, in ascending order.
    std::vector<base::grant_number> declined;
    std::vector<demand> demands;
    /// True if `demands` is left out because it is nearly the same as in the last report that held
    /// it.
    bool demands_unchanged = false;
    std::vector<holding> holdings;
    /// Upstreams of this owner that the router cannot use at present.
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

/// Slots of a service that the sender owns and no router has requested.
struct free_slots
{
    base::service_id service;
    base::slots free = 0;

    friend bool operator==(const free_slots&, const free_slots&) = default;
};

/// Owner to router: all grants that the router has not yet acknowledged, in ascending order.
struct grant_list
{
    /// Incarnation of the router that the grants are for; any other ignores them.
    base::incarnation router_incarnation{};
    std::vector<grant> grants;
    /// Hint where to ask for slots. A list without grants is sent only to carry this hint.
    std::vector<free_slots> free;

    friend bool operator==(const grant_list&, const grant_list&) = default;
};

/// A node's own total for one account. An epoch is one period of backlog; state of a higher epoch
/// replaces all state of lower ones.
struct service_total
{
    base::service_id service;
    base::workspace_id workspace;
    std::uint32_t epoch = 0;
    /// Credit that raises the account to the service floor when the epoch starts; the largest value
    /// wins.
    base::cost lift;
    base::cost total;

    friend bool operator==(const service_total&, const service_total&) = default;
};

/// Virtual time that a service has reached; an account that becomes backlogged starts there.
struct service_floor
{
    base::service_id service;
    base::virtual_time floor;

    friend bool operator==(const service_floor&, const service_floor&) = default;
};

/// Node to the aggregating node of an account: the sender's own totals, as absolute values.
struct totals_report
{
    std::uint64_t sequence = 0;
    std::vector<service_total> totals;
    /// Accounts whose sums the sender requests.
    std::vector<account> wanted;
    std::vector<service_floor> floors;

    friend bool operator==(const totals_report&, const totals_report&) = default;
};

/// Service that the whole fleet has rendered to one account in its current epoch.
struct service_sum
{
    base::service_id service;
    base::workspace_id workspace;
    std::uint32_t epoch = 0;
    base::cost lift;
    /// Sum of all nodes' totals, without `lift`.
    base::cost sum;
    /// The receiver's own total as contained in `sum`.
    base::cost included;

    friend bool operator==(const service_sum&, const service_sum&) = default;
};

/// Aggregating node to node: fleet-wide sums.
struct totals_reply
{
    std::uint64_t sequence = 0;
    std::vector<service_sum> sums;
    std::vector<service_floor> floors;
    /// Time in milliseconds that the receiver should wait before it asks again.
    std::uint32_t interval_ms = 0;

    friend bool operator==(const totals_reply&, const totals_reply&) = default;
};

/// All messages between the schedulers of two routers.
using peer_message = std::variant<router_report, grant_list, totals_report, totals_reply>;

}  // namespace caraway::scheduling
