#pragma once

#include "carawayctl/session.hpp"
#include "libcaraway/base/error.hpp"

#include <QByteArray>
#include <QJsonObject>
#include <QString>

#include <string>

namespace caraway::ctl
{

/// An accepted configuration as a router tells it.
struct accepted_document
{
    /// 0 while no configuration has been accepted yet.
    qint64 version = 0;
    QString hash;
    QByteArray bytes;
    QJsonObject json;
};

/// Asks for a version, or with none named for the one in force. `corrupt` when the document isn't
/// the one that its hash names.
base::result<accepted_document> fetch_document(const session& fleet, const std::string& version);

/// Like `fetch_document` for the version in force, but an empty document of version 0 before the
/// first acceptance.
base::result<accepted_document> fetch_base(const session& fleet);

}  // namespace caraway::ctl
