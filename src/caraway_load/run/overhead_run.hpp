#pragma once

#include "libcaraway/base/error.hpp"

#include <QJsonObject>
#include <QString>

namespace caraway_load::run
{

/// What a router adds: the same load straight to one engine stand-in and through one router before
/// it, by turns within one run. Gives requests a second, times, and their ratios.
caraway::base::result<QJsonObject> run_overhead(const QString& programs);

}  // namespace caraway_load::run
