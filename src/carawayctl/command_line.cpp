#include "carawayctl/command_line.hpp"

#include "carawayctl/fleet_commands.hpp"
#include "carawayctl/key_command.hpp"
#include "carawayctl/session_setup.hpp"

#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>

#include <iostream>
#include <utility>

namespace caraway::ctl
{

namespace
{

constexpr double shortest_timeout = 0.01;
constexpr double longest_timeout = 600;

constexpr const char* examples = R"(Examples:
  carawayctl --router 10.0.0.1:8081,10.0.1.1:8081 status
  carawayctl config check ./configuration
  carawayctl config diff ./configuration
  carawayctl config propose ./configuration --note "two more runners"
  carawayctl config approve 6f9c... --hash 41d0...
  carawayctl explain r1-18f2a-42 --json
  carawayctl --router 10.0.0.1:8081 drain

Exit status: 0 done, 1 refused, 2 wrong usage, 3 no router reached, 4 not
authorised, 5 not known whether it took effect. See carawayctl(1).)";

exit_code wrong_usage(const base::error& error)
{
    std::cerr << "carawayctl: " << error.message << '\n';
    return exit_code::usage;
}

}  // namespace

command_line::command_line() : app_("Operates a fleet of caraway routers.", "carawayctl")
{
    app_.set_version_flag("--version", "carawayctl " CARAWAY_VERSION);
    app_.footer(examples);
    app_.require_subcommand(1);
    app_.fallthrough();
    add_global_options();
    add_fleet_commands();
    add_config_commands();
    add_key_commands();
}

exit_code command_line::run(int argc, const char* const* argv)
{
    try
    {
        app_.parse(argc, argv);
    }
    catch (const CLI::ParseError& error)
    {
        return app_.exit(error) == 0 ? exit_code::ok : exit_code::usage;
    }
    auto routers = parse_addresses(global_.routers);
    if (routers.has_error())
    {
        return wrong_usage(routers.error());
    }
    auto key = find_key(global_.key_file);
    if (key.has_error())
    {
        return wrong_usage(key.error());
    }
    const std::chrono::duration<double> timeout(global_.timeout_seconds);
    return chosen_(session({.routers = std::move(routers).value(),
                            .key = std::move(key).value(),
                            .timeout = std::chrono::ceil<std::chrono::milliseconds>(timeout),
                            .json = global_.json}));
}

CLI::App* command_line::add(CLI::App& parent, const std::string& name, const std::string& help,
                            action run)
{
    CLI::App* command = parent.add_subcommand(name, help);
    command->fallthrough();
    command->callback([this, run = std::move(run)] { chosen_ = run; });
    return command;
}

void command_line::add_global_options()
{
    app_.add_option("--router", global_.routers,
                    "Address of a router, HOST:PORT; repeat it or separate several by commas. "
                    "They are tried in turn.")
        ->envname("CARAWAY_ROUTERS")
        ->delimiter(',')
        ->allow_extra_args(false)
        ->capture_default_str();
    app_.add_option("--key-file", global_.key_file,
                    "File that holds the operator's key; else CARAWAY_KEY holds the key itself.");
    app_.add_flag("--json", global_.json, "Answer in JSON, errors too.");
    app_.add_option("--timeout", global_.timeout_seconds, "Seconds to wait for a router.")
        ->check(CLI::Range(shortest_timeout, longest_timeout))
        ->capture_default_str();
}

void command_line::add_fleet_commands()
{
    add(app_, "status", "Show the state of all given routers.", run_status);
    add(app_, "dump", "Print the whole state of the first router that answers.", run_dump);
    add(app_, "drain", "Let the one given router finish what it has and take nothing new.",
        run_drain);
    auto* explain = add(app_, "explain", "Tell what was decided about a request, and why.",
                        [this](const session& fleet) { return run_explain(fleet, request_); });
    explain->add_option("REQUEST", request_, "The X-Request-Id of the answer.")->required();
    explain->footer("Example:\n  carawayctl explain r1-18f2a-42");
}

void command_line::add_key_commands()
{
    CLI::App* group = app_.add_subcommand("key", "Keys of operators and callers.");
    group->require_subcommand(1)->fallthrough();
    add(*group, "new", "Make a random key; print it and its SHA-256 for the configuration.",
        [](const session& fleet) { return run_key_new(fleet.json()); });
}

void command_line::add_config_commands()
{
    CLI::App* group = app_.add_subcommand("config", "The configuration and its review.");
    group->require_subcommand(1)->fallthrough();
    group->footer("A FOLDER holds *.json files, merged in the order of their names.");
    add_config_reading(*group);
    add_config_changing(*group);
}

void command_line::add_config_reading(CLI::App& group)
{
    auto* check =
        add(group, "check", "Merge and check a folder; asks no router.",
            [this](const session& fleet) { return run_config_check(folder_, fleet.json()); });
    check->add_option("FOLDER", folder_)->required();

    auto* diff = add(group, "diff", "Show what a folder would change.",
                     [this](const session& fleet) { return run_config_diff(fleet, diff_); });
    diff->add_option("FOLDER", diff_.folder)->required();
    diff->add_option("--against", diff_.against,
                     "A version or another folder, in place of the version in force.");

    auto* show = add(group, "show", "Print the configuration in force, or that of a version.",
                     [this](const session& fleet) { return run_config_show(fleet, version_); });
    show->add_option("VERSION", version_);

    add(group, "log", "List the accepted versions, newest first.", run_config_log);
    add(group, "changes", "List the proposed changes.", run_config_changes);
}

void command_line::add_config_changing(CLI::App& group)
{
    auto* propose =
        add(group, "propose", "Propose a folder as the next configuration.",
            [this](const session& fleet) { return run_config_propose(fleet, propose_); });
    propose->add_option("FOLDER", propose_.folder)->required();
    propose->add_option("--note", propose_.note, "What the change is for.");
    propose->add_option("--change", propose_.change,
                        "Id of the change. Under the same id a proposal can be repeated safely.");
    propose->add_option("--base", propose_.base,
                        "Version that the folder was made from; refused if another is in force.");
    propose->footer("Example:\n  carawayctl config propose ./configuration --note \"new runner\"");

    auto* approve =
        add(group, "approve", "Approve a change that somebody else proposed.",
            [this](const session& fleet) { return run_config_approve(fleet, approve_); });
    approve->add_option("CHANGE", approve_.change)->required();
    approve->add_option("--hash", approve_.hash,
                        "Approve only if the change has this hash: the one that config check "
                        "prints for the folder that was reviewed.");

    auto* reject = add(group, "reject", "End a change without accepting it.",
                       [this](const session& fleet) { return run_config_reject(fleet, reject_); });
    reject->add_option("CHANGE", reject_.change)->required();
    reject->add_option("--reason", reject_.reason, "Why; noted with the change.")->required();
}

}  // namespace caraway::ctl
