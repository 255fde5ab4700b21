#pragma once

#include "libcaraway/base/clock.hpp"
#include "libcaraway/membership/membership.hpp"

#include <QJsonObject>

namespace caraway::membership
{

/// The state dump: this node, every known member and the entries of the expiring set.
QJsonObject snapshot(const membership& source, base::time_point now);

}  // namespace caraway::membership
