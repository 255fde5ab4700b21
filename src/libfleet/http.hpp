#pragma once

#include "libcaraway/base/error.hpp"

#include <QJsonObject>
#include <QString>

namespace fleet
{

struct address;

/// One blocking HTTP call with JSON both ways, for stand-ins' controls and figures. Errors:
/// unavailable, with the status or the network's error in the message.
caraway::base::result<QJsonObject> http_json(const address& where, const QString& method,
                                             const QString& path, const QJsonObject& body);

}  // namespace fleet
