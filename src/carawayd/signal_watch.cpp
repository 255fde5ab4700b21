#include "carawayd/signal_watch.hpp"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>
#include <utility>

namespace carawayd
{

signal_watch::signal_watch(std::function<void()> told_to_end)
{
    // Blocked before any thread exists, so that no thread is ever interrupted by them.
    sigset_t wanted;
    sigemptyset(&wanted);
    sigaddset(&wanted, SIGTERM);
    sigaddset(&wanted, SIGINT);
    pthread_sigmask(SIG_BLOCK, &wanted, nullptr);
    signal_fd_ = signalfd(-1, &wanted, SFD_NONBLOCK | SFD_CLOEXEC);
    notifier_ = std::make_unique<QSocketNotifier>(signal_fd_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(),
                     [this, callback = std::move(told_to_end)]
                     {
                         signalfd_siginfo ignored{};
                         while (read(signal_fd_, &ignored, sizeof ignored) > 0)
                         {
                             callback();
                         }
                     });
}

signal_watch::~signal_watch()
{
    notifier_.reset();
    close(signal_fd_);
}

}  // namespace carawayd
