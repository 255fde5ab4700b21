#pragma once

#include "libcaraway/base/ids.hpp"

#include <map>

namespace caraway::routing::engines
{

/// Work that one router saw an upstream do. A unit is a piece of work (a stream of an engine, a
/// call of a plain upstream) that takes the mean upstream of the service 1 ms under the same load,
/// after scaling; so milliseconds / units is how slow the upstream is. Zero, negative and infinite
/// values are ignored by who reads it.
struct pace_record
{
    double milliseconds = 0;
    double units = 0;
};

using pace_records = std::map<base::upstream_id, pace_record>;

}  // namespace caraway::routing::engines
