#pragma once

#include "caraway_load/calls/response_head.hpp"

#include <QByteArray>

#include <optional>

namespace caraway_load::calls
{

/// Reads one HTTP answer after the other off a connection. Written for this tool alone, so that
/// what it says of an answer doesn't come from the code that it measures.
class response_reader
{
public:
    /// Takes bytes in and gives back the part of the body among them. Stops at the answer's end:
    /// what came beyond it is left in `surplus()`.
    QByteArray feed(const QByteArray& bytes);
    /// Ready for the next answer on the same connection.
    void restart();

    /// Something of an answer has come.
    bool has_begun() const;
    bool head_read() const;
    int status() const;
    /// A field of the head, empty if there is none. `name` is lower case.
    QByteArray header(const QByteArray& name) const;
    /// The answer's framing ended as it should.
    bool ended() const;
    /// What came is no HTTP, or leaves open where the answer ends.
    bool malformed() const;
    /// The server closes the connection after this answer.
    bool closes() const;
    bool surplus() const;

private:
    enum class state
    {
        head,
        counted_body,
        chunk_size,
        chunk_body,
        chunk_end,
        trailer,
        ended,
        malformed,
    };

    bool step(QByteArray& body);
    bool read_head();
    bool read_chunk_size();
    bool read_counted(QByteArray& body, state next);
    bool read_trailer();
    /// A line without its end, if a whole one is there.
    bool take_line(QByteArray& line);

    QByteArray buffer_;
    std::optional<response_head> head_;
    state state_ = state::head;
    qint64 left_ = 0;
};

}  // namespace caraway_load::calls
