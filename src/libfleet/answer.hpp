#pragma once

#include <QByteArray>
#include <QStringList>

namespace fleet
{

/// What a caller makes of the bytes of one answer.
struct answer
{
    int status = 0;
    QByteArray head;
    QByteArray body;
    /// Its framing ended properly: by length, or by the last chunk.
    bool complete = false;

    /// The words that a stand-in engine generated, in order.
    QStringList tokens() const;
    /// Whether these are t0 to t<count - 1>, each once, all of one request.
    bool has_exactly_tokens(int count) const;
};

/// Reads one answer from a connection's bytes.
answer read_answer(const QByteArray& bytes);

}  // namespace fleet
