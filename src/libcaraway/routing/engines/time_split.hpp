#pragma once

#include "libcaraway/base/clock.hpp"

#include <chrono>

namespace caraway::routing::engines
{

/// What part of an engine's time goes to reading prompts rather than to decoding, over this
/// router's recent requests.
class time_split
{
public:
    /// Adds a request that took the engine `prefill_ms` to read, and whose events took `decode_ms`
    /// to generate next to `running` others, with which it shared that time.
    void add(double prefill_ms, double decode_ms, double running, base::time_point now);
    /// Between 0 and 1.
    double prefill_part() const;

private:
    double prefill_ms_ = 0;
    double decode_ms_ = 0;
    base::time_point updated_{};
};

}  // namespace caraway::routing::engines
