#include "libcaraway/config/expectation.hpp"

#include "libcaraway/config/json_pointer.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QRegularExpression>
#include <QStringList>

namespace caraway::config
{

namespace
{

constexpr int max_shown_characters = 40;

QJsonObject resolved(const QJsonObject& root, const QJsonObject& subschema)
{
    const QString target = subschema.value("$ref").toString();
    if (!target.startsWith('#'))
    {
        return subschema;
    }
    return value_at(root, target.mid(1).toStdString()).toObject();
}

QJsonObject member_schema(const QJsonObject& subschema, const QString& member)
{
    const QJsonValue listed = subschema.value("properties").toObject().value(member);
    if (listed.isObject())
    {
        return listed.toObject();
    }
    const QJsonObject patterns = subschema.value("patternProperties").toObject();
    for (auto pattern = patterns.begin(); pattern != patterns.end(); ++pattern)
    {
        if (QRegularExpression(pattern.key()).match(member).hasMatch())
        {
            return pattern.value().toObject();
        }
    }
    return {};
}

std::string number_text(const QJsonValue& number)
{
    return QString::number(number.toDouble(), 'g', 15).toStdString();
}

std::string range(const QJsonObject& subschema)
{
    std::string text;
    if (subschema.contains("exclusiveMinimum"))
    {
        text += " above " + number_text(subschema.value("exclusiveMinimum"));
    }
    if (subschema.contains("minimum"))
    {
        text += " from " + number_text(subschema.value("minimum"));
    }
    if (subschema.contains("maximum"))
    {
        text += (text.empty() ? " up to " : " to ") + number_text(subschema.value("maximum"));
    }
    return text;
}

std::string string_expectation(const QJsonObject& subschema)
{
    QStringList choices;
    for (const QJsonValue choice : subschema.value("enum").toArray())
    {
        choices.append('"' + choice.toString() + '"');
    }
    if (!choices.isEmpty())
    {
        return "one of " + choices.join(", ").toStdString();
    }
    std::string text = "a string";
    if (subschema.contains("pattern"))
    {
        text += " like " + subschema.value("pattern").toString().toStdString();
    }
    if (subschema.contains("minLength"))
    {
        text += ", " + number_text(subschema.value("minLength")) + " characters at least";
    }
    if (subschema.contains("maxLength"))
    {
        text += ", " + number_text(subschema.value("maxLength")) + " characters at most";
    }
    return text;
}

std::string size_limit(const QJsonObject& subschema, const char* member, const char* unit)
{
    if (!subschema.contains(member))
    {
        return {};
    }
    return " of at most " + number_text(subschema.value(member)) + unit;
}

}  // namespace

QJsonObject subschema_at(const QJsonObject& root, const std::string& pointer)
{
    QJsonObject current = root;
    const auto steps = pointer_steps(pointer);
    if (!steps)
    {
        return {};
    }
    for (const QString& step : *steps)
    {
        const bool is_array = current.value("type").toString() == "array";
        current = resolved(root, is_array ? current.value("items").toObject()
                                          : member_schema(current, step));
    }
    return current;
}

std::string expectation(const QJsonObject& root, const QJsonObject& subschema)
{
    const QString type = subschema.value("type").toString();
    if (type == "integer")
    {
        return "an integer" + range(subschema);
    }
    if (type == "number")
    {
        return "a number" + range(subschema);
    }
    if (type == "boolean")
    {
        return "true or false";
    }
    if (type == "string")
    {
        return string_expectation(subschema);
    }
    if (type == "array")
    {
        const QJsonObject item = resolved(root, subschema.value("items").toObject());
        return "an array" + size_limit(subschema, "maxItems", " items") + ", each " +
               expectation(root, item);
    }
    return "an object" + size_limit(subschema, "maxProperties", " members");
}

std::string description(const QJsonObject& subschema, const QJsonValue& value)
{
    if (value.isString() && subschema.value("writeOnly").toBool())
    {
        return std::to_string(value.toString().size()) + " characters, not shown";
    }
    switch (value.type())
    {
    case QJsonValue::Null:
        return "null";
    case QJsonValue::Bool:
        return value.toBool() ? "true" : "false";
    case QJsonValue::Double:
        return number_text(value);
    case QJsonValue::String:
    {
        const QString text = value.toString();
        const bool is_long = text.size() > max_shown_characters;
        return '"' + text.left(max_shown_characters).toStdString() + (is_long ? "...\"" : "\"");
    }
    case QJsonValue::Array:
        return "an array of " + std::to_string(value.toArray().size());
    case QJsonValue::Object:
        return "an object of " + std::to_string(value.toObject().size());
    case QJsonValue::Undefined:
        break;
    }
    return "nothing";
}

bool allows_member(const QJsonObject& subschema, const QString& member)
{
    return !member_schema(subschema, member).isEmpty();
}

std::string listed_members(const QJsonObject& subschema)
{
    const QStringList names = subschema.value("properties").toObject().keys();
    if (!names.isEmpty())
    {
        return "one of " + names.join(", ").toStdString();
    }
    const QStringList patterns = subschema.value("patternProperties").toObject().keys();
    return "a name like " + patterns.join(" or ").toStdString();
}

}  // namespace caraway::config
