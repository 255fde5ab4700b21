#include "libstandin/control_fields.hpp"

#include "libstandin/json.hpp"

#include <algorithm>

namespace standin
{

namespace
{

QJsonValue shown(const control_fields::field& value)
{
    return std::visit([](const auto* content) { return QJsonValue(*content); }, value);
}

bool fits(const control_fields::field& value, const QJsonValue& content)
{
    if (std::holds_alternative<bool*>(value))
    {
        return content.isBool();
    }
    if (std::holds_alternative<QString*>(value))
    {
        return content.isString();
    }
    return content.isDouble();
}

void set(bool& value, const QJsonValue& content)
{
    value = content.toBool();
}

void set(int& value, const QJsonValue& content)
{
    value = content.toInt();
}

void set(double& value, const QJsonValue& content)
{
    value = content.toDouble();
}

void set(QString& value, const QJsonValue& content)
{
    value = content.toString();
}

}  // namespace

control_fields& control_fields::add(const char* name, field value)
{
    entries_.push_back({.name = QString::fromLatin1(name), .value = value});
    return *this;
}

QJsonObject control_fields::show() const
{
    QJsonObject all;
    for (const auto& [name, value] : entries_)
    {
        all[name] = shown(value);
    }
    return all;
}

std::optional<QString> control_fields::check(const QJsonObject& change) const
{
    for (const QString& name : change.keys())
    {
        const auto found = std::find_if(entries_.begin(), entries_.end(),
                                        [&](const entry& one) { return one.name == name; });
        if (found == entries_.end())
        {
            return name + QStringLiteral(": no such switch");
        }
        if (!fits(found->value, change[name]))
        {
            return name + QStringLiteral(": wrong type of value");
        }
    }
    return std::nullopt;
}

void control_fields::apply(const QJsonObject& change)
{
    for (const entry& one : entries_)
    {
        if (change.contains(one.name))
        {
            std::visit([&](auto* content) { set(*content, change[one.name]); }, one.value);
        }
    }
}

void answer_control(exchange& call, control_fields& fields, const std::function<void()>& changed)
{
    if (call.request().method == "POST")
    {
        const auto change = parse_object(call.request().body);
        const auto fault = change ? fields.check(*change) : QStringLiteral("not a JSON object");
        if (fault)
        {
            call.respond(json_answer({{QStringLiteral("error"), *fault}}, 400));
            return;
        }
        fields.apply(*change);
        if (changed)
        {
            changed();
        }
    }
    call.respond(json_answer(fields.show()));
}

}  // namespace standin
