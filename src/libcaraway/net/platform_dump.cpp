#include "libcaraway/net/platform_client.hpp"

#include <chrono>

namespace caraway::net
{

namespace
{

double milliseconds(base::duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

QJsonObject to_json(const platform_counters& counted)
{
    QJsonObject errors;
    for (const auto& [code, count] : counted.errors)
    {
        errors[QLatin1String(base::name(code))] = static_cast<qint64>(count);
    }
    return {{"started", static_cast<qint64>(counted.started)},
            {"succeeded", static_cast<qint64>(counted.succeeded)},
            {"retries", static_cast<qint64>(counted.retries)},
            {"errors", errors},
            {"latency_sum_ms", milliseconds(counted.latency_sum)},
            {"latency_max_ms", milliseconds(counted.latency_max)}};
}

}  // namespace

QJsonObject platform_client::dump() const
{
    static constexpr std::array<const char*, service_count> names{"table", "objects", "vms"};

    QJsonObject operations;
    for (std::size_t index = 0; index < platform_operation_count; ++index)
    {
        const auto operation = static_cast<platform_operation>(index);
        operations[QLatin1String(name(operation))] = to_json(counters(operation));
    }
    QJsonObject services;
    for (std::size_t index = 0; index < service_count; ++index)
    {
        const platform_channel& channel = *channels_.at(index);
        services[QLatin1String(names.at(index))] =
            QJsonObject{{"reachable", channel.reachable()},
                        {"in_flight", static_cast<qint64>(channel.in_flight())},
                        {"waiting", static_cast<qint64>(channel.waiting())}};
    }
    return {{"endpoint", options_.endpoint.toString()},
            {"services", services},
            {"operations", operations}};
}

}  // namespace caraway::net
