#include "libcaraway/metrics/histogram.hpp"

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <limits>
#include <numeric>
#include <tuple>

namespace caraway::metrics
{

namespace
{

namespace bh = boost::histogram;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using log_histogram = bh::histogram<std::tuple<log_axis>, storage>;

log_histogram make_bins(const histogram_axis& axis)
{
    const double highest = axis.lowest * std::pow(10.0, axis.decades);
    return bh::make_histogram_with(
        storage{}, log_axis(axis.decades * axis.bins_per_decade, axis.lowest, highest));
}

}  // namespace

struct histogram::bins
{
    explicit bins(const histogram_axis& axis)
        : counts(make_bins(axis)), bins_per_bucket(std::max(1U, axis.bins_per_bucket))
    {
    }

    /// Returns the counts of all bins, from the underflow bin to the overflow bin. The counts are
    /// read one by one while other threads may add, so the snapshot is not atomic.
    std::vector<std::uint64_t> snapshot() const
    {
        std::vector<std::uint64_t> out;
        out.reserve(static_cast<std::size_t>(counts.axis().size()) + 2);
        for (int i = -1; i <= counts.axis().size(); ++i)
        {
            out.push_back(counts.at(i).load(std::memory_order_relaxed));
        }
        return out;
    }

    log_histogram counts;
    unsigned bins_per_bucket;
    std::atomic<double> sum{0};
};

histogram::histogram(const histogram_axis& axis) : bins_(std::make_unique<bins>(axis)) {}

histogram::~histogram() = default;

void histogram::observe(double value)
{
    if (!std::isfinite(value))
    {
        return;
    }
    // The logarithm of a negative value is NaN, which would be counted in the overflow bin.
    bins_->counts(std::max(value, 0.0));
    bins_->sum.fetch_add(value, std::memory_order_relaxed);
}

void histogram::observe(std::chrono::nanoseconds elapsed)
{
    observe(std::chrono::duration<double>(elapsed).count());
}

std::uint64_t histogram::count() const
{
    const auto counts = bins_->snapshot();
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

double histogram::sum() const
{
    return bins_->sum.load(std::memory_order_relaxed);
}

double histogram::quantile(double fraction) const
{
    const auto counts = bins_->snapshot();
    const auto total =
        static_cast<double>(std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
    if (total == 0)
    {
        return 0;
    }
    const double target_count = std::clamp(fraction, 0.0, 1.0) * total;
    const auto& axis = bins_->counts.axis();
    double count_below = 0;
    for (std::size_t i = 0; i + 1 < counts.size(); ++i)
    {
        const auto bin_count = static_cast<double>(counts[i]);
        if (bin_count > 0 && count_below + bin_count >= target_count)
        {
            // counts[i] covers the axis positions from i - 1 to i; a fractional position is a point
            // within a bin on the log scale.
            const double bin_fraction = (target_count - count_below) / bin_count;
            return i == 0 ? axis.value(0) : axis.value(static_cast<double>(i) - 1 + bin_fraction);
        }
        count_below += bin_count;
    }
    return axis.value(axis.size());
}

std::vector<histogram::bucket> histogram::buckets() const
{
    const auto counts = bins_->snapshot();
    const auto& axis = bins_->counts.axis();
    std::vector<bucket> out;
    std::uint64_t cumulative = counts.front();
    for (int i = 1; i <= axis.size(); ++i)
    {
        cumulative += counts[static_cast<std::size_t>(i)];
        if (i % static_cast<int>(bins_->bins_per_bucket) == 0)
        {
            out.push_back({.upper = axis.value(i), .cumulative = cumulative});
        }
    }
    out.push_back({.upper = std::numeric_limits<double>::infinity(),
                   .cumulative = cumulative + counts.back()});
    return out;
}

}  // namespace caraway::metrics
