#pragma once

#include "libcaraway/config/records.hpp"
#include "libcaraway/net/platform_types.hpp"

#include <QByteArray>
#include <QJsonDocument>

namespace carawayd::configuration
{

/// A row's body as the configuration library reads it.
inline QByteArray body_bytes(const caraway::net::platform_row& row)
{
    return QJsonDocument(row.body).toJson(QJsonDocument::Compact);
}

/// A row to write, from the configuration library's key and body.
inline caraway::net::platform_row make_row(const caraway::config::row_key& key,
                                           const QByteArray& body)
{
    return {.pk = key.pk, .sk = key.sk, .body = QJsonDocument::fromJson(body).object()};
}

}  // namespace carawayd::configuration
