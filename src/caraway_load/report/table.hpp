#pragma once

#include "caraway_load/report/figures.hpp"

#include <string>

namespace caraway_load::report
{

/// The figures as text, for people.
std::string to_table(const run::load_run_options& options, const run::run_log& log,
                     const figures& all);

}  // namespace caraway_load::report
