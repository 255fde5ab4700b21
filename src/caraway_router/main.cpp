#include "libcaraway/router/daemon.hpp"

#include "platform/adapter.hpp"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <malloc.h>

namespace
{

using namespace caraway;

/// Monotonic clock that, unlike the steady clock, includes time for which the VM was suspended, so
/// that leases and known state expire by their real age.
class boot_clock final : public base::clock
{
public:
    base::time_point now() const override
    {
        timespec time{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return base::time_point(std::chrono::seconds(time.tv_sec) +
                                std::chrono::nanoseconds(time.tv_nsec));
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// Large blocks, as of bodies, go back to the system as soon as they are freed. By default the
/// allocator keeps more the larger they were.
void set_up_allocator()
{
    constexpr int smallest_block_of_its_own = 131072;
    constexpr int most_kept_free = 4194304;
    ::mallopt(M_MMAP_THRESHOLD, smallest_block_of_its_own);
    ::mallopt(M_TRIM_THRESHOLD, most_kept_free);
}

int run(const router::settings& settings, const router::settings_source& read_settings)
{
    const boot_clock clock;
    boost::asio::io_context loop(1);
    telemetry::line_log log(clock, telemetry::standard_output());
    http::timer_queue store_timers(loop, clock);
    router::daemon daemon(loop, clock, settings, platform::caller_protocol(),
                          platform::make_port(loop, store_timers, settings.store), log,
                          read_settings);
    if (const auto started = daemon.start(); !started)
    {
        std::cerr << started.error().message << "\n";
        return 1;
    }
    loop.run();
    log.flush();
    return 0;
}

}  // namespace

int main(int argc, char** argv)
{
    CLI::App app("A router of the fleet, on the users' platform.");
    std::string settings_file;
    std::uint16_t metrics_port = 0;
    app.add_option(
        "--settings", settings_file,
        "Settings file (JSON). Default: the file named by the platform's environment variable.");
    app.add_option("--metrics-port", metrics_port,
                   "Port that serves metrics; 0: only at the control address.");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    set_up_allocator();

    const auto path =
        settings_file.empty() ? platform::settings_path() : std::filesystem::path(settings_file);
    if (!path)
    {
        std::cerr << "No settings file: use --settings FILE.\n";
        return 2;
    }
    const auto read_settings = [&]
    {
        return platform::read_settings(*path);
    };
    auto settings = read_settings();
    if (!settings)
    {
        std::cerr << path->string() << ": " << settings.error().message << "\n";
        return 2;
    }
    if (metrics_port != 0)
    {
        settings.value().metrics = {.ip = settings.value().callers.ip, .port = metrics_port};
    }
    return run(settings.value(), read_settings);
}
