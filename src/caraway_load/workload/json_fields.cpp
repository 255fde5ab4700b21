#include "caraway_load/workload/json_fields.hpp"

#include <cmath>

namespace caraway_load::workload
{

json_fields::json_fields(const QJsonObject& object, QString place)
    : rest_(object), place_(std::move(place))
{
}

json_fields& json_fields::number(const char* name, double* target)
{
    const QJsonValue value = take(name);
    if (value.isDouble() && value.toDouble() >= 0)
    {
        *target = value.toDouble();
    }
    else if (!value.isUndefined())
    {
        problem_ = QString("%1/%2: a number from 0 is expected").arg(place_, name);
    }
    return *this;
}

json_fields& json_fields::count(const char* name, std::uint32_t* target)
{
    double value = *target;
    number(name, &value);
    if (value != std::floor(value))
    {
        problem_ = QString("%1/%2: a whole number is expected").arg(place_, name);
    }
    *target = static_cast<std::uint32_t>(value);
    return *this;
}

json_fields& json_fields::text(const char* name, std::string* target)
{
    const QJsonValue value = take(name);
    if (value.isString())
    {
        *target = value.toString().toStdString();
    }
    else if (!value.isUndefined())
    {
        problem_ = QString("%1/%2: text is expected").arg(place_, name);
    }
    return *this;
}

QJsonValue json_fields::take(const char* name)
{
    // Not QJsonObject::take: it gives null, not undefined, for what is absent.
    QJsonValue value = rest_.value(QLatin1String(name));
    rest_.remove(QLatin1String(name));
    return value;
}

caraway::base::result<void> json_fields::check() const
{
    using caraway::base::errc;
    if (!problem_.isEmpty())
    {
        return caraway::base::make_error(errc::invalid_argument, problem_.toStdString());
    }
    if (!rest_.isEmpty())
    {
        return caraway::base::make_error(
            errc::invalid_argument,
            QString("%1/%2: unknown member").arg(place_, rest_.keys().first()).toStdString());
    }
    return caraway::base::success();
}

}  // namespace caraway_load::workload
