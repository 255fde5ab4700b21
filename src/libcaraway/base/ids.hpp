#pragma once

#include "libcaraway/base/strong_id.hpp"

#include <compare>
#include <cstdint>
#include <ostream>

namespace caraway::base
{

/// A customer's team; the unit between which capacity is shared.
using workspace_id = strong_id<struct workspace_tag>;
/// What a request asks for: a model or an application.
using service_id = strong_id<struct service_tag>;
/// One back end: a model engine (a runner) or an instance of a plain service.
using upstream_id = strong_id<struct upstream_tag>;
/// One router, by the name in its settings; stable over restarts.
using node_id = strong_id<struct node_tag>;
using zone_id = strong_id<struct zone_tag>;
using region_id = strong_id<struct region_tag>;
using operator_id = strong_id<struct operator_tag>;
/// A proposed change of configuration; chosen by the proposer, so that a repeat is recognised.
using change_id = strong_id<struct change_tag>;
/// What a caller sees as X-Request-Id.
using request_id = strong_id<struct request_tag>;

/// One life of a router's process. Larger is later; never reused (see node_ref).
enum class incarnation : std::uint64_t
{
};

/// One life of one router. A message from an earlier life matches nothing of a later one.
struct node_ref
{
    node_id id;
    incarnation life{};

    friend bool operator==(const node_ref&, const node_ref&) = default;
    friend std::strong_ordering
    operator<=>(const node_ref&,
                const node_ref&) = default;  // NOLINT(modernize-use-nullptr)
};

/// Counts the requests of one life of one router, from 1.
enum class request_number : std::uint64_t
{
};

/// Counts the grants from one owner's life to one router's life, from 1.
enum class grant_number : std::uint64_t
{
};

}  // namespace caraway::base
