#pragma once

#include <QJsonObject>

namespace caraway::metrics
{

class registry;

/// Returns all metrics by series name: counters and gauges as numbers, histograms as count, sum and
/// the 50th, 95th and 99th percentile.
QJsonObject dump(const registry& source);

}  // namespace caraway::metrics
