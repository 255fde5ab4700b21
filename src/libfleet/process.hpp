#pragma once

#include "libcaraway/base/error.hpp"

#include <QProcess>
#include <QString>
#include <QStringList>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace fleet
{

/// One process of a test fleet. Its standard error goes to a file. Ends with this object.
class process
{
public:
    process(QString program, QStringList arguments, QString log_file);
    ~process();
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /// Starts it; with `announces_port` waits for its line "listening ADDRESS:PORT" and gives back
    /// the port.
    caraway::base::result<std::uint16_t> start(bool announces_port);
    /// Sends a signal; false if it isn't running.
    bool signal(int number) const;
    /// SIGKILL, and waits for the end.
    void kill();
    /// SIGTERM; whether it ended by itself with status 0 in time.
    bool terminate(std::chrono::milliseconds patience);
    bool running() const;
    qint64 pid() const;
    const QString& log_file() const;

private:
    QString program_;
    QStringList arguments_;
    QString log_file_;
    std::unique_ptr<QProcess> process_;
};

}  // namespace fleet
