#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/net/http_message.hpp"

#include <QObject>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caraway::net
{

class http_attempt;
class http_client;
class http_client_pool;

struct client_timeouts
{
    /// Until the upstream has accepted a connection.
    std::chrono::milliseconds connect{2'000};
    /// From the request being sent to the first byte of the answer's header.
    std::chrono::milliseconds first_byte{60'000};
    /// Between two pieces of the answer, while it isn't paused.
    std::chrono::milliseconds idle{30'000};
};

/// A request to an upstream. Host is an IP address. Content-Length and whatever concerns one
/// connection only (Connection, Transfer-Encoding, Expect, ...) are set on sending, and left out of
/// the headers given. Fields of the same name are joined by commas.
struct client_request
{
    std::string method = "GET";
    std::string host{};
    std::uint16_t port = 0;
    std::string target = "/";
    std::vector<http_header> headers{};
    QByteArray body{};
    client_timeouts timeouts{};
    /// Lets the call use a connection kept from an earlier call. An upstream that closes such a
    /// connection just then ends the call with `sent`, so leave it off where that would be costly.
    bool reuse_connection = false;
};

/// What is known of how far a call came.
enum class delivery
{
    nothing_sent,  ///< Provably not a byte of it reached the upstream.
    sent,          ///< Some or all of it may have.
};

/// How a call ended.
struct call_end
{
    /// The answer's framing ended properly, so the whole of it was passed on.
    bool whole = false;
    /// 0 when no header of an answer came. A status says nothing about `whole`.
    int status = 0;
    delivery sent = delivery::nothing_sent;
    /// Why it isn't whole: invalid_argument or unavailable when nothing was sent, else
    /// unknown_effect.
    base::error error{};
};

/// One attempt at one upstream. It is never sent again by itself and follows no redirect. Lives in
/// its client's thread. Dropping the last pointer aborts it without further signals.
class http_call : public QObject
{
    Q_OBJECT

public:
    ~http_call() override;

    /// Closes the connection to the upstream. `ended` follows from the event loop.
    void abort();
    /// While paused no `data` is emitted and the upstream is slowed down by TCP; the idle timeout
    /// stands still.
    void set_paused(bool paused);

Q_SIGNALS:
    /// Status and headers of the answer, before any data.
    void head(int status, std::vector<caraway::net::http_header> headers);
    void data(QByteArray bytes);
    /// Exactly once, last, always from the event loop.
    void ended(caraway::net::call_end end);

private:
    friend class http_client;
    friend class http_attempt;
    http_call();
    static std::shared_ptr<http_call> create(const std::shared_ptr<http_client_pool>& pool,
                                             client_request request);

    std::unique_ptr<http_attempt> attempt_;
};

}  // namespace caraway::net
