#pragma once

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace carawayd
{

/// Calls back in the event loop when the process is told to end (SIGTERM, SIGINT). One a process.
class signal_watch
{
public:
    explicit signal_watch(std::function<void()> told_to_end);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

private:
    int signal_fd_ = -1;
    std::unique_ptr<QSocketNotifier> notifier_;
};

}  // namespace carawayd
