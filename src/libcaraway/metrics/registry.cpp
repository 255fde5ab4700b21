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

labels surplus_labels(labels which)
{
    for (label& each : which)
    {
        each.value = "other";
    }
    return which;
}

template <class Metric, class... Arguments>
Metric& find_or_add(std::shared_mutex& mutex, family_map<Metric>& all, const description& what,
                    const labels& which, const Arguments&... arguments)
{
    {
        const std::shared_lock lock(mutex);
        const auto found = all.find(what.name);
        if (found != all.end())
        {
            const auto series = found->second.series.find(which);
            if (series != found->second.series.end())
            {
                return *series->second;
            }
        }
    }
    const std::unique_lock lock(mutex);
    auto& mine = all[what.name];
    mine.help = what.help;
    const bool full = mine.series.size() >= max_series && !mine.series.contains(which);
    auto& slot = mine.series[full ? surplus_labels(which) : which];
    if (!slot)
    {
        slot = std::make_unique<Metric>(arguments...);
    }
    return *slot;
}

template <class Metric, class Read>
void list_into(std::vector<series_value>& out, const family_map<Metric>& all, Read read)
{
    for (const auto& [metric_name, one] : all)
    {
        for (const auto& [which, value] : one.series)
        {
            out.push_back({.name = series_name(metric_name, which), .value = read(*value)});
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

metrics::counter& registry::counter(const description& what, const labels& which)
{
    return find_or_add(families_->mutex, families_->counters, what, which);
}

metrics::gauge& registry::gauge(const description& what, const labels& which)
{
    return find_or_add(families_->mutex, families_->gauges, what, which);
}

metrics::histogram& registry::histogram(const description& what, const labels& which,
                                        const histogram_axis& axis)
{
    return find_or_add(families_->mutex, families_->histograms, what, which, axis);
}

std::string registry::prometheus_text() const
{
    const std::shared_lock lock(families_->mutex);
    std::string out;
    for (const auto& [metric_name, one] : families_->counters)
    {
        append_header(out, {.name = metric_name, .help = one.help}, "counter");
        for (const auto& [which, value] : one.series)
        {
            append_sample(out, series_name(metric_name, which), value->value());
        }
    }
    for (const auto& [metric_name, one] : families_->gauges)
    {
        append_header(out, {.name = metric_name, .help = one.help}, "gauge");
        for (const auto& [which, value] : one.series)
        {
            append_sample(out, series_name(metric_name, which), value->value());
        }
    }
    for (const auto& [metric_name, one] : families_->histograms)
    {
        append_header(out, {.name = metric_name, .help = one.help}, "histogram");
        for (const auto& [which, value] : one.series)
        {
            append_histogram(out, metric_name, which, *value);
        }
    }
    return out;
}

std::vector<series_value> registry::values() const
{
    const std::shared_lock lock(families_->mutex);
    std::vector<series_value> out;
    list_into(out, families_->counters, [](const metrics::counter& c) { return c.value(); });
    list_into(out, families_->gauges, [](const metrics::gauge& g) { return g.value(); });
    list_into(out, families_->histograms, [](const metrics::histogram& h) { return &h; });
    return out;
}

}  // namespace caraway::metrics
