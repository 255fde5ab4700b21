#include "carawayd/traffic/event_stream.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace carawayd::traffic
{

namespace
{

constexpr qsizetype largest_event = 1 << 20;
const QByteArray data_field("data:");
const QByteArray end_mark("[DONE]");

/// Where the first event of `bytes` ends, its empty line included; -1 while it is incomplete.
qsizetype end_of_event(const QByteArray& bytes)
{
    const qsizetype plain = bytes.indexOf("\n\n");
    const qsizetype with_return = bytes.indexOf("\r\n\r\n");
    if (with_return >= 0 && (plain < 0 || with_return < plain))
    {
        return with_return + 4;
    }
    return plain < 0 ? -1 : plain + 2;
}

enum class event_kind
{
    token,
    preamble,  ///< Says who speaks, before the first token.
    other,     ///< Why it ended, usage, errors.
};

event_kind kind_of(const QByteArray& value)
{
    const QJsonValue choice = QJsonDocument::fromJson(value).object()["choices"][0];
    const QString chat = choice["delta"]["content"].toString();
    const QString plain = choice["text"].toString();
    if (!chat.isEmpty() || !plain.isEmpty())
    {
        return event_kind::token;
    }
    return choice["delta"]["role"].isString() ? event_kind::preamble : event_kind::other;
}

}  // namespace

stream_piece event_stream::feed(const QByteArray& bytes)
{
    stream_piece piece;
    rest_ += bytes;
    qsizetype end = end_of_event(rest_);
    while (end > 0)
    {
        const QByteArray event = rest_.left(end);
        rest_.remove(0, end);
        if (take(event, piece))
        {
            piece.events += event;
        }
        end = end_of_event(rest_);
    }
    return piece;
}

bool event_stream::ended() const
{
    return ended_;
}

std::uint64_t event_stream::tokens() const
{
    return tokens_;
}

bool event_stream::oversize() const
{
    return rest_.size() > largest_event;
}

void event_stream::resume()
{
    rest_.clear();
    skipping_preamble_ = tokens_ > 0;
}

bool event_stream::take(const QByteArray& event, stream_piece& piece)
{
    if (!event.startsWith(data_field))
    {
        return true;
    }
    const QByteArray value = event.mid(data_field.size()).trimmed();
    if (value == end_mark)
    {
        ended_ = true;
        return true;
    }
    const event_kind kind = kind_of(value);
    if (kind == event_kind::preamble && skipping_preamble_)
    {
        return false;
    }
    skipping_preamble_ = false;
    if (kind == event_kind::token)
    {
        ++piece.tokens;
        ++tokens_;
    }
    return true;
}

}  // namespace carawayd::traffic
