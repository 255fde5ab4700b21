#include "carawayd/options.hpp"

#include <CLI/CLI.hpp>

#include <iostream>
#include <map>

namespace carawayd
{

namespace
{

const std::map<std::string, caraway::scheduling::policy> policies = {
    {"full", caraway::scheduling::policy::full},
    {"local-only", caraway::scheduling::policy::local_only},
    {"shared-counters", caraway::scheduling::policy::shared_counters},
    {"single-scheduler", caraway::scheduling::policy::single_scheduler},
};

constexpr const char* examples = R"(Examples:
  carawayd /etc/carawaycroft/settings.json
  carawayd --check settings.json
  carawayd settings.json --set /ports/callers=9000 --set /log/level=debug)";

}  // namespace

command_line read_command_line(int argc, char** argv)
{
    command_line read;
    std::vector<std::string> overrides;
    CLI::App app("The router daemon of carawaycroft.", "carawayd");
    app.footer(examples);
    app.set_version_flag("--version", std::string("carawayd ") + CARAWAY_VERSION);
    app.add_option("settings", read.settings_file, "The settings of this process, a JSON file.")
        ->required();
    app.add_option("--set", overrides,
                   "Overrides one setting: a JSON pointer, '=', a JSON value. Repeatable.");
    app.add_flag("--check", read.check_only, "Only check the settings.");
    app.add_option("--policy", read.policy,
                   "How slots are shared out; anything but full is for measurements.")
        ->transform(CLI::CheckedTransformer(policies, CLI::ignore_case));
    app.add_flag("--allow-faults", read.allow_faults,
                 "Lets operators cut this router off from its peers; for tests only.");
    try
    {
        app.parse(argc, argv);
    }
    catch (const CLI::ParseError& error)
    {
        read.end_now = true;
        read.status = app.exit(error) == 0 ? 0 : 2;
        return read;
    }
    for (const std::string& text : overrides)
    {
        const auto parsed = caraway::config::parse_override(text);
        if (!parsed)
        {
            std::cerr << "--set " << text
                      << ": POINTER=VALUE is expected, as in /log/level=debug.\n";
            read.end_now = true;
            read.status = 2;
            return read;
        }
        read.overrides.push_back(*parsed);
    }
    return read;
}

}  // namespace carawayd
