#pragma once

#include "libcaraway/net/http_limits.hpp"

#include <QObject>

#include <cstddef>
#include <functional>
#include <memory>

namespace caraway::net
{

class http_exchange;

/// Gets every request, in the worker's thread. Requests of one connection come one after the other,
/// the next when the former's answer is complete.
using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Serves connections in the thread it lives in. Only `adopt` may be called from elsewhere, as a
/// queued call.
class http_worker : public QObject
{
    Q_OBJECT

public:
    http_worker(http_limits limits, http_handler handler, QObject* parent = nullptr);
    ~http_worker() override;

    /// Takes over a connected socket and owns it from here on.
    Q_INVOKABLE void adopt(qintptr socket_descriptor);

    /// While closing, answers carry Connection: close, idle connections are closed at once, and
    /// busy ones after the answer in progress.
    void set_closing(bool closing);

    std::size_t connections() const;
    /// Requests handed to the handler whose answer is not complete.
    std::size_t exchanges() const;

private:
    class server;
    std::unique_ptr<server> server_;
};

}  // namespace caraway::net
