#include "caraway_load/run/fleet_watch.hpp"

#include "libcaraway/base/clock.hpp"
#include "libcaraway/rpc/methods.hpp"
#include "libfleet/fleet.hpp"

#include <chrono>

namespace caraway_load::run
{

namespace
{

/// The stand-ins remember so many requests; a longer log isn't complete.
constexpr qsizetype remembered_by_engines = 10000;

}  // namespace

fleet_watch::fleet_watch(fleet::fleet& target) : fleet_(target) {}

void fleet_watch::sample_engines(double now_s, const std::set<std::size_t>& down)
{
    const auto begun = caraway::base::time_point::clock::now();
    for (std::size_t i = 0; i < fleet_.plan().engines.size(); ++i)
    {
        if (down.count(i) > 0)
        {
            continue;
        }
        const auto stats = fleet_.get_json(fleet_.engine_address(i), "/_stats");
        if (!stats)
        {
            continue;
        }
        const std::chrono::duration<double> passed =
            caraway::base::time_point::clock::now() - begun;
        engine_samples_.push_back({.engine = i,
                                   .at_s = now_s + passed.count(),
                                   .slots = stats.value()["slots"].toDouble(),
                                   .busy_slot_ms = stats.value()["busy_slot_ms"].toDouble(),
                                   .uptime_ms = stats.value()["uptime_ms"].toDouble()});
    }
}

std::vector<router_sample> fleet_watch::sample_routers(double now_s,
                                                       const std::set<std::size_t>& down)
{
    std::vector<router_sample> all(fleet_.plan().routers);
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        all[i].at_s = now_s;
        if (down.count(i) > 0)
        {
            continue;
        }
        all[i].usage = usage_of(fleet_.router(i).pid());
        const auto dump = fleet_.rpc(i, caraway::rpc::methods::dump);
        if (!dump)
        {
            continue;
        }
        const QJsonObject link = dump.value()["link"].toObject();
        all[i].up = true;
        all[i].datagrams_out = link["datagrams_out"].toDouble();
        all[i].bytes_out = link["bytes_out"].toDouble();
        all[i].bytes_in = link["bytes_in"].toDouble();
        all[i].messages_out = link["messages_out"].toDouble();
        all[i].scheduler_counters = dump.value()["scheduler"]["counters"].toObject();
    }
    return all;
}

void fleet_watch::collect_engine(std::size_t index)
{
    const auto stats = fleet_.get_json(fleet_.engine_address(index), "/_stats");
    if (!stats)
    {
        logs_.complete = false;
        return;
    }
    const QJsonObject requests = stats.value()["requests"].toObject();
    logs_.complete = logs_.complete && requests.size() < remembered_by_engines;
    for (auto one = requests.begin(); one != requests.end(); ++one)
    {
        auto& counts = logs_.model[one.key().toStdString()];
        const QJsonObject told = one->toObject();
        counts.received += told["received"].toInt();
        counts.started += told["started"].toInt();
        counts.finished += told["finished"].toInt();
    }
}

void fleet_watch::collect_all(const std::set<std::size_t>& down)
{
    for (std::size_t i = 0; i < fleet_.plan().engines.size(); ++i)
    {
        if (down.count(i) == 0)
        {
            collect_engine(i);
        }
    }
    for (std::size_t i = 0; i < fleet_.plan().services.size(); ++i)
    {
        const auto stats = fleet_.get_json(fleet_.service_address(i), "/_stats");
        if (!stats)
        {
            logs_.complete = false;
            continue;
        }
        const QJsonObject calls = stats.value()["calls"].toObject();
        for (auto one = calls.begin(); one != calls.end(); ++one)
        {
            logs_.plain_runs[one.key().toStdString()] += one->toObject()["runs"].toInt();
        }
    }
}

const std::vector<measures::engine_sample>& fleet_watch::engine_samples() const
{
    return engine_samples_;
}

const measures::upstream_logs& fleet_watch::logs() const
{
    return logs_;
}

}  // namespace caraway_load::run
