#include "carawayd/traffic/model_call.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QString>

#include <algorithm>
#include <functional>
#include <string>

namespace carawayd::traffic
{

using caraway::base::cost;
using caraway::base::errc;
using caraway::base::make_error;
using caraway::base::result;

namespace
{

/// Engines read a prompt many times faster than they generate; a prompt token weighs this much of a
/// new one.
constexpr double prompt_token_weight = 0.05;
constexpr double characters_a_token = 4;
constexpr int assumed_new_tokens = 256;
/// Engines cache by prefix; this much of it tells conversations and templates apart.
constexpr qsizetype affinity_characters = 256;

QString text_of(const QJsonValue& content)
{
    if (content.isString())
    {
        return content.toString();
    }
    QString text;
    const QJsonArray parts = content.toArray();
    for (const QJsonValueConstRef part : parts)
    {
        text += part.isString() ? part.toString() : part.toObject()["text"].toString();
    }
    return text;
}

QString prompt_of(const QJsonObject& body)
{
    if (body.contains("prompt"))
    {
        return text_of(body["prompt"]);
    }
    QString prompt;
    const QJsonArray messages = body["messages"].toArray();
    for (const QJsonValueConstRef message : messages)
    {
        prompt += text_of(message.toObject()["content"]);
        prompt += '\n';
    }
    return prompt;
}

int new_tokens(const QJsonObject& body)
{
    const QJsonValue cap =
        body.contains("max_completion_tokens") ? body["max_completion_tokens"] : body["max_tokens"];
    return cap.isDouble() ? std::max(1, cap.toInt()) : assumed_new_tokens;
}

result<void> check_members(const QJsonObject& body)
{
    if (!body["model"].isString() || body["model"].toString().isEmpty())
    {
        return make_error(errc::invalid_argument, "/model: a model's name is required");
    }
    if (!body["messages"].isArray() && !body.contains("prompt"))
    {
        return make_error(errc::invalid_argument, "/messages: an array of messages is required");
    }
    if (body.contains("stream") && !body["stream"].isBool() && !body["stream"].isNull())
    {
        return make_error(errc::invalid_argument, "/stream: true or false is expected");
    }
    const QJsonValue cap = body["max_tokens"];
    if (!cap.isUndefined() && !cap.isNull() && (!cap.isDouble() || cap.toDouble() < 1))
    {
        return make_error(errc::invalid_argument, "/max_tokens: a number from 1 is expected");
    }
    return caraway::base::success();
}

}  // namespace

result<model_call> read_model_call(const QByteArray& body)
{
    QJsonParseError problem;
    const QJsonDocument document = QJsonDocument::fromJson(body, &problem);
    if (!document.isObject())
    {
        return make_error(errc::invalid_argument,
                          "the body is no JSON object: " + problem.errorString().toStdString());
    }
    model_call call;
    call.body = document.object();
    BOOST_OUTCOME_TRY(check_members(call.body));
    const QString prompt = prompt_of(call.body);
    call.model = caraway::base::service_id(call.body["model"].toString().toStdString());
    call.stream = call.body["stream"].toBool(false);
    call.prompt_cost =
        cost(prompt_token_weight * static_cast<double>(prompt.size()) / characters_a_token);
    call.hint = call.prompt_cost + cost(new_tokens(call.body));
    const std::string beginning = prompt.left(affinity_characters).toStdString();
    call.affinity = beginning.empty() ? 0 : std::hash<std::string>{}(beginning);
    return call;
}

QByteArray resumed_body(const model_call& call, std::uint64_t tokens)
{
    QJsonObject body = call.body;
    body["x_resume_from"] = static_cast<qint64>(tokens);
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

cost answer_cost(const QByteArray& answer, cost fallback)
{
    const QJsonValue usage = QJsonDocument::fromJson(answer).object()["usage"];
    if (!usage.isObject() || !usage["completion_tokens"].isDouble())
    {
        return fallback;
    }
    return cost(usage["completion_tokens"].toDouble() +
                prompt_token_weight * usage["prompt_tokens"].toDouble());
}

}  // namespace carawayd::traffic
