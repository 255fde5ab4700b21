#pragma once

#include <QJsonObject>

namespace caraway::metrics
{

class registry;

/// Everything for the dump: counters and gauges as numbers, histograms as count, sum and the 50th,
/// 95th and 99th percentile.
QJsonObject dump(const registry& of);

}  // namespace caraway::metrics
