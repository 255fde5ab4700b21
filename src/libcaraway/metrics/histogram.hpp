#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace caraway::metrics
{

/// The logarithmic axis of a histogram; it covers `decades` powers of ten starting at `lowest`.
struct histogram_axis
{
    double lowest = 1e-4;
    unsigned decades = 7;
    /// A quantile is off by at most the width of one bin, which is 12 % with 20 bins per decade.
    unsigned bins_per_decade = 20;
    /// Number of bins that are merged into one bucket exported to Prometheus.
    unsigned bins_per_bucket = 5;
};

/// Axis for latencies in seconds, from 0.1 ms to 1,000 s.
inline constexpr histogram_axis latency_axis{};

/// Distribution of observed values over a logarithmic axis. Thread-safe; an observation costs one
/// logarithm and two relaxed atomic additions.
class histogram
{
public:
    explicit histogram(const histogram_axis& axis = latency_axis);
    ~histogram();

    void observe(double value);
    /// Observes a duration, converted to seconds.
    void observe(std::chrono::nanoseconds elapsed);

    std::uint64_t count() const;
    double sum() const;

    /// Returns the value that a `fraction` (0 to 1) of the observations don't exceed, interpolated
    /// within its bin. Returns 0 if there are no observations, and the nearest end of the axis for
    /// quantiles outside of the axis.
    double quantile(double fraction) const;

    /// A Prometheus bucket: the cumulative number of observations below `upper`.
    struct bucket
    {
        double upper = 0;
        std::uint64_t cumulative = 0;
    };
    /// Returns the buckets in ascending order; the last has an infinite bound and counts all
    /// observations.
    std::vector<bucket> buckets() const;

private:
    struct bins;
    std::unique_ptr<bins> bins_;
};

}  // namespace caraway::metrics
