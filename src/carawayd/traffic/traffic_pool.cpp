#include "carawayd/traffic/traffic_pool.hpp"

#include "libcaraway/net/http_acceptor.hpp"

#include <QMetaObject>

#include <numeric>
#include <utility>

namespace carawayd::traffic
{

traffic_pool::traffic_pool(traffic_pool_options options, const traffic_context& context)
    : options_(std::move(options)), context_(context)
{
}

traffic_pool::~traffic_pool()
{
    stop();
}

caraway::base::result<void> traffic_pool::start()
{
    // The threads outlive a failed port: the supervisor comes back here until the port can be had.
    while (lanes_.size() < options_.threads)
    {
        open_lane();
    }
    std::vector<caraway::net::http_worker*> workers;
    for (const lane& one : lanes_)
    {
        workers.push_back(one.worker->http());
    }
    acceptor_ = std::make_unique<caraway::net::http_acceptor>(workers);
    return acceptor_->listen(options_.address, options_.port);
}

void traffic_pool::stop()
{
    acceptor_.reset();
    for (lane& one : lanes_)
    {
        QMetaObject::invokeMethod(
            one.worker.get(), [worker = one.worker.get()] { worker->close(); },
            Qt::BlockingQueuedConnection);
        one.thread->quit();
        one.thread->wait();
    }
    lanes_.clear();
}

void traffic_pool::close_entrance()
{
    if (acceptor_)
    {
        acceptor_->close();
    }
    for (lane& one : lanes_)
    {
        QMetaObject::invokeMethod(
            one.worker.get(), [worker = one.worker.get()] { worker->set_closing(true); },
            Qt::QueuedConnection);
    }
}

std::uint16_t traffic_pool::port() const
{
    return acceptor_ ? acceptor_->port() : 0;
}

std::size_t traffic_pool::sessions() const
{
    return std::accumulate(lanes_.begin(), lanes_.end(), std::size_t{0},
                           [](std::size_t sum, const lane& one)
                           { return sum + one.worker->sessions(); });
}

void traffic_pool::open_lane()
{
    lane added{.thread = std::make_unique<QThread>(),
               .worker = std::make_unique<traffic_worker>(context_)};
    added.thread->setObjectName(QString("traffic-%1").arg(lanes_.size()));
    added.worker->moveToThread(added.thread.get());
    added.thread->start();
    QMetaObject::invokeMethod(
        added.worker.get(), [worker = added.worker.get()] { worker->open(); },
        Qt::BlockingQueuedConnection);
    lanes_.push_back(std::move(added));
}

}  // namespace carawayd::traffic
