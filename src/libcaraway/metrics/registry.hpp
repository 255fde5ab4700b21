#pragma once

#include "libcaraway/metrics/counter.hpp"
#include "libcaraway/metrics/gauge.hpp"
#include "libcaraway/metrics/histogram.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace caraway::metrics
{

/// One label of a series. Values come from a small fixed set (a workspace, an outcome), never from
/// what a caller sent.
struct label
{
    std::string name;
    std::string value;

    friend bool operator==(const label&, const label&) = default;
    friend bool operator<(const label& a, const label& b)
    {
        return std::tie(a.name, a.value) < std::tie(b.name, b.value);
    }
};
using labels = std::vector<label>;

/// What a metric is called and what it means; `help` is one sentence with its unit.
struct description
{
    std::string name;
    std::string help;
};

/// One series, by the name that Prometheus gives it, and what it holds.
struct series_value
{
    std::string name;
    std::variant<std::uint64_t, double, const histogram*> value;
};

/// Series that one metric may have. More are refused: the surplus is counted together in one
/// series whose label values are all "other", so that a fault in a label can't fill the memory.
inline constexpr std::size_t max_series = 1024;

/// All metrics of a process. Asking for a series that exists gives the same one; references stay
/// valid as long as the registry, so callers keep them. Any thread.
class registry
{
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    metrics::counter& counter(const description& what, const labels& which = {});
    metrics::gauge& gauge(const description& what, const labels& which = {});
    metrics::histogram& histogram(const description& what, const labels& which = {},
                                  const histogram_axis& axis = latency_axis);

    /// Everything in Prometheus' text format, version 0.0.4.
    std::string prometheus_text() const;

    /// Every series as it stands; histograms stay valid as long as the registry.
    std::vector<series_value> values() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

}  // namespace caraway::metrics
