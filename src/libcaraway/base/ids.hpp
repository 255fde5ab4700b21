#pragma once

#include "libcaraway/base/strong_id.hpp"

#include <compare>
#include <cstdint>
#include <ostream>

namespace caraway::base
{

/// A customer's team. Capacity is shared fairly between workspaces.
using workspace_id = strong_id<struct workspace_tag>;
/// The target of a request: a model or an application.
using service_id = strong_id<struct service_tag>;
/// One back end: a model engine (runner) or an instance of a plain service.
using upstream_id = strong_id<struct upstream_tag>;
/// One router, identified by the name in its settings; unchanged by a restart.
using node_id = strong_id<struct node_tag>;
/// Version of an upstream's software. Versions have no order, they only can be equal.
using software_version = strong_id<struct software_version_tag>;
using zone_id = strong_id<struct zone_tag>;
using region_id = strong_id<struct region_tag>;
using operator_id = strong_id<struct operator_tag>;
/// A proposed configuration change. The proposer chooses the id, which makes a repeated proposal
/// idempotent.
using change_id = strong_id<struct change_tag>;
/// The value of the X-Request-Id header that a caller receives.
using request_id = strong_id<struct request_tag>;

/// Identifies one run of a router process. A later run has a larger value; values are never reused
/// (see node_ref).
enum class incarnation : std::uint64_t
{
};

/// One incarnation of one router. Messages for or from an earlier incarnation do not match a later
/// one.
struct node_ref
{
    node_id id;
    incarnation life{};

    friend bool operator==(const node_ref&, const node_ref&) = default;
    friend std::strong_ordering
    operator<=>(const node_ref&,
                const node_ref&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Sequence number of a request within one incarnation of a router; starts at 1.
enum class request_number : std::uint64_t
{
};

/// Sequence number of a grant from one incarnation of an owner to one incarnation of a router;
/// starts at 1.
enum class grant_number : std::uint64_t
{
};

}  // namespace caraway::base
