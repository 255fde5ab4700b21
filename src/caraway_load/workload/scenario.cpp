#include "caraway_load/workload/scenario.hpp"

#include "caraway_load/workload/json_fields.hpp"

#include <QFile>
#include <QJsonDocument>

#include <array>

namespace caraway_load::workload
{

using caraway::base::errc;
using caraway::base::make_error;
using caraway::base::result;
using caraway::base::success;

namespace
{

constexpr double ms_per_second = 1000;

struct fault_name
{
    fault_kind kind;
    const char* name;
};

constexpr std::array fault_names = {
    fault_name{fault_kind::kill_router, "kill_router"},
    fault_name{fault_kind::freeze_router, "freeze_router"},
    fault_name{fault_kind::cut_router, "cut_router"},
    fault_name{fault_kind::drain_router, "drain_router"},
    fault_name{fault_kind::crash_engine, "crash_engine"},
    fault_name{fault_kind::platform_outage, "platform_outage"},
};

result<void> read(const QJsonObject& json, const QString& place, token_lengths* lengths)
{
    json_fields fields(json, place);
    fields.number("median", &lengths->median)
        .number("sigma", &lengths->sigma)
        .count("most", &lengths->most);
    return fields.check();
}

result<void> read(const QJsonObject& json, const QString& place, engine_pool* pool)
{
    json_fields fields(json, place);
    fields.count("count", &pool->count)
        .text("model", &pool->model)
        .count("slots", &pool->slots)
        .count("token_ms", &pool->token_ms)
        .count("prefill_ms_per_1k_tokens", &pool->prefill_ms_per_1k_tokens);
    return fields.check();
}

result<void> read(const QJsonObject& json, const QString& place, service_pool* pool)
{
    json_fields fields(json, place);
    fields.count("count", &pool->count)
        .text("service", &pool->service)
        .count("slots", &pool->slots)
        .count("work_ms", &pool->work_ms);
    return fields.check();
}

result<void> read(const QJsonObject& json, const QString& place, caller_habits* habits)
{
    json_fields fields(json, place);
    fields.count("attempts", &habits->attempts)
        .number("patience_s", &habits->patience_s)
        .number("without_hint", &habits->without_hint)
        .number("hint_most", &habits->hint_most);
    return fields.check();
}

result<demand_change> read_change(const QJsonObject& json, const QString& place)
{
    demand_change change;
    json_fields fields(json, place);
    fields.number("from_s", &change.from_s)
        .number("to_s", &change.to_s)
        .number("factor", &change.factor);
    BOOST_OUTCOME_TRY(fields.check());
    return change;
}

result<fault> read_fault(const QJsonObject& json, const QString& place)
{
    fault one;
    std::string kind;
    json_fields fields(json, place);
    fields.text("kind", &kind)
        .number("at_s", &one.at_s)
        .number("for_s", &one.for_s)
        .count("index", &one.index);
    BOOST_OUTCOME_TRY(fields.check());
    for (const auto& known : fault_names)
    {
        if (kind == known.name)
        {
            one.kind = known.kind;
            return one;
        }
    }
    return make_error(errc::invalid_argument, place.toStdString() + "/kind: unknown fault");
}

/// `defaults` is what the scenario says of all workspaces.
result<workspace_load> read_workspace(const QJsonObject& json, const QString& place,
                                      workspace_load one)
{
    json_fields fields(json, place);
    fields.text("id", &one.id)
        .number("share", &one.share)
        .count("max_waiting", &one.max_waiting)
        .number("demand", &one.demand)
        .number("streamed", &one.streamed)
        .number("plain_per_second", &one.plain_per_second)
        .count("home", &one.home)
        .number("skew", &one.skew);
    BOOST_OUTCOME_TRY(read(fields.take("tokens").toObject(), place + "/tokens", &one.tokens));
    const QJsonArray changes = fields.take("changes").toArray();
    for (const auto& change : changes)
    {
        BOOST_OUTCOME_TRY(changed, read_change(change.toObject(), place + "/changes"));
        one.changes.push_back(changed);
    }
    BOOST_OUTCOME_TRY(fields.check());
    return one;
}

result<void> read_lists(json_fields& fields, scenario* whole)
{
    const QJsonArray zones = fields.take("zones").toArray();
    if (!zones.isEmpty())
    {
        whole->zones.clear();
    }
    for (const auto& zone : zones)
    {
        whole->zones.push_back(zone.toString().toStdString());
    }
    BOOST_OUTCOME_TRY(
        defaults, read_workspace(fields.take("each_workspace").toObject(), "/each_workspace", {}));
    const QJsonArray workspaces = fields.take("workspaces").toArray();
    for (const auto& workspace : workspaces)
    {
        BOOST_OUTCOME_TRY(one, read_workspace(workspace.toObject(), "/workspaces", defaults));
        whole->workspaces.push_back(std::move(one));
    }
    const QJsonArray faults = fields.take("faults").toArray();
    for (const auto& each : faults)
    {
        BOOST_OUTCOME_TRY(one, read_fault(each.toObject(), "/faults"));
        whole->faults.push_back(one);
    }
    return success();
}

}  // namespace

double scenario::capacity() const
{
    return engines.count * engines.slots * ms_per_second / engines.token_ms;
}

result<scenario> read_scenario(const QJsonObject& json)
{
    scenario whole;
    std::string description;
    double seed = static_cast<double>(whole.seed);
    json_fields fields(json, "");
    fields.text("name", &whole.name)
        .text("description", &description)
        .number("seed", &seed)
        .number("duration_s", &whole.duration_s)
        .number("warm_up_s", &whole.warm_up_s)
        .number("drain_s", &whole.drain_s)
        .number("idle_s", &whole.idle_s)
        .count("routers", &whole.routers);
    whole.seed = static_cast<std::uint64_t>(seed);
    BOOST_OUTCOME_TRY(read(fields.take("engines").toObject(), "/engines", &whole.engines));
    BOOST_OUTCOME_TRY(read(fields.take("services").toObject(), "/services", &whole.services));
    BOOST_OUTCOME_TRY(read(fields.take("callers").toObject(), "/callers", &whole.callers));
    BOOST_OUTCOME_TRY(read_lists(fields, &whole));
    BOOST_OUTCOME_TRY(fields.check());
    if (whole.workspaces.empty() || whole.routers == 0 || whole.engines.token_ms == 0)
    {
        return make_error(errc::invalid_argument,
                          "A scenario needs workspaces, routers and engines that take time.");
    }
    return whole;
}

result<scenario> read_scenario_file(const QString& name)
{
    QFile file(name);
    if (!file.open(QIODevice::ReadOnly))
    {
        return make_error(errc::not_found, (name + ": " + file.errorString()).toStdString());
    }
    QJsonParseError problem;
    const QJsonDocument document = QJsonDocument::fromJson(file.readAll(), &problem);
    if (!document.isObject())
    {
        return make_error(errc::invalid_argument,
                          (name + ": " + problem.errorString()).toStdString());
    }
    return read_scenario(document.object());
}

const char* name(fault_kind kind)
{
    for (const auto& known : fault_names)
    {
        if (known.kind == kind)
        {
            return known.name;
        }
    }
    return "";
}

}  // namespace caraway_load::workload
