#include "carawayd/daemon.hpp"
#include "carawayd/options.hpp"
#include "carawayd/signal_watch.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/config/daemon_settings.hpp"
#include "libcaraway/logging/logger.hpp"

#include <QCoreApplication>
#include <QFile>

#include <iostream>
#include <optional>

namespace
{

constexpr int status_bad_settings = 1;
constexpr qint64 largest_settings_file = 1 << 20;

std::optional<QByteArray> read_file(const std::string& name)
{
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly))
    {
        std::cerr << name << ": " << file.errorString().toStdString() << "\n";
        return std::nullopt;
    }
    return file.read(largest_settings_file);
}

/// The settings, or nothing after saying what is wrong with them.
std::optional<caraway::config::daemon_settings> load_settings(const carawayd::command_line& given)
{
    const auto bytes = read_file(given.settings_file);
    if (!bytes)
    {
        return std::nullopt;
    }
    const auto report =
        caraway::config::read_settings(given.settings_file, *bytes, given.overrides);
    std::cerr << caraway::config::to_text(report.found);
    return report.settings;
}

/// The key by which routers know each other, from the settings or from the file that they name.
std::optional<QByteArray> load_fleet_key(const caraway::config::fleet_key_settings& settings)
{
    if (settings.file.empty())
    {
        return QByteArray::fromStdString(settings.key);
    }
    const auto bytes = read_file(settings.file);
    if (!bytes || bytes->trimmed().isEmpty())
    {
        std::cerr << "/fleet_key/file: the file holds no key.\n";
        return std::nullopt;
    }
    return bytes->trimmed();
}

}  // namespace

int main(int argc, char** argv)
{
    const carawayd::command_line given = carawayd::read_command_line(argc, argv);
    if (given.end_now)
    {
        return given.status;
    }
    const auto settings = load_settings(given);
    if (!settings)
    {
        return status_bad_settings;
    }
    const auto fleet_key = load_fleet_key(settings->fleet_key);
    if (!fleet_key)
    {
        return status_bad_settings;
    }
    if (given.check_only)
    {
        std::cout << given.settings_file << ": the settings are good.\n";
        return 0;
    }
    const QCoreApplication application(argc, argv);
    const caraway::base::machine_clock clock;
    carawayd::daemon* running = nullptr;
    // First of all, since it blocks the signals for every thread that is created from here on.
    const carawayd::signal_watch signals(
        [&running]
        {
            if (running != nullptr)
            {
                running->drain();
            }
        });
    carawayd::daemon daemon({.settings = *settings,
                             .fleet_key = *fleet_key,
                             .policy = given.policy,
                             .allow_faults = given.allow_faults},
                            clock);
    running = &daemon;
    daemon.start();
    return QCoreApplication::exec();
}
