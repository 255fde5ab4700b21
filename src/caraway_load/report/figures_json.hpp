#pragma once

#include "caraway_load/report/figures.hpp"

#include <QJsonObject>

namespace caraway_load::report
{

/// All figures as JSON, with what they were measured on: scenario, policy, seed, loads.
QJsonObject to_json(const run::load_run_options& options, const run::run_log& log,
                    const figures& all);

}  // namespace caraway_load::report
