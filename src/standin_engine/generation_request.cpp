#include "standin_engine/generation_request.hpp"

#include "libstandin/http_request.hpp"
#include "libstandin/json.hpp"

#include "standin_engine/answer_text.hpp"

#include <QJsonArray>

#include <algorithm>

namespace standin_engine
{

namespace
{

namespace base = caraway::base;

constexpr int characters_per_token = 4;

/// Text of a message or prompt: a string, or an array of strings or of parts with a `text`.
QByteArray text_of(const QJsonValue& content)
{
    if (content.isString())
    {
        return content.toString().toUtf8();
    }
    QByteArray text;
    for (const auto& part : content.toArray())
    {
        text += part.isObject() ? text_of(part[QLatin1String("text")]) : text_of(part);
    }
    return text;
}

QByteArray chat_prompt(const QJsonArray& messages)
{
    QByteArray prompt;
    for (const auto& message : messages)
    {
        prompt += message[QLatin1String("role")].toString().toUtf8() + ": " +
                  text_of(message[QLatin1String("content")]) + '\n';
    }
    return prompt;
}

void set_length(generation_request& request, const QJsonObject& body)
{
    const QJsonValue wanted = body[QLatin1String("x_tokens")];
    const int natural = wanted.isDouble() ? wanted.toInt() : default_length(request.prompt);
    const QJsonValue newer = body[QLatin1String("max_completion_tokens")];
    const QJsonValue cap = newer.isDouble() ? newer : body[QLatin1String("max_tokens")];
    request.capped = cap.isDouble() && cap.toInt() < natural;
    request.tokens = std::max(0, request.capped ? cap.toInt() : natural);
}

}  // namespace

int generation_request::prompt_tokens() const
{
    return std::max(1, static_cast<int>(prompt.size()) / characters_per_token);
}

base::result<generation_request> parse_generation(endpoint kind,
                                                  const standin::http_request& request)
{
    const auto body = standin::parse_object(request.body);
    if (!body)
    {
        return base::make_error(base::errc::invalid_argument, "The body is not a JSON object.");
    }
    const QJsonValue input =
        (*body)[kind == endpoint::chat ? QLatin1String("messages") : QLatin1String("prompt")];
    if (kind == endpoint::chat ? !input.isArray() : !input.isArray() && !input.isString())
    {
        return base::make_error(base::errc::invalid_argument, "`messages` or `prompt` is missing.");
    }
    generation_request wanted;
    wanted.kind = kind;
    wanted.request_id = request.header("X-Request-Id");
    wanted.model = (*body)[QLatin1String("model")].toString().toUtf8();
    wanted.prompt = kind == endpoint::chat ? chat_prompt(input.toArray()) : text_of(input);
    wanted.stream = (*body)[QLatin1String("stream")].toBool();
    wanted.include_usage =
        (*body)[QLatin1String("stream_options")][QLatin1String("include_usage")].toBool();
    wanted.resume_from = std::max(0, (*body)[QLatin1String("x_resume_from")].toInt());
    set_length(wanted, *body);
    return wanted;
}

}  // namespace standin_engine
