#pragma once

#include "caraway_load/run/load_run.hpp"

#include <QByteArray>

namespace caraway_load::report
{

/// One JSON object a line for each request, to look into a surprising figure.
QByteArray calls_to_json_lines(const run::run_log& log);

}  // namespace caraway_load::report
