#include "standin_engine/answer_text.hpp"

#include "libstandin/json.hpp"

#include <QCryptographicHash>
#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>

namespace standin_engine
{

namespace
{

constexpr int shortest = 20;
constexpr int longest = 200;
constexpr int hash_digits = 8;

QByteArray prompt_hash(const QByteArray& prompt)
{
    return QCryptographicHash::hash(prompt, QCryptographicHash::Sha256).toHex().left(hash_digits);
}

QJsonObject usage(const generation_request& request)
{
    const int generated = std::max(0, request.tokens - request.resume_from);
    return {{QStringLiteral("prompt_tokens"), request.prompt_tokens()},
            {QStringLiteral("completion_tokens"), generated},
            {QStringLiteral("total_tokens"), request.prompt_tokens() + generated}};
}

QByteArray finish_reason(const generation_request& request)
{
    return request.capped ? "length" : "stop";
}

/// A string as JSON; names of models may hold what must be escaped.
QByteArray quoted(const QByteArray& text)
{
    const QByteArray list =
        QJsonDocument(QJsonArray{QString::fromUtf8(text)}).toJson(QJsonDocument::Compact);
    return list.mid(1, list.size() - 2);
}

}  // namespace

int default_length(const QByteArray& prompt)
{
    const auto number = prompt_hash(prompt).toUInt(nullptr, 16);
    return shortest + static_cast<int>(number % (longest - shortest + 1));
}

answer_text::answer_text(const generation_request& request, QByteArray id)
    : kind_(request.kind), suffix_('-' + prompt_hash(request.prompt) + ' '), id_(std::move(id)),
      model_(request.model)
{
    const QByteArray object = kind_ == endpoint::chat ? "chat.completion.chunk" : "text_completion";
    preamble_ = "data: {\"id\":" + quoted(id_) + ",\"object\":\"" + object +
                "\",\"created\":" + QByteArray::number(QDateTime::currentSecsSinceEpoch()) +
                ",\"model\":" + quoted(model_) + ",\"choices\":[";
}

QByteArray answer_text::token(int index) const
{
    return 't' + QByteArray::number(index) + suffix_;
}

QByteArray answer_text::tokens(int first, int end) const
{
    QByteArray text;
    for (int index = first; index < end; ++index)
    {
        text += token(index);
    }
    return text;
}

QByteArray answer_text::first_event() const
{
    if (kind_ == endpoint::text)
    {
        return {};
    }
    return event(R"("delta":{"role":"assistant","content":""},"finish_reason":null)");
}

QByteArray answer_text::token_event(int index) const
{
    const QByteArray text = '"' + token(index) + '"';
    return event(kind_ == endpoint::chat ? "\"delta\":{\"content\":" + text +
                                               "}"
                                               ",\"finish_reason\":null"
                                         : "\"text\":" + text + ",\"finish_reason\":null");
}

QByteArray answer_text::last_event(const generation_request& request) const
{
    const QByteArray reason = ",\"finish_reason\":\"" + finish_reason(request) + '"';
    return event((kind_ == endpoint::chat ? "\"delta\":{}" : "\"text\":\"\"") + reason);
}

QByteArray answer_text::usage_event(const generation_request& request) const
{
    return preamble_ + "],\"usage\":" + standin::to_json(usage(request)) + "}\n\n";
}

QByteArray answer_text::done_event()
{
    return "data: [DONE]\n\n";
}

QByteArray answer_text::whole_body(const generation_request& request) const
{
    const QString text = QString::fromUtf8(tokens(request.resume_from, request.tokens));
    QJsonObject choice{
        {QStringLiteral("index"), 0},
        {QStringLiteral("finish_reason"), QString::fromUtf8(finish_reason(request))}};
    if (kind_ == endpoint::chat)
    {
        choice[QStringLiteral("message")] =
            QJsonObject{{QStringLiteral("role"), QStringLiteral("assistant")},
                        {QStringLiteral("content"), text}};
    }
    else
    {
        choice[QStringLiteral("text")] = text;
    }
    return standin::to_json(
        {{QStringLiteral("id"), QString::fromUtf8(id_)},
         {QStringLiteral("object"), kind_ == endpoint::chat ? QStringLiteral("chat.completion")
                                                            : QStringLiteral("text_completion")},
         {QStringLiteral("created"), QDateTime::currentSecsSinceEpoch()},
         {QStringLiteral("model"), QString::fromUtf8(model_)},
         {QStringLiteral("choices"), QJsonArray{choice}},
         {QStringLiteral("usage"), usage(request)}});
}

QByteArray answer_text::event(const QByteArray& choice) const
{
    return preamble_ + "{\"index\":0," + choice + "}]}\n\n";
}

}  // namespace standin_engine
