#include "caraway_load/run/fault_timeline.hpp"

#include "libfleet/fleet.hpp"

#include <QJsonArray>

#include <algorithm>
#include <csignal>
#include <utility>

namespace caraway_load::run
{

namespace
{

using workload::fault_kind;

QJsonObject described(const fleet::address& where)
{
    return {{"address", QString::fromStdString(where.host)}, {"port", where.port}};
}

}  // namespace

fault_timeline::fault_timeline(fleet::fleet& target, const std::vector<workload::fault>& faults)
    : fleet_(target)
{
    for (const auto& one : faults)
    {
        steps_.push_back({.at_s = one.at_s, .what = one});
        steps_.push_back({.at_s = one.at_s + one.for_s, .what = one, .undo = true});
    }
    std::stable_sort(steps_.begin(), steps_.end(),
                     [](const step& a, const step& b) { return a.at_s < b.at_s; });
}

void fault_timeline::advance(double now_s)
{
    while (next_ < steps_.size() && steps_[next_].at_s <= now_s)
    {
        carry_out(steps_[next_++]);
    }
}

const std::set<std::size_t>& fault_timeline::engines_down() const
{
    return engines_down_;
}

const std::set<std::size_t>& fault_timeline::routers_down() const
{
    return routers_down_;
}

const std::vector<QString>& fault_timeline::problems() const
{
    return problems_;
}

void fault_timeline::set_before_engine_ends(std::function<void(std::size_t engine)> call)
{
    before_engine_ends_ = std::move(call);
}

void fault_timeline::carry_out(const step& one)
{
    switch (one.what.kind)
    {
    case fault_kind::crash_engine:
        crash_engine(one);
        return;
    case fault_kind::platform_outage:
    {
        const QJsonObject outage{{"outage", !one.undo}};
        const auto switched = fleet_.control(
            fleet_.platform_address(), {{"table", outage}, {"object", outage}, {"vms", outage}});
        if (!switched)
        {
            problems_.push_back(QString::fromStdString(switched.error().message));
        }
        return;
    }
    default:
        router_step(one);
    }
}

void fault_timeline::router_step(const step& one)
{
    const std::size_t router = one.what.index;
    one.undo ? static_cast<void>(routers_down_.erase(router))
             : static_cast<void>(routers_down_.insert(router));
    if (one.what.kind == fault_kind::cut_router)
    {
        cut(router, one.undo);
        return;
    }
    if (one.what.kind == fault_kind::freeze_router)
    {
        fleet_.router(router).signal(one.undo ? SIGCONT : SIGSTOP);
        return;
    }
    if (!one.undo)
    {
        const bool drains = one.what.kind == fault_kind::drain_router;
        drains ? static_cast<void>(fleet_.router(router).signal(SIGTERM))
               : fleet_.router(router).kill();
        return;
    }
    const auto started = fleet_.start_router(router);
    if (!started)
    {
        problems_.push_back(QString::fromStdString(started.error().message));
    }
}

void fault_timeline::cut(std::size_t router, bool undo)
{
    const QJsonObject alone = described(fleet_.router_peers(router));
    QJsonArray others;
    for (std::size_t other = 0; other < fleet_.plan().routers; ++other)
    {
        if (other == router)
        {
            continue;
        }
        others.append(described(fleet_.router_peers(other)));
        const auto done =
            fleet_.rpc(other, "debug.cut", {{"peers", undo ? QJsonArray() : QJsonArray{alone}}});
        if (!done)
        {
            problems_.push_back(QString::fromStdString(done.error().message));
        }
    }
    const auto done = fleet_.rpc(router, "debug.cut", {{"peers", undo ? QJsonArray() : others}});
    if (!done)
    {
        problems_.push_back(QString::fromStdString(done.error().message));
    }
}

void fault_timeline::crash_engine(const step& one)
{
    const std::size_t engine = one.what.index;
    if (!one.undo)
    {
        before_engine_ends_(engine);
        fleet_.engine(engine).kill();
        engines_down_.insert(engine);
        return;
    }
    const auto started = fleet_.start_engine(engine);
    if (!started)
    {
        problems_.push_back(QString::fromStdString(started.error().message));
        return;
    }
    engines_down_.erase(engine);
}

}  // namespace caraway_load::run
