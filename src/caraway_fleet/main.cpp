#include "libfleet/fleet.hpp"
#include "libfleet/layout.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QThread>

#include <csignal>
#include <iostream>

namespace
{

volatile std::sig_atomic_t told_to_end = 0;

void on_signal(int)
{
    told_to_end = 1;
}

void print_addresses(const fleet::fleet& running)
{
    const auto line = [](const std::string& name, const fleet::address& where)
    {
        std::cout << "  " << name << "  http://" << where.host << ":" << where.port << "\n";
    };
    for (std::size_t i = 0; i < running.plan().routers; ++i)
    {
        const std::string name = "router-" + std::to_string(i + 1);
        line(name + " callers  ", running.router_callers(i));
        line(name + " operators", running.router_admin(i));
    }
    for (std::size_t i = 0; i < running.plan().engines.size(); ++i)
    {
        line(running.plan().engines[i].id, running.engine_address(i));
    }
    for (std::size_t i = 0; i < running.plan().services.size(); ++i)
    {
        line(running.plan().services[i].id, running.service_address(i));
    }
    line("platform", running.platform_address());
    for (const auto& workspace : running.plan().workspaces)
    {
        std::cout << "  key of workspace " << workspace.id << ": "
                  << running.workspace_key(workspace.id) << "\n";
    }
    std::cout << "  operators' keys: " << running.operator_key("proposer") << ", "
              << running.operator_key("approver") << "\n  logs and settings in "
              << running.folder().toStdString() << "\n";
}

}  // namespace

/// Starts a whole fleet on loopback addresses and keeps it until it is told to end.
int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    CLI::App app("Starts a whole fleet of routers and stand-ins on this machine.", "caraway-fleet");
    fleet::layout plan = fleet::small_layout(QCoreApplication::applicationDirPath());
    app.add_option("--routers", plan.routers, "How many routers.")->check(CLI::Range(1, 64));
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGINT, on_signal);
    std::signal(SIGTERM, on_signal);
    fleet::fleet running(plan);
    const auto started = running.start();
    if (!started)
    {
        std::cerr << "The fleet did not start: " << started.error().message << "\n";
        return 1;
    }
    print_addresses(running);
    const auto folder = running.write_configuration_folder();
    if (!folder)
    {
        std::cerr << folder.error().message << "\n";
        return 1;
    }
    std::cout << "  configuration folder: " << folder.value().toStdString() << "\n";
    std::cout << "ready" << std::endl;
    while (told_to_end == 0)
    {
        QThread::msleep(100);
    }
    return 0;
}
