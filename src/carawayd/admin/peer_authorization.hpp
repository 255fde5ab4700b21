#pragma once

#include <QByteArray>

#include <string>

namespace carawayd::admin
{

/// What a router sends as Authorization when it asks a peer for `path`: an HMAC of the path under
/// the fleet's key. A stranger on the network can't make one, and one that was overheard is good
/// for nothing but the same document.
std::string peer_authorization(const QByteArray& fleet_key, const std::string& path);

/// Whether `given` is that; takes the same time wherever they differ.
bool is_peer_authorization(const QByteArray& fleet_key, const std::string& path,
                           const std::string& given);

}  // namespace carawayd::admin
