#pragma once

#include "libcaraway/config/configuration.hpp"

#include <QJsonObject>

#include <map>

namespace caraway::config
{

/// Converts a merged configuration to its typed form. A value that violates the schema is replaced
/// by its default, so that cross checks can run along with the schema check and all problems are
/// reported at once. A configuration comes into force only after it has passed both.
configuration configuration_from_json(const QJsonObject& json);

/// Operator accounts by id; the configuration and the settings use the same format.
std::map<base::operator_id, operator_account> operators_from_json(const QJsonObject& json);

}  // namespace caraway::config
