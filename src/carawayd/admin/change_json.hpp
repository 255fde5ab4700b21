#pragma once

#include "libcaraway/config/acceptance.hpp"
#include "libcaraway/config/records.hpp"

#include <QByteArray>
#include <QJsonObject>

#include <vector>

/// What the RPC methods about configuration answer.
namespace carawayd::admin
{

/// A change with how many approvals count and are needed, and its version once accepted.
QJsonObject to_json(const caraway::config::acceptance_result& result);
QJsonObject changes_json(const std::vector<caraway::config::change_record>& changes);
QJsonObject log_json(const std::vector<caraway::config::log_record>& log);
QJsonObject document_json(caraway::base::config_version version,
                          const caraway::config::sha256_hex& hash, const QByteArray& bytes);

}  // namespace carawayd::admin
