#include "caraway_load/calls/answer_check.hpp"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace caraway_load::calls
{

namespace
{

constexpr int digits = 8;
const QByteArray event_end("\n\n");
const QByteArray end_event("data: [DONE]");
const QByteArray content_member(R"("content":")");

QByteArray sha256(const QByteArray& bytes)
{
    return QCryptographicHash::hash(bytes, QCryptographicHash::Sha256).toHex();
}

/// The text that an event adds to the answer; empty for the first and the last one.
QByteArray content_of(const QByteArray& event)
{
    const qsizetype at = event.indexOf(content_member);
    if (at < 0)
    {
        return {};
    }
    const qsizetype begin = at + content_member.size();
    return event.mid(begin, event.indexOf('"', begin) - begin);
}

}  // namespace

const char* name(answer_fault fault)
{
    switch (fault)
    {
    case answer_fault::none:
        return "none";
    case answer_fault::mixed_up:
        return "mixed_up";
    case answer_fault::cut:
        return "cut";
    case answer_fault::doubled:
        return "doubled";
    }
    return "none";
}

answer_check answer_check::of_model(const QByteArray& prompt, std::uint32_t tokens, bool streamed)
{
    answer_check check;
    check.streamed_ = streamed;
    check.expected_ = tokens;
    check.digest_ = sha256(prompt).left(digits);
    return check;
}

answer_check answer_check::of_plain(const QByteArray& body)
{
    answer_check check;
    check.plain_ = true;
    check.digest_ = sha256(body);
    return check;
}

std::uint32_t answer_check::take(const QByteArray& part)
{
    const std::uint32_t before = tokens_;
    rest_ += part;
    if (!streamed_)
    {
        return 0;
    }
    qsizetype begin = 0;
    for (qsizetype end = rest_.indexOf(event_end); end >= 0; end = rest_.indexOf(event_end, begin))
    {
        take_event(rest_.mid(begin, end - begin));
        begin = end + event_end.size();
    }
    rest_.remove(0, begin);
    return tokens_ - before;
}

answer_fault answer_check::end()
{
    if (!streamed_)
    {
        return check_body();
    }
    if (fault_ != answer_fault::none)
    {
        return fault_;
    }
    return tokens_ == expected_ && end_mark_ ? answer_fault::none
           : tokens_ > expected_             ? answer_fault::doubled
                                             : answer_fault::cut;
}

std::uint32_t answer_check::tokens() const
{
    return tokens_;
}

void answer_check::take_event(const QByteArray& event)
{
    if (event == end_event)
    {
        end_mark_ = true;
        return;
    }
    const QByteArray content = content_of(event);
    if (content.isEmpty())
    {
        return;
    }
    const std::uint32_t index = tokens_++;
    if (content == token(index) || fault_ != answer_fault::none)
    {
        return;
    }
    const bool own = content.contains('-' + digest_);
    const std::uint32_t told = content.mid(1, content.indexOf('-') - 1).toUInt();
    fault_ = !own           ? answer_fault::mixed_up
             : told < index ? answer_fault::doubled
                            : answer_fault::cut;
}

answer_fault answer_check::check_body() const
{
    const QJsonObject answer = QJsonDocument::fromJson(rest_).object();
    if (plain_)
    {
        const bool own = answer["body_sha256"].toString().toLatin1() == digest_;
        return own ? answer_fault::none : answer_fault::mixed_up;
    }
    const QByteArray text = answer["choices"][0]["message"]["content"].toString().toUtf8();
    QByteArray wanted;
    for (std::uint32_t index = 0; index < expected_; ++index)
    {
        wanted += token(index);
    }
    if (text == wanted)
    {
        return answer_fault::none;
    }
    return wanted.startsWith(text) && !text.isEmpty() ? answer_fault::cut
           : text.startsWith(wanted)                  ? answer_fault::doubled
                                                      : answer_fault::mixed_up;
}

QByteArray answer_check::token(std::uint32_t index) const
{
    return 't' + QByteArray::number(index) + '-' + digest_ + ' ';
}

}  // namespace caraway_load::calls
