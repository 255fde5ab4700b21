#pragma once

#include "libcaraway/base/error.hpp"

#include <QByteArray>

#include <cstddef>
#include <cstdint>
#include <map>

namespace caraway::wire
{

/// Identifies the key in every datagram, so that old and new keys are both valid during a rotation.
enum class key_id : std::uint8_t
{
};

/// The shared secrets of the fleet. Datagrams sealed with any listed key are accepted; the active
/// key seals outgoing datagrams.
struct key_ring
{
    key_id active{};
    std::map<key_id, QByteArray> keys;
};

/// Size of the header that seal() prepends: 1 byte of key id and 16 bytes of tag.
inline constexpr std::size_t seal_bytes = 17;

/// Authenticates `payload` without encrypting it. The result is the key id, the HMAC-SHA256
/// truncated to 16 bytes, and the payload. The active key must be in the ring.
QByteArray seal(const key_ring& ring, const QByteArray& payload);

/// Returns the payload if it was sealed with a key of the ring; errc::unauthenticated if the key is
/// unknown or the tag is wrong; errc::corrupt if the input is shorter than the header.
///
/// Replays need no detection here. The sealed envelope names the incarnations of sender and
/// receiver, and messages carry only state with a rank or sequence. A replayed datagram of the
/// current incarnation is therefore idempotent, and a datagram of an earlier incarnation is
/// dropped.
base::result<QByteArray> open(const key_ring& ring, const QByteArray& sealed);

}  // namespace caraway::wire
