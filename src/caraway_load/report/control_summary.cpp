#include "caraway_load/report/control_summary.hpp"

#include <algorithm>

namespace caraway_load::report
{

namespace
{

constexpr double percent = 100;
constexpr double kb_per_mb = 1024;

control_figures between(const run::router_sample& from, const run::router_sample& to)
{
    const double seconds = to.at_s - from.at_s;
    return {.bytes_out = (to.bytes_out - from.bytes_out) / seconds,
            .bytes_in = (to.bytes_in - from.bytes_in) / seconds,
            .messages_out = (to.messages_out - from.messages_out) / seconds,
            .datagrams_out = (to.datagrams_out - from.datagrams_out) / seconds,
            .main_thread_cpu =
                percent * (to.usage.main_thread_cpu_s - from.usage.main_thread_cpu_s) / seconds,
            .process_cpu = percent * (to.usage.cpu_s - from.usage.cpu_s) / seconds,
            .resident_mb = to.usage.resident_kb / kb_per_mb,
            .peak_resident_mb = to.usage.peak_resident_kb / kb_per_mb};
}

/// Applies `join` to each pair of members.
template <class Join>
void combine(control_figures& sum, const control_figures& one, Join join)
{
    for (const auto member : {&control_figures::bytes_out, &control_figures::bytes_in,
                              &control_figures::messages_out, &control_figures::datagrams_out,
                              &control_figures::main_thread_cpu, &control_figures::process_cpu,
                              &control_figures::resident_mb, &control_figures::peak_resident_mb})
    {
        sum.*member = join(sum.*member, one.*member);
    }
}

void add_threads(control_summary& summary, const run::router_sample& from,
                 const run::router_sample& to)
{
    for (const auto& [name, cpu] : to.usage.thread_cpu_s)
    {
        const auto before = from.usage.thread_cpu_s.find(name);
        const double used = cpu - (before == from.usage.thread_cpu_s.end() ? 0 : before->second);
        summary.threads[name] += percent * used / (to.at_s - from.at_s);
    }
}

void add_scheduler(control_summary& summary, const run::router_sample& from,
                   const run::router_sample& to)
{
    const QJsonObject& counters = to.scheduler_counters;
    for (auto one = counters.begin(); one != counters.end(); ++one)
    {
        summary.scheduler[one.key().toStdString()] +=
            one->toDouble() - from.scheduler_counters[one.key()].toDouble();
    }
}

}  // namespace

control_summary summarise_control(const std::vector<run::router_sample>& from,
                                  const std::vector<run::router_sample>& to)
{
    control_summary summary;
    for (std::size_t i = 0; i < std::min(from.size(), to.size()); ++i)
    {
        const bool same_life = from[i].up && to[i].up && to[i].bytes_out >= from[i].bytes_out &&
                               to[i].usage.cpu_s >= from[i].usage.cpu_s &&
                               to[i].at_s > from[i].at_s;
        if (!same_life)
        {
            continue;
        }
        ++summary.nodes;
        const control_figures one = between(from[i], to[i]);
        combine(summary.mean, one, [](double a, double b) { return a + b; });
        combine(summary.largest, one, [](double a, double b) { return std::max(a, b); });
        add_threads(summary, from[i], to[i]);
        add_scheduler(summary, from[i], to[i]);
    }
    const double nodes = std::max<double>(1, static_cast<double>(summary.nodes));
    combine(summary.mean, {}, [nodes](double sum, double) { return sum / nodes; });
    for (auto& [name, cpu] : summary.threads)
    {
        cpu /= nodes;
    }
    return summary;
}

}  // namespace caraway_load::report
