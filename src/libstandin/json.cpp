#include "libstandin/json.hpp"

#include <QJsonDocument>

namespace standin
{

QByteArray to_json(const QJsonObject& object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::optional<QJsonObject> parse_object(const QByteArray& bytes)
{
    const auto document = QJsonDocument::fromJson(bytes);
    if (!document.isObject())
    {
        return std::nullopt;
    }
    return document.object();
}

answer json_answer(const QJsonObject& object, int status)
{
    return {.status = status, .body = to_json(object)};
}

}  // namespace standin
