#pragma once

#include "libcaraway/routing/upstream_directory.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace client_tests
{

struct router_ports
{
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t control = 0;
    std::uint16_t directory = 0;
    std::uint16_t datagrams = 0;

    std::vector<std::uint16_t> listening() const
    {
        return {callers, readiness, control, directory};
    }
};

/// The router program as a process of its own, with settings in a temporary folder.
class router_process
{
public:
    /// `memory_mb` and `max_descriptors` are the limits that the settings state.
    router_process(const caraway::routing::endpoint& store, std::size_t memory_mb,
                   std::size_t max_descriptors);
    ~router_process();

    const router_ports& ports() const
    {
        return ports_;
    }
    bool is_running();
    /// What `waitpid` said of the end: 0 after an orderly one.
    int exit_status() const
    {
        return exit_status_;
    }
    void send_signal(int number);
    /// Bytes: the largest resident size so far, and what it is now.
    std::size_t peak_memory() const;
    std::size_t memory() const;
    /// Bytes that the kernel has received for the process and that it hasn't read.
    std::size_t unread_bytes() const;
    std::size_t descriptors() const;
    /// What the process has written.
    std::string log() const;

private:
    std::size_t status_bytes(const std::string& name) const;

    router_ports ports_;
    std::string folder_;
    pid_t pid_ = -1;
    int exit_status_ = 0;
};

}  // namespace client_tests
