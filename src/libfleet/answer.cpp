#include "libfleet/answer.hpp"

#include <QRegularExpression>
#include <QString>

namespace fleet
{

namespace
{

constexpr int hex = 16;

/// Takes the chunks apart; false if the last one is missing.
bool read_chunks(const QByteArray& bytes, QByteArray& body)
{
    qsizetype at = 0;
    for (;;)
    {
        const qsizetype line_end = bytes.indexOf("\r\n", at);
        if (line_end < 0)
        {
            return false;
        }
        const qsizetype size = bytes.mid(at, line_end - at).toInt(nullptr, hex);
        if (size == 0)
        {
            return bytes.mid(line_end).startsWith("\r\n\r\n");
        }
        body += bytes.mid(line_end + 2, size);
        at = line_end + 2 + size + 2;
    }
}

}  // namespace

QStringList answer::tokens() const
{
    static const QRegularExpression word("t\\d+-[0-9a-f]+");
    QStringList found;
    auto matches = word.globalMatch(QString::fromUtf8(body));
    while (matches.hasNext())
    {
        found << matches.next().captured();
    }
    return found;
}

bool answer::has_exactly_tokens(int count) const
{
    const QStringList all = tokens();
    if (all.size() != count)
    {
        return false;
    }
    for (int i = 0; i < count; ++i)
    {
        const bool in_order = all[i].startsWith(QString("t%1-").arg(i));
        if (!in_order || all[i].section('-', 1) != all[0].section('-', 1))
        {
            return false;
        }
    }
    return true;
}

answer read_answer(const QByteArray& bytes)
{
    answer read;
    const qsizetype head_end = bytes.indexOf("\r\n\r\n");
    if (head_end < 0)
    {
        return read;
    }
    read.head = bytes.left(head_end);
    read.status = read.head.mid(9, 3).toInt();
    const QByteArray rest = bytes.mid(head_end + 4);
    const QByteArray lower = read.head.toLower();
    if (lower.contains("transfer-encoding: chunked"))
    {
        read.complete = read_chunks(rest, read.body);
        return read;
    }
    const qsizetype length = lower.indexOf("content-length: ");
    if (length < 0)
    {
        read.body = rest;
        return read;
    }
    const qsizetype from = length + 16;
    const qsizetype line_end = lower.indexOf('\r', from);
    const QByteArray value = line_end < 0 ? lower.mid(from) : lower.mid(from, line_end - from);
    const qsizetype announced = value.trimmed().toLongLong();
    read.body = rest.left(announced);
    read.complete = rest.size() >= announced;
    return read;
}

}  // namespace fleet
