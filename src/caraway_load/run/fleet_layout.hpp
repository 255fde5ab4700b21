#pragma once

#include "caraway_load/workload/scenario.hpp"

#include "libfleet/layout.hpp"

#include <QString>

#include <string>

namespace caraway_load::run
{

/// The fleet that a scenario asks for; engines and services are spread evenly over the zones.
fleet::layout layout_of(const workload::scenario& load, const std::string& policy,
                        const QString& programs);

}  // namespace caraway_load::run
