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

/// One label of a series. Label values must come from a small fixed set, such as workspaces or
/// outcomes, and never from the content of requests.
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

/// Name and help text of a metric; `help` is one sentence that states the unit.
struct description
{
    std::string name;
    std::string help;
};

/// The Prometheus name of a series and its current value.
struct series_value
{
    std::string name;
    std::variant<std::uint64_t, double, const histogram*> value;
};

/// Upper bound on the series of one metric, so that a faulty label can't exhaust the memory. Beyond
/// the bound, observations with new label values are counted in one series whose label values are
/// all "other".
inline constexpr std::size_t max_series = 1024;

/// All metrics of a process. Thread-safe. Requesting an existing series returns the same object;
/// references are valid for the lifetime of the registry, so callers should keep them.
class registry
{
public:
    registry();
    ~registry();
    registry(const registry&) = delete;
    registry& operator=(const registry&) = delete;

    metrics::counter& counter(const description& metric, const labels& series_labels = {});
    metrics::gauge& gauge(const description& metric, const labels& series_labels = {});
    metrics::histogram& histogram(const description& metric, const labels& series_labels = {},
                                  const histogram_axis& axis = latency_axis);

    /// Renders all metrics in the Prometheus text format, version 0.0.4.
    std::string prometheus_text() const;

    /// Returns the current value of every series; histogram pointers are valid for the lifetime of
    /// the registry.
    std::vector<series_value> values() const;

private:
    struct families;
    std::unique_ptr<families> families_;
};

}  // namespace caraway::metrics
