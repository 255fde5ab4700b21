#include "carawayd/admin/peer_authorization.hpp"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

namespace carawayd::admin
{

namespace
{

constexpr const char* scheme = "Caraway-Peer ";

}  // namespace

std::string peer_authorization(const QByteArray& fleet_key, const std::string& path)
{
    const QByteArray code = QMessageAuthenticationCode::hash(
        QByteArray::fromStdString("GET " + path), fleet_key, QCryptographicHash::Sha256);
    return scheme + code.toHex().toStdString();
}

bool is_peer_authorization(const QByteArray& fleet_key, const std::string& path,
                           const std::string& given)
{
    const std::string expected = peer_authorization(fleet_key, path);
    if (given.size() != expected.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        difference |=
            static_cast<unsigned char>(given[i]) ^ static_cast<unsigned char>(expected[i]);
    }
    return difference == 0;
}

}  // namespace carawayd::admin
