#include "router_process.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <signal.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

namespace client_tests
{

namespace
{

using nlohmann::json;
using tcp = boost::asio::ip::tcp;

constexpr std::size_t kilobyte = 1024;

router_ports free_ports()
{
    boost::asio::io_context loop;
    std::vector<tcp::acceptor> taken;
    const auto next = [&]
    {
        taken.emplace_back(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        return taken.back().local_endpoint().port();
    };
    router_ports ports;
    for (auto* port :
         {&ports.callers, &ports.readiness, &ports.control, &ports.directory, &ports.datagrams})
    {
        *port = next();
    }
    return ports;
}

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

json settings_json(const router_ports& ports, const caraway::routing::endpoint& store,
                   std::size_t memory_mb, std::size_t max_descriptors)
{
    return {{"node_name", "r1"},
            {"zone", "z1"},
            {"ip", "127.0.0.1"},
            {"internal_port_range", {ports.datagrams, ports.datagrams}},
            {"seeds", json::array()},
            {"bootstrap", true},
            {"zones", {{"z1", "region"}}},
            {"listen",
             {{"frontend", local(ports.callers)},
              {"readiness", local(ports.readiness)},
              {"control_plane", local(ports.control)},
              {"directory", local(ports.directory)}}},
            {"limits",
             {{"cpu_share", 1.0},
              {"cpu_cores", 1},
              {"memory_mb", memory_mb},
              {"max_fds", max_descriptors}}},
            {"bounds", {{"retry_budget_ratio", 0.2}, {"retry_budget_slack", 50}, {"grace_s", 8}}},
            {"platform", {{"address", local(store.port)}}}};
}

}  // namespace

router_process::router_process(const caraway::routing::endpoint& store, std::size_t memory_mb,
                               std::size_t max_descriptors)
    : ports_(free_ports())
{
    auto pattern = (std::filesystem::temp_directory_path() / "router-XXXXXX").string();
    folder_ = ::mkdtemp(pattern.data());
    const auto settings = folder_ + "/settings.json";
    std::ofstream(settings) << settings_json(ports_, store, memory_mb, max_descriptors);
    const auto output = folder_ + "/log";
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    ::posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::string program = CARAWAY_BIN_DIR "/caraway-router";
    std::string flag = "--settings";
    auto file = settings;
    std::array<char*, 4> arguments{program.data(), flag.data(), file.data(), nullptr};
    if (::posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(), environ) != 0)
    {
        pid_ = -1;
    }
    ::posix_spawn_file_actions_destroy(&actions);
}

router_process::~router_process()
{
    if (pid_ > 0)
    {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

bool router_process::is_running()
{
    if (pid_ > 0 && ::waitpid(pid_, &exit_status_, WNOHANG) == pid_)
    {
        pid_ = -1;
    }
    return pid_ > 0;
}

void router_process::send_signal(int number)
{
    if (is_running())
    {
        ::kill(pid_, number);
    }
}

std::size_t router_process::status_bytes(const std::string& name) const
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(status, line))
    {
        if (line.starts_with(name))
        {
            return std::stoul(line.substr(name.size())) * kilobyte;
        }
    }
    return 0;
}

std::size_t router_process::peak_memory() const
{
    return status_bytes("VmHWM:");
}

std::size_t router_process::memory() const
{
    return status_bytes("VmRSS:");
}

std::size_t router_process::unread_bytes() const
{
    // Columns: number, local address, remote address, state, unsent:unread, all in hexadecimal.
    constexpr int hexadecimal = 16;
    const std::string listening = "0A";
    const auto ports = ports_.listening();
    std::ifstream table("/proc/" + std::to_string(pid_) + "/net/tcp");
    std::string line;
    std::getline(table, line);
    std::size_t bytes = 0;
    while (std::getline(table, line))
    {
        std::istringstream columns(line);
        std::string number;
        std::string address;
        std::string remote;
        std::string state;
        std::string queues;
        columns >> number >> address >> remote >> state >> queues;
        const auto port = std::stoul(address.substr(address.find(':') + 1), nullptr, hexadecimal);
        const bool is_ours = std::find(ports.begin(), ports.end(), port) != ports.end();
        if (is_ours && state != listening)
        {
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
        }
    }
    return bytes;
}

std::size_t router_process::descriptors() const
{
    std::error_code error;
    const auto folder = "/proc/" + std::to_string(pid_) + "/fd";
    const std::filesystem::directory_iterator entries(folder, error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

std::string router_process::log() const
{
    std::ostringstream text;
    text << std::ifstream(folder_ + "/log").rdbuf();
    return text.str();
}

}  // namespace client_tests
