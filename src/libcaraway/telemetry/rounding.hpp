#pragma once

#include <cmath>

namespace caraway::telemetry
{

/// For log lines: enough to see why something was decided, and short.
inline double round_to_hundredths(double value)
{
    return std::round(value * 100) / 100;
}

/// The same for large figures; -1 for one that is infinite.
inline double round_to_integer(double value)
{
    return std::isfinite(value) ? std::round(value) : -1;
}

}  // namespace caraway::telemetry
