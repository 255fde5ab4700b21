#include "caraway_load/calls/closed_loop.hpp"

#include <QEventLoop>

namespace caraway_load::calls
{

namespace
{

using clock = caraway::base::time_point::clock;

constexpr int status_ok = 200;

/// All callers of one loop; lives on its thread.
class loop
{
public:
    explicit loop(const closed_loop_options& options) : options_(options) {}

    closed_loop_result run()
    {
        const auto begun = clock::now();
        end_ = begun + options_.length;
        for (std::uint32_t i = 0; i < options_.callers; ++i)
        {
            ++running_;
            send();
        }
        events_.exec();
        result_.seconds = std::chrono::duration<double>(clock::now() - begun).count();
        connections_.clear();
        return std::move(result_);
    }

private:
    void send()
    {
        const auto sent = clock::now();
        if (sent >= end_)
        {
            if (--running_ == 0)
            {
                events_.quit();
            }
            return;
        }
        auto first = std::make_shared<bool>(true);
        connections_.take(options_.where)
            .send(options_.request, {.part =
                                         [this, sent, first](const auto&, const QByteArray&)
                                     {
                                         if (std::exchange(*first, false))
                                         {
                                             result_.first_byte_s.push_back(since(sent));
                                         }
                                     },
                                     .whole =
                                         [this, sent](const response_reader& head)
                                     {
                                         head.status() == status_ok
                                             ? result_.answer_s.push_back(since(sent))
                                             : static_cast<void>(++result_.failed);
                                         send();
                                     },
                                     .broken =
                                         [this](bool)
                                     {
                                         ++result_.failed;
                                         send();
                                     }});
    }

    static double since(caraway::base::time_point then)
    {
        return std::chrono::duration<double>(clock::now() - then).count();
    }

    const closed_loop_options& options_;
    connection_pool connections_;
    QEventLoop events_;
    caraway::base::time_point end_;
    std::uint32_t running_ = 0;
    closed_loop_result result_;
};

}  // namespace

closed_loop_result run_closed_loop(const closed_loop_options& options)
{
    closed_loop_result result;
    const std::unique_ptr<QThread> thread(
        QThread::create([&options, &result] { result = loop(options).run(); }));
    thread->start();
    thread->wait();
    return result;
}

}  // namespace caraway_load::calls
