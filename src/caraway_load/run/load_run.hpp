#pragma once

#include "caraway_load/calls/call_record.hpp"
#include "caraway_load/calls/connection.hpp"
#include "caraway_load/run/fleet_watch.hpp"
#include "caraway_load/workload/scenario.hpp"

#include "libcaraway/base/error.hpp"

#include <QString>
#include <QStringList>

#include <optional>
#include <string>
#include <vector>

namespace caraway_load::run
{

struct load_run_options
{
    workload::scenario load;
    std::string policy = "full";
    int threads = 2;
    /// Between two looks at the engines.
    double poll_s = 0.5;
    /// Where the programs are.
    QString programs;
    /// Callers' addresses of a fleet that runs already; empty: one is started.
    std::vector<calls::target> attach;
};

/// Figures of the routers before, at the start and at the end of what is measured.
struct router_samples
{
    std::vector<router_sample> idle_from;
    std::vector<router_sample> idle_to;
    std::vector<router_sample> from;
    std::vector<router_sample> to;
};

/// All that one run gave.
struct run_log
{
    std::vector<calls::call_record> calls;
    std::vector<measures::engine_sample> engines;
    measures::upstream_logs upstreams;
    router_samples routers;
    /// When everything had ended or was given up.
    double end_s = 0;
    double load_average_from = 0;
    double load_average_to = 0;
    /// Processor time of this program over the load.
    double generator_cpu_s = 0;
    std::vector<QString> problems;
};

/// Starts the fleet (or takes one that runs), puts the load on it and waits for its end.
caraway::base::result<run_log> run_load(const load_run_options& options);

}  // namespace caraway_load::run
