#pragma once

#include "caraway_load/measures/call_history.hpp"
#include "caraway_load/report/figures.hpp"

namespace caraway_load::report
{

/// For each fault of the scenario, how utilisation and gap were before, during and after it.
std::vector<recovery_figures> make_recoveries(const run::load_run_options& options,
                                              const run::run_log& log,
                                              const measures::call_history& history);

}  // namespace caraway_load::report
