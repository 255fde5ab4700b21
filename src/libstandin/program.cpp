#include "libstandin/program.hpp"

#include "libstandin/http_server.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QSocketNotifier>

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>

namespace standin
{

namespace
{

/// A descriptor that becomes readable at SIGTERM or SIGINT.
int stop_signals()
{
    ::sigset_t stops;
    ::sigemptyset(&stops);
    ::sigaddset(&stops, SIGTERM);
    ::sigaddset(&stops, SIGINT);
    ::sigprocmask(SIG_BLOCK, &stops, nullptr);
    return ::signalfd(-1, &stops, SFD_CLOEXEC | SFD_NONBLOCK);
}

}  // namespace

void add_listen_options(CLI::App& app, listen_options& options)
{
    app.add_option("--address", options.address, "IP address to listen on")->capture_default_str();
    app.add_option("--port", options.port, "port to listen on, 0 for any free one")
        ->capture_default_str();
}

int serve(http_server& server, const listen_options& options)
{
    if (!server.start(QHostAddress(QString::fromStdString(options.address)), options.port))
    {
        std::fprintf(stderr, "cannot listen on %s:%u\n", options.address.c_str(),
                     unsigned{options.port});
        return 1;
    }
    const int descriptor = stop_signals();
    QSocketNotifier stops(descriptor, QSocketNotifier::Read);
    QObject::connect(&stops, &QSocketNotifier::activated, qApp, &QCoreApplication::quit);
    std::printf("listening %s:%u\n", qPrintable(server.address().toString()),
                unsigned{server.port()});
    std::fflush(stdout);
    const int code = QCoreApplication::exec();
    ::close(descriptor);
    return code;
}

}  // namespace standin
