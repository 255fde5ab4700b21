#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QByteArray>
#include <QTcpServer>

#include <functional>
#include <optional>
#include <set>
#include <vector>

class QTcpSocket;

namespace caraway::tests
{

/// Runs the event loop until the condition holds; false if it doesn't within a generous bound.
bool wait_until(const std::function<bool()>& condition);

/// Runs an asynchronous operation to its end.
template <class T>
base::result<T> await(const std::function<void(net::platform_callback<T>)>& operation)
{
    std::optional<base::result<T>> outcome;
    operation([&outcome](base::result<T> value) { outcome = std::move(value); });
    if (!wait_until([&outcome] { return outcome.has_value(); }))
    {
        return base::make_error(base::errc::internal, "no callback came");
    }
    return std::move(*outcome);
}

/// A server that breaks off, stays silent or answers by script, and counts what reaches it.
class faulty_server : public QTcpServer
{
public:
    enum class behaviour
    {
        answer,
        silent,               ///< Reads and never answers.
        close_after_reading,  ///< Reads a whole request, then closes without an answer.
        cut_answer,           ///< Closes in the middle of the answer's body.
        raw_answer,           ///< Sends `raw` as it is, then closes.
    };

    faulty_server();

    QUrl endpoint() const;
    /// Connections open now are read and never answered again; new ones work.
    void silence_open_connections();

    behaviour mode = behaviour::answer;
    int status = 200;
    QByteArray body = "{}";
    QByteArray raw;
    /// Bodies of the requests that came whole.
    std::vector<QByteArray> requests;

private:
    void accept_connection();
    void read(QTcpSocket& socket, QByteArray& buffer);
    void respond(QTcpSocket& socket);

    std::set<const QTcpSocket*> open_;
    std::set<const QTcpSocket*> silenced_;
};

/// Options with short timeouts, so that a test of a silent platform ends soon.
net::platform_client_options quick_options(const QUrl& endpoint);

}  // namespace caraway::tests
