#include "libcaraway/rpc/json_text.hpp"

#include "libcaraway/rpc/jsonrpc_library.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace caraway::rpc
{

namespace
{

QJsonValue number_to_qt(const Json::Value& value)
{
    // An unsigned number above the signed range has no place but a double.
    return value.isInt64() ? QJsonValue(static_cast<qint64>(value.asInt64()))
                           : QJsonValue(value.asDouble());
}

Json::Value number_from_qt(const QJsonValue& value)
{
    const double real = value.toDouble();
    const qint64 integer = value.toInteger();
    return static_cast<double>(integer) == real ? Json::Value(static_cast<Json::Int64>(integer))
                                                : Json::Value(real);
}

}  // namespace

bool nesting_is_bounded(std::string_view text)
{
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (in_string)
        {
            // An escaped character can't end the string.
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
            continue;
        }
        in_string = c == '"';
        if ((c == '[' || c == '{') && ++depth > max_json_depth)
        {
            return false;
        }
        depth -= c == ']' || c == '}' ? 1 : 0;
    }
    return true;
}

bool is_strict(std::string_view text)
{
    // Qt's parser takes no lone number or word, but does as an array's element.
    QByteArray array("[");
    array.append(text.data(), static_cast<qsizetype>(text.size())).append(']');
    QJsonParseError error;
    const QJsonDocument parsed = QJsonDocument::fromJson(array, &error);
    return error.error == QJsonParseError::NoError && parsed.array().size() == 1;
}

QJsonValue to_qt(const Json::Value& value)
{
    switch (value.type())
    {
    case Json::nullValue:
        return QJsonValue::Null;
    case Json::booleanValue:
        return value.asBool();
    case Json::stringValue:
        return QString::fromStdString(value.asString());
    case Json::intValue:
    case Json::uintValue:
    case Json::realValue:
        return number_to_qt(value);
    case Json::arrayValue:
    {
        QJsonArray array;
        for (const Json::Value& element : value)
        {
            array.append(to_qt(element));
        }
        return array;
    }
    case Json::objectValue:
    {
        QJsonObject object;
        for (const std::string& key : value.getMemberNames())
        {
            object.insert(QString::fromStdString(key), to_qt(value[key]));
        }
        return object;
    }
    }
    return QJsonValue::Null;
}

Json::Value from_qt(const QJsonValue& value)
{
    switch (value.type())
    {
    case QJsonValue::Bool:
        return value.toBool();
    case QJsonValue::Double:
        return number_from_qt(value);
    case QJsonValue::String:
        return value.toString().toStdString();
    case QJsonValue::Array:
    {
        Json::Value array(Json::arrayValue);
        for (const QJsonValue element : value.toArray())
        {
            array.append(from_qt(element));
        }
        return array;
    }
    case QJsonValue::Object:
    {
        Json::Value object(Json::objectValue);
        const QJsonObject members = value.toObject();
        for (auto member = members.begin(); member != members.end(); ++member)
        {
            object[member.key().toStdString()] = from_qt(member.value());
        }
        return object;
    }
    case QJsonValue::Null:
    case QJsonValue::Undefined:
        break;
    }
    return Json::nullValue;
}

}  // namespace caraway::rpc
