#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/net/http_limits.hpp"
#include "libcaraway/net/http_message.hpp"
#include "libcaraway/net/http_response_head.hpp"
#include "libcaraway/net/http_worker.hpp"
#include "libcaraway/net/request_framing.hpp"

#include <QObject>

#include <cstddef>
#include <optional>
#include <string>

class QTcpSocket;

namespace caraway::net
{

class http_exchange;
class http_filtered_socket;

/// What the connections of one worker share.
struct http_worker_state
{
    http_limits limits;
    http_handler handler;
    bool closing = false;
    std::size_t exchanges = 0;
};

/// One caller's connection: reads requests one after the other, has each checked and parsed, hands
/// it on, writes its answer. It takes no byte of the next request before the answer is complete, so
/// that answers can't mix; what a caller sends ahead waits in the kernel. Deletes itself once
/// closed.
class http_connection : public QObject
{
    Q_OBJECT

public:
    http_connection(http_worker_state& worker, QTcpSocket* socket, QObject* parent);
    ~http_connection() override;

    /// What Qt's HTTP server must be given as this connection.
    http_filtered_socket& filtered_socket();

    /// From Qt's HTTP server: the request as parsed, but for its request line.
    void take_parsed(std::vector<http_header> headers, QByteArray body);
    /// From Qt's HTTP server: it won't go on with this connection.
    void parser_refused();

    /// Answers with an error and closes, in a way that lets the caller read the answer.
    void refuse(int status, std::string_view code, std::string_view message);
    /// Acts on the timeouts that have passed.
    void check_deadlines(base::time_point now);
    /// Closes now if no request has begun and an earlier one was answered. A connection just made
    /// is about to carry a request, which shall not be cut.
    void close_if_idle();

    // For the exchange in progress.

    void send_whole(const http_response& response);
    void send_head(int status, const std::vector<http_header>& headers);
    void send_piece(const QByteArray& data);
    void send_end();
    /// Resets the connection.
    void break_off();
    /// Nobody will complete the answer.
    void give_up(bool answer_begun);
    std::size_t unsent_bytes() const;

Q_SIGNALS:
    void closed();

private:
    enum class phase
    {
        receiving,  ///< Waiting for, or in the midst of, a request.
        answering,  ///< A request is with the handler.
        lingering,  ///< The last answer is written; whatever still comes is thrown away.
        closed,
    };

    void on_ready_read();
    void read_requests();
    void read_some();
    void send_continue_if_awaited();
    void begin_exchange();
    void end_exchange();
    void linger_and_close();
    void send(const QByteArray& data);
    void on_bytes_written();
    void on_disconnected();
    answer_form form_of_answer();

    http_worker_state& worker_;
    QTcpSocket* socket_;
    http_filtered_socket* filtered_;
    request_framing framing_;
    phase phase_ = phase::receiving;
    std::string peer_;
    /// Read from the socket and not yet looked at.
    QByteArray input_;
    bool is_reading_ = false;
    bool continue_sent_ = false;
    std::optional<http_request> parsed_;
    http_exchange* exchange_ = nullptr;
    answer_form form_;
    bool body_suppressed_ = false;
    bool above_low_water_ = false;
    bool write_shut_ = false;
    bool served_ = false;
    base::time_point last_input_;
    base::time_point request_began_;
    base::time_point last_output_;
    base::time_point linger_began_;
};

}  // namespace caraway::net
