#include "caraway_load/report/calls_json.hpp"
#include "caraway_load/report/figures_json.hpp"
#include "caraway_load/report/table.hpp"
#include "caraway_load/run/load_run.hpp"
#include "caraway_load/run/overhead_run.hpp"

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>

#include <iostream>

namespace
{

using namespace caraway_load;

constexpr int status_broken_promise = 1;
constexpr int status_no_run = 2;

/// What the command line says; what it leaves out is the scenario's.
struct command_line
{
    std::string scenario_file;
    bool overhead = false;
    std::string out;
    std::string calls_out;
    std::string programs;
    std::vector<std::string> attach;
    std::string policy = "full";
    std::optional<std::uint32_t> routers;
    std::optional<std::uint64_t> seed;
    std::optional<double> duration_s;
    double demand_factor = 1;
    bool without_changes = false;
    int threads = 2;
    double poll_s = 0.5;
};

void add_options(CLI::App& app, command_line& given)
{
    app.add_option("scenario", given.scenario_file, "The scenario, a JSON file.");
    app.add_flag("--overhead", given.overhead,
                 "Measures what one router adds before one engine, in place of a scenario.");
    app.add_option("--routers", given.routers, "How many routers, in place of the scenario's.")
        ->check(CLI::Range(1, 250));
    app.add_option("--policy", given.policy, "How the routers share out slots.")
        ->check(CLI::IsMember({"full", "local-only", "shared-counters", "single-scheduler"}))
        ->capture_default_str();
    app.add_option("--seed", given.seed, "Of the arrivals, in place of the scenario's.");
    app.add_option("--duration", given.duration_s, "Seconds of load, the warm-up included.");
    app.add_option("--demand-factor", given.demand_factor, "Multiplies every workspace's demand.")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_flag("--without-changes", given.without_changes,
                 "Every workspace keeps to its usual demand; to compare a flood with.");
    app.add_option("--out", given.out, "Writes the figures as JSON to this file.");
    app.add_option("--calls", given.calls_out,
                   "Writes what became of each request to this file, one JSON object a line.");
    app.add_option("--attach", given.attach,
                   "ADDRESS:PORT of the callers' ports of a fleet that runs already.")
        ->delimiter(',');
    app.add_option("--threads", given.threads, "Threads of callers.")
        ->check(CLI::Range(1, 16))
        ->capture_default_str();
    app.add_option("--poll", given.poll_s, "Seconds between two looks at the engines.")
        ->check(CLI::Range(0.05, 10.0))
        ->capture_default_str();
    app.add_option("--programs", given.programs, "Folder of the programs to start.");
}

QString programs_of(const command_line& given)
{
    return given.programs.empty() ? QCoreApplication::applicationDirPath()
                                  : QString::fromStdString(given.programs);
}

caraway::base::result<run::load_run_options> options_from(const command_line& given)
{
    run::load_run_options options;
    BOOST_OUTCOME_TRY(load,
                      workload::read_scenario_file(QString::fromStdString(given.scenario_file)));
    options.load = std::move(load);
    options.load.routers = given.routers.value_or(options.load.routers);
    options.load.seed = given.seed.value_or(options.load.seed);
    options.load.duration_s = given.duration_s.value_or(options.load.duration_s);
    for (auto& workspace : options.load.workspaces)
    {
        workspace.demand *= given.demand_factor;
        workspace.changes = given.without_changes ? std::vector<workload::demand_change>()
                                                  : std::move(workspace.changes);
    }
    options.policy = given.policy;
    options.threads = given.threads;
    options.poll_s = given.poll_s;
    options.programs = programs_of(given);
    for (const std::string& text : given.attach)
    {
        const QString where = QString::fromStdString(text);
        options.attach.push_back({where.section(':', 0, 0).toStdString(),
                                  static_cast<std::uint16_t>(where.section(':', 1).toUInt())});
    }
    if (!options.attach.empty())
    {
        options.load.routers = static_cast<std::uint32_t>(options.attach.size());
    }
    return options;
}

bool write_file(const std::string& name, const QByteArray& content)
{
    QFile file(QString::fromStdString(name));
    return name.empty() || (file.open(QIODevice::WriteOnly) && file.write(content) >= 0);
}

int measure_overhead(const command_line& given)
{
    const auto figures = run::run_overhead(programs_of(given));
    if (!figures)
    {
        std::cerr << "The run could not be made: " << figures.error().message << "\n";
        return status_no_run;
    }
    const QByteArray text = QJsonDocument(figures.value()).toJson();
    std::cout << text.toStdString();
    return write_file(given.out, text) ? 0 : status_no_run;
}

int measure_scenario(const command_line& given)
{
    const auto options = options_from(given);
    if (!options)
    {
        std::cerr << options.error().message << "\n";
        return status_no_run;
    }
    const auto log = run::run_load(options.value());
    if (!log)
    {
        std::cerr << "The run could not be made: " << log.error().message << "\n";
        return status_no_run;
    }
    const auto figures = report::make_figures(options.value(), log.value());
    std::cout << report::to_table(options.value(), log.value(), figures);
    const QJsonObject json = report::to_json(options.value(), log.value(), figures);
    const bool written = write_file(given.out, QJsonDocument(json).toJson()) &&
                         write_file(given.calls_out, report::calls_to_json_lines(log.value()));
    if (!written)
    {
        std::cerr << given.out << " " << given.calls_out << " could not be written.\n";
        return status_no_run;
    }
    return figures.broken.sum() == 0 ? 0 : status_broken_promise;
}

}  // namespace

/// Puts a scenario's load on a fleet and reports what became of it. Ends with 0 if every promise
/// was kept, 1 if one was broken, 2 if the run couldn't be made.
int main(int argc, char** argv)
{
    QCoreApplication application(argc, argv);
    CLI::App app("Measures a fleet of routers under a scenario's load.", "caraway-load");
    command_line given;
    add_options(app, given);
    CLI11_PARSE(app, argc, argv);
    return given.overhead ? measure_overhead(given) : measure_scenario(given);
}
