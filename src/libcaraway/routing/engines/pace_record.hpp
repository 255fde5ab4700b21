#pragma once

#include "libcaraway/base/ids.hpp"

#include <map>

namespace caraway::routing::engines
{

/// Work that one router saw an upstream do, with recent samples weighing more: output tokens of an
/// engine, or calls of a plain upstream, and the time that these took while the upstream worked on
/// them. Zero, negative and infinite values, and unknown upstreams, are ignored by who reads it.
struct pace_record
{
    double milliseconds = 0;
    double units = 0;
};

using pace_records = std::map<base::upstream_id, pace_record>;

}  // namespace caraway::routing::engines
