#include "caraway_load/report/figures_json.hpp"

#include <QDateTime>
#include <QJsonArray>

#include <cmath>

namespace caraway_load::report
{

namespace
{

/// Figures are kept to six digits; more only make the files larger.
double rounded(double value)
{
    if (value == 0 || !std::isfinite(value))
    {
        return 0;
    }
    const double scale = std::pow(10, 5 - std::floor(std::log10(std::fabs(value))));
    return std::round(value * scale) / scale;
}

qint64 number(std::size_t value)
{
    return static_cast<qint64>(value);
}

QJsonObject to_json(const measures::distribution& one)
{
    return {{"count", number(one.count)}, {"mean", rounded(one.mean)},
            {"p50", rounded(one.median)}, {"p95", rounded(one.p95)},
            {"p99", rounded(one.p99)},    {"max", rounded(one.largest)}};
}

QJsonObject to_json(const measures::utilisation& one)
{
    return {{"ratio", rounded(one.ratio())},
            {"busy_slot_s", rounded(one.busy_slot_s)},
            {"slot_s", rounded(one.slot_s)}};
}

QJsonObject to_json(const control_figures& one)
{
    return {{"bytes_out_per_s", rounded(one.bytes_out)},
            {"bytes_in_per_s", rounded(one.bytes_in)},
            {"messages_out_per_s", rounded(one.messages_out)},
            {"datagrams_out_per_s", rounded(one.datagrams_out)},
            {"main_thread_cpu_percent", rounded(one.main_thread_cpu)},
            {"process_cpu_percent", rounded(one.process_cpu)},
            {"resident_mb", rounded(one.resident_mb)},
            {"peak_resident_mb", rounded(one.peak_resident_mb)}};
}

QJsonObject to_json(const std::map<std::string, double>& values)
{
    QJsonObject all;
    for (const auto& [name, value] : values)
    {
        all[QString::fromStdString(name)] = rounded(value);
    }
    return all;
}

QJsonObject to_json(const control_summary& one)
{
    return {{"nodes", number(one.nodes)},
            {"mean", to_json(one.mean)},
            {"largest", to_json(one.largest)},
            {"scheduler_counters", to_json(one.scheduler)},
            {"thread_cpu_percent", to_json(one.threads)}};
}

QJsonObject to_json(const workspace_figures& one)
{
    return {{"id", QString::fromStdString(one.id)},
            {"share", one.share},
            {"requests", number(one.requests)},
            {"answered", number(one.answered)},
            {"weighted_service", rounded(one.weighted_service)},
            {"backlogged", rounded(one.backlogged)},
            {"wait_s", to_json(one.wait_s)},
            {"longest_wait_s", rounded(one.longest_wait_s)},
            {"longest_unserved_wait_s", rounded(one.longest_unserved_wait_s)},
            {"first_token_s", to_json(one.first_token_s)}};
}

QJsonObject to_json(const measures::broken_promises& one)
{
    return {{"sum", one.sum()},
            {"mixed_up", one.mixed_up},
            {"cut_looked_complete", one.cut_looked_complete},
            {"doubled_tokens", one.doubled_tokens},
            {"answered_without_run", one.answered_without_run},
            {"not_run_yet_ran", one.not_run_yet_ran},
            {"plain_run_twice", one.plain_run_twice},
            {"plain_answered_not_run", one.plain_answered_not_run},
            {"model_run_again", one.model_run_again}};
}

QJsonValue to_json(const std::optional<double>& value)
{
    return value ? QJsonValue(rounded(*value)) : QJsonValue(QJsonValue::Null);
}

QJsonObject to_json(const recovery_figures& one)
{
    return {{"fault", QString::fromStdString(one.fault)},
            {"at_s", one.at_s},
            {"for_s", one.for_s},
            {"gap_before", rounded(one.gap_before)},
            {"gap_during", rounded(one.gap_during)},
            {"utilisation_before", rounded(one.utilisation_before)},
            {"utilisation_lowest", rounded(one.utilisation_lowest)},
            {"gap_back_s", to_json(one.gap_back_s)},
            {"utilisation_back_s", to_json(one.utilisation_back_s)}};
}

template <class All>
QJsonArray list(const All& all)
{
    QJsonArray list;
    for (const auto& one : all)
    {
        list.append(to_json(one));
    }
    return list;
}

QJsonArray series(const std::vector<std::vector<double>>& all)
{
    QJsonArray list;
    for (const auto& one : all)
    {
        QJsonArray values;
        for (const double value : one)
        {
            values.append(std::round(value));
        }
        list.append(values);
    }
    return list;
}

QJsonObject conditions(const run::load_run_options& options, const run::run_log& log,
                       const figures& all)
{
    const auto& load = options.load;
    QJsonArray problems;
    for (const QString& problem : log.problems)
    {
        problems.append(problem);
    }
    return {{"scenario", QString::fromStdString(load.name)},
            {"policy", QString::fromStdString(options.policy)},
            {"seed", static_cast<qint64>(load.seed)},
            {"routers", static_cast<qint64>(load.routers)},
            {"engines", static_cast<qint64>(load.engines.count)},
            {"slots", static_cast<qint64>(load.engines.slots * load.engines.count)},
            {"window_s", QJsonArray{all.window.from_s, all.window.to_s}},
            {"at", QDateTime::currentDateTimeUtc().toString(Qt::ISODate)},
            {"load_average", QJsonArray{log.load_average_from, log.load_average_to}},
            {"generator_cpu_percent", rounded(all.generator_cpu)},
            {"problems", problems}};
}

QJsonObject gap_json(const run::load_run_options& options, const figures& all)
{
    const auto& workspaces = options.load.workspaces;
    return {{"tokens", rounded(all.gap.tokens)},
            {"mean_requests", rounded(all.gap_in_requests)},
            {"mean_tokens_a_request", rounded(all.mean_tokens)},
            {"more", QString::fromStdString(workspaces[all.gap.more].id)},
            {"less", QString::fromStdString(workspaces[all.gap.less].id)},
            {"when_s", QJsonArray{rounded(all.gap.when.from_s), rounded(all.gap.when.to_s)}}};
}

QJsonObject requests_json(const figures& all)
{
    QJsonObject refused;
    for (const auto& [code, times] : all.refused_by_code)
    {
        refused[QString::fromStdString(code)] = number(times);
    }
    return {{"sent", number(all.requests)},
            {"answered", number(all.answered)},
            {"given_up", number(all.given_up)},
            {"unfinished", number(all.unfinished)},
            {"retries", number(all.retries)},
            {"broken_connections", number(all.broken_connections)},
            {"refused", refused}};
}

}  // namespace

QJsonObject to_json(const run::load_run_options& options, const run::run_log& log,
                    const figures& all)
{
    return {
        {"conditions", conditions(options, log, all)},
        {"gap", gap_json(options, all)},
        {"utilisation_while_work_waits", QJsonObject{{"engines", to_json(all.used_by_engines)},
                                                     {"callers", to_json(all.used_by_callers)},
                                                     {"work_waits_s", rounded(all.work_waits_s)}}},
        {"tokens_per_s", rounded(all.tokens_per_second)},
        {"capacity_tokens_per_s", rounded(all.capacity)},
        {"requests", requests_json(all)},
        {"first_token_s", to_json(all.first_token_s)},
        {"between_tokens_s", to_json(all.between_tokens_s)},
        {"wait_s", to_json(all.wait_s)},
        {"plain_answer_s", to_json(all.plain_answer_s)},
        {"workspaces", list(all.workspaces)},
        {"weighted_service_by_second", series(all.service_over_time)},
        {"broken_promises", to_json(all.broken)},
        {"control", QJsonObject{{"idle", to_json(all.idle)}, {"loaded", to_json(all.loaded)}}},
        {"recovery", list(all.recoveries)}};
}

}  // namespace caraway_load::report
