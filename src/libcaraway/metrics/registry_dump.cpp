#include "libcaraway/metrics/registry_dump.hpp"

#include "libcaraway/metrics/registry.hpp"

#include <QString>

namespace caraway::metrics
{

namespace
{

QJsonValue to_json(std::uint64_t count)
{
    return static_cast<qint64>(count);
}

QJsonValue to_json(double value)
{
    return value;
}

QJsonValue to_json(const histogram* values)
{
    return QJsonObject{{"count", static_cast<qint64>(values->count())},
                       {"sum", values->sum()},
                       {"p50", values->quantile(0.50)},
                       {"p95", values->quantile(0.95)},
                       {"p99", values->quantile(0.99)}};
}

}  // namespace

QJsonObject dump(const registry& source)
{
    QJsonObject out;
    for (const auto& series : source.values())
    {
        out[QString::fromStdString(series.name)] =
            std::visit([](auto value) { return to_json(value); }, series.value);
    }
    return out;
}

}  // namespace caraway::metrics
