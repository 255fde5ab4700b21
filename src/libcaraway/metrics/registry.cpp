#include "libcaraway/metrics/registry.hpp"

#include "libcaraway/metrics/prometheus_format.hpp"

#include <map>
#include <mutex>
#include <shared_mutex>
#include <utility>

namespace caraway::metrics
{

namespace
{

/// All series of one metric.
template <class Metric>
struct family
{
    std::string help;
    std::map<labels, std::unique_ptr<Metric>> series;
};

template <class Metric>
using family_map = std::map<std::string, family<Metric>>;

labels overflow_labels(labels series_labels)
{
    for (label& item : series_labels)
    {
        item.value = "other";
    }
    return series_labels;
}

template <class Metric, class... Arguments>
Metric& find_or_add(std::shared_mutex& mutex, family_map<Metric>& metric_families,
                    const description& metric, const labels& series_labels,
                    const Arguments&... arguments)
{
    {
        const std::shared_lock lock(mutex);
        const auto found = metric_families.find(metric.name);
        if (found != metric_families.end())
        {
            const auto series = found->second.series.find(series_labels);
            if (series != found->second.series.end())
            {
                return *series->second;
            }
        }
    }
    const std::unique_lock lock(mutex);
    auto& metric_family = metric_families[metric.name];
    metric_family.help = metric.help;
    const bool full =
        metric_family.series.size() >= max_series && !metric_family.series.contains(series_labels);
    auto& slot = metric_family.series[full ? overflow_labels(series_labels) : series_labels];
    if (!slot)
    {
        slot = std::make_unique<Metric>(arguments...);
    }
    return *slot;
}

template <class Metric, class Read>
void append_values(std::vector<series_value>& out, const family_map<Metric>& metric_families,
                   Read read)
{
    for (const auto& [metric_name, metric_family] : metric_families)
    {
        for (const auto& [series_labels, value] : metric_family.series)
        {
            out.push_back({.name = series_name(metric_name, series_labels), .value = read(*value)});
        }
    }
}

}  // namespace

struct registry::families
{
    mutable std::shared_mutex mutex;
    family_map<metrics::counter> counters;
    family_map<metrics::gauge> gauges;
    family_map<metrics::histogram> histograms;
};

registry::registry() : families_(std::make_unique<families>()) {}

registry::~registry() = default;

metrics::counter& registry::counter(const description& metric, const labels& series_labels)
{
    return find_or_add(families_->mutex, families_->counters, metric, series_labels);
}

metrics::gauge& registry::gauge(const description& metric, const labels& series_labels)
{
    return find_or_add(families_->mutex, families_->gauges, metric, series_labels);
}

metrics::histogram& registry::histogram(const description& metric, const labels& series_labels,
                                        const histogram_axis& axis)
{
    return find_or_add(families_->mutex, families_->histograms, metric, series_labels, axis);
}

std::string registry::prometheus_text() const
{
    const std::shared_lock lock(families_->mutex);
    std::string out;
    for (const auto& [metric_name, metric_family] : families_->counters)
    {
        append_header(out, {.name = metric_name, .help = metric_family.help}, "counter");
        for (const auto& [series_labels, value] : metric_family.series)
        {
            append_sample(out, series_name(metric_name, series_labels), value->value());
        }
    }
    for (const auto& [metric_name, metric_family] : families_->gauges)
    {
        append_header(out, {.name = metric_name, .help = metric_family.help}, "gauge");
        for (const auto& [series_labels, value] : metric_family.series)
        {
            append_sample(out, series_name(metric_name, series_labels), value->value());
        }
    }
    for (const auto& [metric_name, metric_family] : families_->histograms)
    {
        append_header(out, {.name = metric_name, .help = metric_family.help}, "histogram");
        for (const auto& [series_labels, value] : metric_family.series)
        {
            append_histogram(out, metric_name, series_labels, *value);
        }
    }
    return out;
}

std::vector<series_value> registry::values() const
{
    const std::shared_lock lock(families_->mutex);
    std::vector<series_value> out;
    append_values(out, families_->counters, [](const metrics::counter& c) { return c.value(); });
    append_values(out, families_->gauges, [](const metrics::gauge& g) { return g.value(); });
    append_values(out, families_->histograms, [](const metrics::histogram& h) { return &h; });
    return out;
}

}  // namespace caraway::metrics
