#pragma once

#include <cmath>

namespace caraway::telemetry
{

/// Rounds a ratio for a log line to two decimals, enough to explain a decision.
inline double round_to_hundredths(double value)
{
    return std::round(value * 100) / 100;
}

/// Rounds a large value for a log line to an integer; -1 if it is infinite or NaN.
inline double round_to_integer(double value)
{
    return std::isfinite(value) ? std::round(value) : -1;
}

}  // namespace caraway::telemetry
