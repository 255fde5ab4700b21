#pragma once

#include "libcaraway/net/http_message.hpp"

#include <QObject>

#include <cstddef>
#include <memory>

namespace caraway::net
{

class http_connection;

/// One request that awaits its answer. Lives in its worker's thread and is used only there, but the
/// last pointer may be dropped anywhere. Whoever drops the last pointer before the answer is
/// complete gives it up: the caller gets 500, or a connection broken off when the answer had begun.
///
/// An answer is `respond`, or `begin_stream`, any number of `write`, `end_stream`. Calls out of
/// that order, and calls after the caller has gone, do nothing.
class http_exchange : public QObject, public std::enable_shared_from_this<http_exchange>
{
    Q_OBJECT

public:
    ~http_exchange() override;

    const http_request& request() const;

    /// Sends the whole answer.
    void respond(const http_response& response);

    /// Sends status and headers; the body follows in chunks, or ends with the connection where the
    /// caller speaks HTTP/1.0.
    void begin_stream(int status, const std::vector<http_header>& headers);
    /// Sends a piece of the body. Never waits: a piece that the caller does not take yet is held in
    /// memory and counted by unsent_bytes.
    void write(const QByteArray& data);
    /// Ends the body properly.
    void end_stream();

    /// Breaks the connection off so that what was sent never looks complete.
    void abort();

    /// What was written and not yet taken by the kernel.
    std::size_t unsent_bytes() const;
    /// Whether the answer has begun.
    bool answered() const;
    /// Whether the answer has been given completely, was broken off, or the caller has gone.
    bool ended() const;

Q_SIGNALS:
    /// The connection was lost before the answer was completely given. Emitted once at most.
    void caller_gone();
    /// unsent_bytes fell below the low-water mark (64 KiB) after having been above it.
    void drained();

private:
    friend class http_connection;
    enum class state
    {
        waiting,
        streaming,
        ended,
    };

    http_exchange(http_request request, http_connection& connection);
    static std::shared_ptr<http_exchange> create(http_request request, http_connection& connection);
    void lose_caller();

    http_request request_;
    /// Null once ended.
    http_connection* connection_;
    state state_ = state::waiting;
    bool answered_ = false;
};

}  // namespace caraway::net
