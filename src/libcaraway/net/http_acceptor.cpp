#include "libcaraway/net/http_acceptor.hpp"

#include "libcaraway/net/http_worker.hpp"

#include <QHostAddress>
#include <QTcpServer>
#include <QTimer>

#include <utility>

namespace caraway::net
{

namespace
{

constexpr int backlog = 1024;
constexpr std::chrono::milliseconds accept_pause{100};

}  // namespace

class http_acceptor::listener : public QTcpServer
{
public:
    explicit listener(std::vector<http_worker*> workers) : workers_(std::move(workers))
    {
        setListenBacklogSize(backlog);
        // Out of descriptors, Qt stops accepting for good; they come back when connections end.
        connect(this, &QTcpServer::acceptError, this,
                [this] { QTimer::singleShot(accept_pause, this, [this] { resumeAccepting(); }); });
    }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        http_worker* const worker = workers_[next_++ % workers_.size()];
        QMetaObject::invokeMethod(
            worker, [worker, descriptor] { worker->adopt(descriptor); }, Qt::QueuedConnection);
    }

private:
    std::vector<http_worker*> workers_;
    std::size_t next_ = 0;
};

http_acceptor::http_acceptor(std::vector<http_worker*> workers, QObject* parent)
    : QObject(parent), listener_(std::make_unique<listener>(std::move(workers)))
{
    // As a child it follows into another thread.
    listener_->setParent(this);
}

http_acceptor::~http_acceptor() = default;

base::result<void> http_acceptor::listen(const std::string& address, std::uint16_t port)
{
    const QHostAddress host(QString::fromStdString(address));
    if (host.isNull())
    {
        return base::make_error(base::errc::invalid_argument, "'" + address + "' is no IP address");
    }
    if (!listener_->listen(host, port))
    {
        return base::make_error(base::errc::unavailable,
                                "can't listen on " + address + ":" + std::to_string(port) + ": " +
                                    listener_->errorString().toStdString());
    }
    return base::success();
}

std::uint16_t http_acceptor::port() const
{
    return listener_->serverPort();
}

void http_acceptor::close()
{
    listener_->close();
}

}  // namespace caraway::net
