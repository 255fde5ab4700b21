#pragma once

#include <QByteArray>

#include <cstdint>

namespace carawayd::traffic
{

/// What one read of an upstream's event stream completed.
struct stream_piece
{
    /// Whole events, to be passed on as they are; what is incomplete stays behind.
    QByteArray events;
    std::uint32_t tokens = 0;
};

/// Cuts an engine's answer (server-sent events) into whole events, so that a caller never gets half
/// of one, tokens can be counted, and an answer that stops before its end mark is told from a
/// complete one. Without it a connection cut between two events would look like the end of the
/// answer.
class event_stream
{
public:
    stream_piece feed(const QByteArray& bytes);

    /// Whether the end mark, `data: [DONE]`, has come.
    bool ended() const;
    /// Events that carried a token so far.
    std::uint64_t tokens() const;
    /// Whether a single event outgrew the bound; the stream is then given up.
    bool oversize() const;
    /// The stream goes on at another engine: forgets an incomplete event, and leaves out what the
    /// other engine says before its first token, which the caller has had already.
    void resume();

private:
    /// Whether the event is to be passed on.
    bool take(const QByteArray& event, stream_piece& piece);

    QByteArray rest_;
    std::uint64_t tokens_ = 0;
    bool ended_ = false;
    bool skipping_preamble_ = false;
};

}  // namespace carawayd::traffic
