#pragma once

#include "libstandin/connection.hpp"
#include "libstandin/http_request.hpp"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace standin
{

/// A whole answer.
struct answer
{
    int status = 200;
    QByteArray content_type = "application/json";
    std::vector<std::pair<QByteArray, QByteArray>> headers = {};
    QByteArray body = {};
};

/// One request and its answer, whole or streamed. After the last word was written or the peer has
/// gone, all that writes does nothing.
class exchange
{
public:
    exchange(std::shared_ptr<connection> link, http_request request);

    const http_request& request() const;
    bool open() const;
    bool is_on(const connection& link) const;

    void respond(const answer& whole);
    /// Promises the whole body, sends the first half and closes.
    void respond_cut(const answer& whole);

    void begin_stream(int status, const QByteArray& content_type);
    void write_chunk(const QByteArray& data);
    void end_stream();

    /// Ends the connection without a further byte.
    void close();
    void reset();

    /// Keeps back all that is written from now on until the time is over.
    void hold(std::chrono::milliseconds time);

    /// Called when the peer goes away before the answer has ended.
    void set_on_abandoned(std::function<void()> call);
    void abandon();

private:
    QByteArray head(const answer& whole, bool chunked) const;
    void write(const QByteArray& bytes);
    void finish(ending how);
    void release();

    std::shared_ptr<connection> link_;
    http_request request_;
    std::function<void()> on_abandoned_;
    bool over_ = false;
    bool held_ = false;
    QByteArray held_bytes_;
    std::optional<ending> held_ending_;
};

}  // namespace standin
