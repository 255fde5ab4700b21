#pragma once

#include "caraway_load/measures/fairness_gap.hpp"
#include "caraway_load/measures/integrity.hpp"
#include "caraway_load/measures/percentiles.hpp"
#include "caraway_load/measures/utilisation.hpp"
#include "caraway_load/run/load_run.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caraway_load::report
{

/// One workspace's part in a run. Times in seconds, of requests sent inside the window.
struct workspace_figures
{
    std::string id;
    double share = 1;
    std::size_t requests = 0;
    std::size_t answered = 0;
    /// Tokens generated inside the window, by share.
    double weighted_service = 0;
    /// Part of the window in which it had requests waiting.
    double backlogged = 0;
    measures::distribution wait_s;
    double longest_wait_s = 0;
    double longest_unserved_wait_s = 0;
    measures::distribution first_token_s;
};

/// What control costs one node, a second.
struct control_figures
{
    double bytes_out = 0;
    double bytes_in = 0;
    double messages_out = 0;
    double datagrams_out = 0;
    /// Percent of one core.
    double main_thread_cpu = 0;
    double process_cpu = 0;
    double resident_mb = 0;
    double peak_resident_mb = 0;
};

/// Over all nodes that were up throughout.
struct control_summary
{
    std::size_t nodes = 0;
    control_figures mean;
    control_figures largest;
    /// What the schedulers counted meanwhile (see the dump), all nodes together.
    std::map<std::string, double> scheduler;
    /// Processor time of threads by name, percent of a core, mean of the nodes.
    std::map<std::string, double> threads;
};

/// How a run came back after a fault.
struct recovery_figures
{
    std::string fault;
    double at_s = 0;
    double for_s = 0;
    /// Before the fault, the largest gap in a window and the lowest utilisation in a bin.
    double gap_before = 0;
    double gap_during = 0;
    double utilisation_before = 0;
    double utilisation_lowest = 0;
    std::optional<double> gap_back_s;
    std::optional<double> utilisation_back_s;
};

/// All figures of a run.
struct figures
{
    measures::interval window;
    measures::fairness_gap gap;
    /// The same, by the mean tokens of a request.
    double gap_in_requests = 0;
    double mean_tokens = 0;
    measures::utilisation used_by_engines;
    measures::utilisation used_by_callers;
    double work_waits_s = 0;
    double tokens_per_second = 0;
    double capacity = 0;
    std::size_t requests = 0;
    std::size_t answered = 0;
    std::size_t unfinished = 0;
    std::size_t given_up = 0;
    std::size_t retries = 0;
    std::size_t broken_connections = 0;
    std::map<std::string, std::size_t> refused_by_code;
    measures::distribution first_token_s;
    measures::distribution between_tokens_s;
    measures::distribution wait_s;
    measures::distribution plain_answer_s;
    std::vector<workspace_figures> workspaces;
    /// Weighted service of each workspace from the window's start up to each further second.
    std::vector<std::vector<double>> service_over_time;
    measures::broken_promises broken;
    control_summary idle;
    control_summary loaded;
    std::vector<recovery_figures> recoveries;
    /// Processor time of the load generator, percent of a core.
    double generator_cpu = 0;
};

figures make_figures(const run::load_run_options& options, const run::run_log& log);

}  // namespace caraway_load::report
