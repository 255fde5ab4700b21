#include "caraway_load/calls/caller_thread.hpp"

#include <algorithm>
#include <utility>

namespace caraway_load::calls
{

/// Lives on the thread.
class caller_thread::work : public QObject
{
public:
    work(caller_thread_options options, std::vector<workload::arrival> arrivals,
         std::atomic<std::size_t>& unfinished)
        : options_(std::move(options)), arrivals_(std::move(arrivals)), unfinished_(unfinished)
    {
    }

    void begin()
    {
        connections_ = std::make_unique<connection_pool>();
        directory_ = std::make_unique<router_directory>(options_.routers, *connections_);
        timer_ = std::make_unique<QTimer>();
        timer_->setSingleShot(true);
        timer_->setTimerType(Qt::PreciseTimer);
        connect(timer_.get(), &QTimer::timeout, this, [this] { make_due(); });
        make_due();
    }

    std::vector<call_record> end()
    {
        timer_.reset();
        std::vector<call_record> records;
        records.reserve(callers_.size());
        for (const auto& one : callers_)
        {
            one->stop();
            records.push_back(one->record());
        }
        connections_->clear();
        callers_.clear();
        directory_.reset();
        connections_.reset();
        return records;
    }

private:
    void make_due()
    {
        const auto now = caraway::base::time_point::clock::now();
        while (next_ < arrivals_.size() && due(arrivals_[next_]) <= now)
        {
            const caller_context context{.load = options_.load,
                                         .keys = options_.keys,
                                         .start = options_.start,
                                         .connections = *connections_,
                                         .directory = *directory_};
            callers_.push_back(
                std::make_unique<caller>(context, arrivals_[next_], [this] { --unfinished_; }));
            ++next_;
            callers_.back()->start();
        }
        if (next_ < arrivals_.size())
        {
            timer_->start(std::chrono::ceil<std::chrono::milliseconds>(
                std::max(due(arrivals_[next_]) - now, caraway::base::duration::zero())));
        }
    }

    caraway::base::time_point due(const workload::arrival& one) const
    {
        return options_.start + std::chrono::duration_cast<caraway::base::duration>(
                                    std::chrono::duration<double>(one.at_s));
    }

    caller_thread_options options_;
    std::vector<workload::arrival> arrivals_;
    std::atomic<std::size_t>& unfinished_;
    std::unique_ptr<connection_pool> connections_;
    std::unique_ptr<router_directory> directory_;
    std::unique_ptr<QTimer> timer_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::size_t next_ = 0;
};

caller_thread::caller_thread(caller_thread_options options, std::vector<workload::arrival> arrivals)
    : unfinished_(arrivals.size())
{
    work_ = std::make_unique<work>(std::move(options), std::move(arrivals), unfinished_);
    work_->moveToThread(&thread_);
}

caller_thread::~caller_thread()
{
    thread_.quit();
    thread_.wait();
}

void caller_thread::start()
{
    thread_.setObjectName("callers");
    thread_.start();
    QMetaObject::invokeMethod(
        work_.get(), [this] { work_->begin(); }, Qt::QueuedConnection);
}

std::size_t caller_thread::unfinished() const
{
    return unfinished_;
}

std::vector<call_record> caller_thread::finish()
{
    std::vector<call_record> records;
    QMetaObject::invokeMethod(
        work_.get(), [this, &records] { records = work_->end(); }, Qt::BlockingQueuedConnection);
    thread_.quit();
    thread_.wait();
    return records;
}

}  // namespace caraway_load::calls
