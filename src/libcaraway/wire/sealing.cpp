#include "libcaraway/wire/sealing.hpp"

#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

namespace caraway::wire
{

namespace
{

constexpr qsizetype tag_bytes = 16;
/// Domain separation: a tag is useless elsewhere if the same key also authenticates other data.
constexpr char domain_prefix[] = "caraway datagram 1";

QByteArray compute_tag(key_id id, const QByteArray& key, const QByteArray& payload)
{
    QMessageAuthenticationCode code(QCryptographicHash::Sha256, key);
    code.addData(domain_prefix, sizeof(domain_prefix));
    const char id_byte = static_cast<char>(id);
    code.addData(&id_byte, 1);
    code.addData(payload);
    return code.result().first(tag_bytes);
}

/// The duration does not depend on the position of the first difference. A comparison that returned
/// early would let an attacker find the right tag byte by byte.
bool equal_in_constant_time(const QByteArray& a, const QByteArray& b)
{
    if (a.size() != b.size())
    {
        return false;
    }
    unsigned difference = 0;
    for (qsizetype i = 0; i < a.size(); ++i)
    {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

}  // namespace

QByteArray seal(const key_ring& ring, const QByteArray& payload)
{
    QByteArray sealed(1, static_cast<char>(ring.active));
    sealed += compute_tag(ring.active, ring.keys.at(ring.active), payload);
    return sealed + payload;
}

base::result<QByteArray> open(const key_ring& ring, const QByteArray& sealed)
{
    if (sealed.size() < static_cast<qsizetype>(seal_bytes))
    {
        return base::make_error(base::errc::corrupt, "seal: datagram shorter than the seal header");
    }
    const auto id = static_cast<key_id>(static_cast<std::uint8_t>(sealed[0]));
    const auto key = ring.keys.find(id);
    if (key == ring.keys.end())
    {
        return base::make_error(base::errc::unauthenticated, "seal: unknown key id");
    }
    QByteArray payload = sealed.mid(static_cast<qsizetype>(seal_bytes));
    if (!equal_in_constant_time(sealed.mid(1, tag_bytes), compute_tag(id, key->second, payload)))
    {
        return base::make_error(base::errc::unauthenticated,
                                "seal: authentication tag does not match");
    }
    return payload;
}

}  // namespace caraway::wire
