#pragma once

#include "libcaraway/base/error.hpp"

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QObject>

#include <cstdint>
#include <functional>
#include <string>

namespace carawayd::control
{

/// Fetches configuration documents from other routers, so that an accepted configuration spreads,
/// and a cold router starts, while the platform is out. The caller checks the bytes against their
/// hash.
class peer_documents : public QObject
{
public:
    using callback = std::function<void(caraway::base::result<QByteArray>)>;

    explicit peer_documents(QByteArray fleet_key, QObject* parent = nullptr);

    /// Errors: not_found when the peer hasn't that document in force, unavailable for anything
    /// else. A silent re-send is harmless: it only reads.
    void fetch(const std::string& host, std::uint16_t port, const std::string& hash, callback done);

private:
    QByteArray fleet_key_;
    QNetworkAccessManager network_;
};

}  // namespace carawayd::control
