#pragma once

#include "carawayctl/config_commands.hpp"
#include "carawayctl/exit_code.hpp"

#include <CLI/App.hpp>

#include <functional>
#include <string>
#include <vector>

namespace caraway::ctl
{

/// The options that every command takes, as written.
struct global_options
{
    std::vector<std::string> routers{"127.0.0.1"};
    std::string key_file;
    bool json = false;
    double timeout_seconds = 10;
};

/// The command line: what may be written on it, and what was.
class command_line
{
public:
    command_line();

    /// Runs the command that is written. Says what is wrong with it on standard error.
    exit_code run(int argc, const char* const* argv);

private:
    using action = std::function<exit_code(const session&)>;

    void add_global_options();
    void add_fleet_commands();
    void add_key_commands();
    void add_config_commands();
    void add_config_reading(CLI::App& group);
    void add_config_changing(CLI::App& group);
    CLI::App* add(CLI::App& parent, const std::string& name, const std::string& help, action run);

    CLI::App app_;
    action chosen_;
    global_options global_;
    std::string folder_;
    std::string request_;
    std::string version_;
    diff_options diff_;
    propose_options propose_;
    approve_options approve_;
    reject_options reject_;
};

}  // namespace caraway::ctl
