#include "libfleet/process.hpp"

#include <QElapsedTimer>

#include <csignal>
#include <utility>

namespace fleet
{

using caraway::base::errc;
using caraway::base::make_error;

namespace
{

constexpr int start_patience_ms = 20000;
constexpr int end_patience_ms = 20000;
constexpr const char* announcement = "listening ";

}  // namespace

process::process(QString program, QStringList arguments, QString log_file)
    : program_(std::move(program)), arguments_(std::move(arguments)), log_file_(std::move(log_file))
{
}

process::~process()
{
    kill();
}

caraway::base::result<std::uint16_t> process::start(bool announces_port)
{
    process_ = std::make_unique<QProcess>();
    process_->setStandardErrorFile(log_file_, QIODevice::Append);
    process_->start(program_, arguments_);
    if (!process_->waitForStarted(start_patience_ms))
    {
        return make_error(errc::unavailable,
                          (program_ + ": " + process_->errorString()).toStdString());
    }
    if (!announces_port)
    {
        return std::uint16_t{0};
    }
    QElapsedTimer waited;
    waited.start();
    while (!process_->canReadLine() && running() && waited.elapsed() < start_patience_ms)
    {
        process_->waitForReadyRead(100);
    }
    const QString line = QString::fromUtf8(process_->readLine()).trimmed();
    if (!line.startsWith(announcement))
    {
        return make_error(errc::unavailable,
                          (program_ + " did not say where it listens.").toStdString());
    }
    return static_cast<std::uint16_t>(line.section(':', -1).toUInt());
}

bool process::signal(int number) const
{
    return running() && ::kill(static_cast<pid_t>(pid()), number) == 0;
}

void process::kill()
{
    if (!process_)
    {
        return;
    }
    // A stopped process takes SIGKILL too.
    process_->kill();
    process_->waitForFinished(end_patience_ms);
}

bool process::terminate(std::chrono::milliseconds patience)
{
    if (!running())
    {
        return false;
    }
    process_->terminate();
    return process_->waitForFinished(static_cast<int>(patience.count())) &&
           process_->exitStatus() == QProcess::NormalExit && process_->exitCode() == 0;
}

bool process::running() const
{
    if (!process_)
    {
        return false;
    }
    // Without an event loop QProcess learns of the end only when it is asked to wait for it.
    process_->waitForFinished(0);
    return process_->state() == QProcess::Running;
}

qint64 process::pid() const
{
    return process_ ? process_->processId() : 0;
}

const QString& process::log_file() const
{
    return log_file_;
}

}  // namespace fleet
