#include "libcaraway/wire/codec.hpp"

#include "libcaraway/wire/identity_codec.hpp"
#include "libcaraway/wire/membership_codec.hpp"
#include "libcaraway/wire/scheduling_codec.hpp"

#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace caraway::wire
{

namespace
{

/// Raised only for changes that an older reader would misinterpret; compatible changes append
/// fields.
constexpr std::uint64_t format_version = 1;

/// Wire values: a number is never reused for another kind.
enum class kind : std::uint64_t
{
    probe = 1,
    probe_ack = 2,
    probe_request = 3,
    sync_request = 4,
    sync_reply = 5,
    gossip = 6,
    probe_nack = 7,
    router_report = 16,
    grant_list = 17,
    totals_report = 18,
    totals_reply = 19,
};

/// The kind of a message and the number of elements that write_fields() writes for the message.
template <kind Kind, std::uint64_t Fields>
struct format
{
    static constexpr kind value = Kind;
    static constexpr std::uint64_t fields = Fields;
};

template <class T>
struct format_of;

// clang-format off
template <> struct format_of<membership::probe> : format<kind::probe, 1> {};
template <> struct format_of<membership::probe_ack> : format<kind::probe_ack, 1> {};
template <> struct format_of<membership::probe_nack> : format<kind::probe_nack, 1> {};
template <> struct format_of<membership::probe_request> : format<kind::probe_request, 5> {};
template <> struct format_of<membership::sync_request> : format<kind::sync_request, 2> {};
template <> struct format_of<membership::sync_reply> : format<kind::sync_reply, 2> {};
template <> struct format_of<membership::gossip> : format<kind::gossip, 11> {};
template <> struct format_of<scheduling::router_report> : format<kind::router_report, 9> {};
template <> struct format_of<scheduling::grant_list> : format<kind::grant_list, 3> {};
template <> struct format_of<scheduling::totals_report> : format<kind::totals_report, 4> {};
template <> struct format_of<scheduling::totals_reply> : format<kind::totals_reply, 4> {};
// clang-format on

template <class T>
void write_message(QCborStreamWriter& out, const T& value)
{
    out.startArray(1 + format_of<T>::fields);
    write(out, static_cast<std::uint64_t>(format_of<T>::value));
    write_fields(out, value);
    out.endArray();
}

void write_message(QCborStreamWriter& out, const membership::message& value)
{
    std::visit([&](const auto& alternative) { write_message(out, alternative); }, value);
}

void write_variant(QCborStreamWriter& out, const message& value)
{
    std::visit([&](const auto& alternative) { write_message(out, alternative); }, value);
}

template <class T>
message read_message(cbor_reader& in)
{
    T value;
    read_fields(in, value);
    if constexpr (std::is_constructible_v<membership::message, T>)
    {
        return membership::message(std::move(value));
    }
    else
    {
        return value;
    }
}

/// Returns nullopt for a kind unknown to this version.
std::optional<message> read_message_of_kind(cbor_reader& in, kind message_kind)
{
    switch (message_kind)
    {
    case kind::probe:
        return read_message<membership::probe>(in);
    case kind::probe_ack:
        return read_message<membership::probe_ack>(in);
    case kind::probe_nack:
        return read_message<membership::probe_nack>(in);
    case kind::probe_request:
        return read_message<membership::probe_request>(in);
    case kind::sync_request:
        return read_message<membership::sync_request>(in);
    case kind::sync_reply:
        return read_message<membership::sync_reply>(in);
    case kind::gossip:
        return read_message<membership::gossip>(in);
    case kind::router_report:
        return read_message<scheduling::router_report>(in);
    case kind::grant_list:
        return read_message<scheduling::grant_list>(in);
    case kind::totals_report:
        return read_message<scheduling::totals_report>(in);
    case kind::totals_reply:
        return read_message<scheduling::totals_reply>(in);
    }
    return std::nullopt;
}

void read_messages(cbor_reader& in, std::vector<message>& messages)
{
    const std::size_t count = in.begin_array(max_messages);
    for (std::size_t i = 0; i < count && !in.failed(); ++i)
    {
        in.begin_array(max_fields);
        if (auto known = read_message_of_kind(in, static_cast<kind>(in.integer())))
        {
            messages.push_back(std::move(*known));
        }
        in.end_array();
    }
    in.end_array();
}

QByteArray encode_message(const message& value)
{
    QByteArray bytes;
    QCborStreamWriter out(&bytes);
    write_variant(out, value);
    return bytes;
}

/// Wraps messages that are already encoded in an envelope.
QByteArray wrap(const envelope& value, const QByteArray& messages, std::uint64_t count)
{
    QByteArray bytes;
    QCborStreamWriter out(&bytes);
    out.startArray(6);
    write(out, format_version);
    write_fields(out, value.from);
    write_fields(out, value.to);
    out.startArray(count);
    // Qt's writer has no call to append encoded elements. The writer is unbuffered, and an array of
    // known length has no end marker, so the encoded elements can be appended to the bytes.
    return bytes + messages;
}

}  // namespace

bool is_addressed_to(const base::node_ref& to, const base::node_ref& self)
{
    return to.id.empty() ||
           (to.id == self.id && (to.life == base::incarnation{} || to.life == self.life));
}

QByteArray encode(const envelope& value)
{
    QByteArray messages;
    for (const auto& item : value.messages)
    {
        messages += encode_message(item);
    }
    return wrap(value, messages, value.messages.size());
}

base::result<envelope> decode(const QByteArray& bytes)
{
    if (static_cast<std::size_t>(bytes.size()) > max_datagram_bytes)
    {
        return base::make_error(base::errc::corrupt, "envelope: too large for one datagram");
    }
    cbor_reader in(bytes);
    envelope value;
    in.begin_array(max_fields);
    if (const std::uint64_t version = in.integer(); !in.failed() && version != format_version)
    {
        return base::make_error(base::errc::corrupt,
                                "envelope: unsupported format version " + std::to_string(version));
    }
    read_fields(in, value.from);
    read_fields(in, value.to);
    read_messages(in, value.messages);
    in.end_array();
    if (in.failed() || value.from.id.empty())
    {
        return base::make_error(base::errc::corrupt, "envelope: malformed CBOR or empty sender id");
    }
    return value;
}

std::vector<QByteArray> pack(const envelope& value, std::size_t target_bytes)
{
    const auto header_size =
        static_cast<std::size_t>(wrap(value, {}, std::uint64_t{max_messages}).size());
    std::vector<QByteArray> packed;
    QByteArray pending;
    std::uint64_t count = 0;
    const auto flush = [&]
    {
        if (count > 0)
        {
            packed.push_back(wrap(value, pending, count));
        }
        pending.clear();
        count = 0;
    };
    for (const auto& item : value.messages)
    {
        const QByteArray bytes = encode_message(item);
        const auto size = static_cast<std::size_t>(pending.size() + bytes.size());
        if (header_size + size > target_bytes || count == max_messages)
        {
            flush();
        }
        pending += bytes;
        ++count;
    }
    flush();
    return packed;
}

}  // namespace caraway::wire
