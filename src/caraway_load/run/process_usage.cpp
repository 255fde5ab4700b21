#include "caraway_load/run/process_usage.hpp"

#include <QDir>
#include <QFile>

#include <unistd.h>

namespace caraway_load::run
{

namespace
{

QByteArray content(const QString& name)
{
    QFile file(name);
    return file.open(QIODevice::ReadOnly) ? file.readAll() : QByteArray();
}

/// User and system time of a `stat` file. Its second field, a name, may hold spaces.
double cpu_seconds(const QByteArray& stat)
{
    constexpr int user_time = 11;
    constexpr int system_time = 12;
    const QList<QByteArray> fields = stat.mid(stat.lastIndexOf(')') + 2).split(' ');
    if (fields.size() <= system_time)
    {
        return 0;
    }
    const double ticks = fields[user_time].toDouble() + fields[system_time].toDouble();
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double kilobytes(const QByteArray& status, const QByteArray& field)
{
    const qsizetype at = status.indexOf(field);
    if (at < 0)
    {
        return 0;
    }
    const qsizetype begin = at + field.size();
    return status.mid(begin, status.indexOf('\n', begin) - begin)
        .simplified()
        .split(' ')[0]
        .toDouble();
}

}  // namespace

process_usage usage_of(qint64 pid)
{
    const QString folder = QString("/proc/%1/").arg(pid);
    const QByteArray status = content(folder + "status");
    process_usage usage{.cpu_s = cpu_seconds(content(folder + "stat")),
                        .resident_kb = kilobytes(status, "VmRSS:"),
                        .peak_resident_kb = kilobytes(status, "VmHWM:")};
    const QDir threads(folder + "task");
    for (const QString& thread : threads.entryList(QDir::Dirs | QDir::NoDotAndDotDot))
    {
        const QString own = folder + "task/" + thread + '/';
        const double cpu = cpu_seconds(content(own + "stat"));
        const bool is_main = thread.toLongLong() == pid;
        const std::string name = is_main ? "main" : content(own + "comm").trimmed().toStdString();
        usage.thread_cpu_s[name] += cpu;
        usage.main_thread_cpu_s += is_main ? cpu : 0;
    }
    return usage;
}

double own_cpu_s()
{
    return cpu_seconds(content("/proc/self/stat"));
}

double load_average()
{
    return content("/proc/loadavg").split(' ')[0].toDouble();
}

}  // namespace caraway_load::run
