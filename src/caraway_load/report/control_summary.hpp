#pragma once

#include "caraway_load/report/figures.hpp"

namespace caraway_load::report
{

/// What happened between two samples, a second and a node. Nodes that were down at either, or began
/// a new life between, are left out.
control_summary summarise_control(const std::vector<run::router_sample>& from,
                                  const std::vector<run::router_sample>& to);

}  // namespace caraway_load::report
