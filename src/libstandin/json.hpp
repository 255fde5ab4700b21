#pragma once

#include "libstandin/exchange.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <optional>

namespace standin
{

QByteArray to_json(const QJsonObject& object);
/// Nothing when the bytes are no JSON object.
std::optional<QJsonObject> parse_object(const QByteArray& bytes);
answer json_answer(const QJsonObject& object, int status = 200);

}  // namespace standin
