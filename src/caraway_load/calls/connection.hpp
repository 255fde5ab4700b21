#pragma once

#include "caraway_load/calls/response_reader.hpp"

#include <QByteArray>
#include <QObject>
#include <QTcpSocket>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace caraway_load::calls
{

/// Where something listens.
struct target
{
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const target&,
                            const target&) = default;  // NOLINT(modernize-use-nullptr)
};

/// What happens to a request on a connection.
struct answer_hooks
{
    /// A part of the body came, or the head alone.
    std::function<void(const response_reader& head, const QByteArray& body)> part;
    /// The answer is whole.
    std::function<void(const response_reader& head)> whole;
    /// The connection ended first, or carried no HTTP. `is_failure` is false where the server may
    /// have closed a kept connection just as it was used again: nothing of an answer came on it.
    std::function<void(bool is_failure)> broken;
};

/// A kept connection that carries one request at a time.
class connection : public QObject
{
public:
    explicit connection(const target& where);

    void send(const QByteArray& request, answer_hooks hooks);
    /// Idle and fit for another request.
    bool reusable() const;
    bool idle() const;
    const target& where() const;
    /// Ends it; hooks aren't called any more.
    void abandon();

private:
    void on_readable();
    void on_gone();
    void end_broken();

    target where_;
    QTcpSocket socket_;
    response_reader reader_;
    answer_hooks hooks_;
    bool busy_ = false;
    bool closed_ = false;
    int requests_ = 0;
};

}  // namespace caraway_load::calls
