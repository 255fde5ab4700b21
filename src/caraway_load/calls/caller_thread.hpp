#pragma once

#include "caraway_load/calls/caller.hpp"

#include <QObject>
#include <QThread>
#include <QTimer>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace caraway_load::calls
{

/// What the threads of callers are given.
struct caller_thread_options
{
    const workload::scenario& load;
    const std::vector<std::string>& keys;
    std::vector<target> routers;
    caraway::base::time_point start;
};

/// A thread that makes its part of the arrivals at their times.
class caller_thread
{
public:
    caller_thread(caller_thread_options options, std::vector<workload::arrival> arrivals);
    ~caller_thread();

    void start();
    /// Arrivals whose callers have no answer yet.
    std::size_t unfinished() const;
    /// Ends the thread and gives back what its callers saw.
    std::vector<call_record> finish();

private:
    class work;

    QThread thread_;
    std::unique_ptr<work> work_;
    std::atomic<std::size_t> unfinished_;
};

}  // namespace caraway_load::calls
