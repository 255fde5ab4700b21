#include "libcaraway/wire/membership_codec.hpp"

#include "libcaraway/wire/identity_codec.hpp"

#include <QtEndian>

namespace caraway::wire
{

using namespace membership;

namespace
{

constexpr std::size_t hash_bytes = 32;
/// announced_state and verdict are encoded in one integer: announced_state + 4 * verdict.
constexpr std::uint64_t verdict_factor = 4;

/// The host is written as an empty string if it equals `default_host`. Port 0 means that the member
/// has no such address.
void write_endpoint(QCborStreamWriter& out, const endpoint& value, const std::string& default_host)
{
    const bool is_default = value.host == default_host && value.port != 0;
    write_text(out, is_default ? std::string() : value.host);
    write(out, std::uint64_t{value.port});
}

void read_endpoint(cbor_reader& in, endpoint& value, const std::string& default_host)
{
    value.host = in.text(max_host_bytes);
    read_number(in, value.port);
    if (value.host.empty() && value.port != 0)
    {
        value.host = default_host;
    }
}

void write_details(QCborStreamWriter& out, const member_details& value)
{
    out.startArray(8);
    write_endpoint(out, value.peer, {});
    write_endpoint(out, value.caller, value.peer.host);
    write_endpoint(out, value.admin, value.peer.host);
    write(out, value.zone);
    write(out, value.region);
    out.endArray();
}

void read_details(cbor_reader& in, member_details& value)
{
    in.begin_array(max_fields);
    read_endpoint(in, value.peer, {});
    read_endpoint(in, value.caller, value.peer.host);
    read_endpoint(in, value.admin, value.peer.host);
    read(in, value.zone);
    read(in, value.region);
    in.end_array();
}

void write_update(QCborStreamWriter& out, const member_update& value)
{
    out.startArray(6);
    write_fields(out, value.node);
    write(out, std::uint64_t{value.refutations});
    write(out, static_cast<std::uint64_t>(value.announced) +
                   verdict_factor * static_cast<std::uint64_t>(value.judged));
    write(out, value.accuser);
    if (value.details)
    {
        write_details(out, *value.details);
    }
    else
    {
        out.appendNull();
    }
    out.endArray();
}

void read_update(cbor_reader& in, member_update& value)
{
    constexpr auto last_verdict = static_cast<std::uint64_t>(verdict::dead);
    in.begin_array(max_fields);
    read_fields(in, value.node);
    read_number(in, value.refutations);
    const std::uint64_t states = in.integer(verdict_factor * (last_verdict + 1) - 1);
    value.announced = static_cast<announced_state>(states % verdict_factor);
    value.judged = static_cast<verdict>(states / verdict_factor);
    read(in, value.accuser);
    if (in.is_null())
    {
        in.skip();
    }
    else
    {
        read_details(in, value.details.emplace());
    }
    if (value.node.id.empty())
    {
        in.fail();
    }
    in.end_array();
}

void write_fields(QCborStreamWriter& out, const load_digest& value)
{
    write(out, std::uint64_t{value.waiting});
    write(out, std::uint64_t{value.free_slots});
    write(out, std::uint64_t{value.connections});
}

void read_fields(cbor_reader& in, load_digest& value)
{
    read_number(in, value.waiting);
    read_number(in, value.free_slots);
    read_number(in, value.connections);
}

void write_sample(QCborStreamWriter& out, const load_sample& value)
{
    out.startArray(6);
    write(out, value.node);
    write(out, std::uint64_t{value.age_ms});
    write_fields(out, value.load);
    write(out, static_cast<std::uint64_t>(value.configuration));
    out.endArray();
}

void read_sample(cbor_reader& in, load_sample& value)
{
    in.begin_array(max_fields);
    read(in, value.node);
    read_number(in, value.age_ms);
    read_fields(in, value.load);
    read_number(in, value.configuration);
    in.end_array();
}

void write_entry(QCborStreamWriter& out, const expiring_entry& value)
{
    out.startArray(3);
    write(out, value.fingerprint);
    write(out, std::uint64_t{value.count});
    write(out, std::uint64_t{value.ttl_ms});
    out.endArray();
}

void read_entry(cbor_reader& in, expiring_entry& value)
{
    in.begin_array(max_fields);
    read_number(in, value.fingerprint);
    read_number(in, value.count);
    read_number(in, value.ttl_ms);
    in.end_array();
}

/// The hash is sent in binary form, 32 bytes.
void write_fields(QCborStreamWriter& out, const configuration_ref& value)
{
    write(out, static_cast<std::uint64_t>(value.version));
    out.append(QByteArray::fromHex(QByteArray::fromStdString(value.hash)));
    write(out, value.holder);
}

void read_fields(cbor_reader& in, configuration_ref& value)
{
    read_number(in, value.version);
    const auto hash = QByteArray::fromStdString(in.bytes(hash_bytes));
    read(in, value.holder);
    const bool is_none = value.version == base::config_version{};
    if (static_cast<std::size_t>(hash.size()) != (is_none ? 0 : hash_bytes))
    {
        in.fail();
    }
    value.hash = hash.toHex().toStdString();
}

/// Writes the buckets as one byte string of big-endian 32-bit integers.
void write_view(QCborStreamWriter& out, const view_digest& value)
{
    QByteArray bytes(sizeof(value), '\0');
    for (std::size_t bucket = 0; bucket < value.size(); ++bucket)
    {
        qToBigEndian(value[bucket], bytes.data() + bucket * sizeof(value[bucket]));
    }
    out.append(bytes);
}

void read_view(cbor_reader& in, view_digest& value)
{
    const std::string bytes = in.bytes(sizeof(value));
    if (bytes.size() != sizeof(value))
    {
        in.fail();
        return;
    }
    for (std::size_t bucket = 0; bucket < value.size(); ++bucket)
    {
        value[bucket] =
            qFromBigEndian<std::uint32_t>(bytes.data() + bucket * sizeof(value[bucket]));
    }
}

}  // namespace

void write_fields(QCborStreamWriter& out, const probe& value)
{
    write(out, std::uint64_t{value.sequence});
}

void read_fields(cbor_reader& in, probe& value)
{
    read_number(in, value.sequence);
}

void write_fields(QCborStreamWriter& out, const probe_ack& value)
{
    write(out, std::uint64_t{value.sequence});
}

void read_fields(cbor_reader& in, probe_ack& value)
{
    read_number(in, value.sequence);
}

void write_fields(QCborStreamWriter& out, const probe_nack& value)
{
    write(out, std::uint64_t{value.sequence});
}

void read_fields(cbor_reader& in, probe_nack& value)
{
    read_number(in, value.sequence);
}

void write_fields(QCborStreamWriter& out, const probe_request& value)
{
    write(out, std::uint64_t{value.sequence});
    write_fields(out, value.target);
    write_endpoint(out, value.address, {});
}

void read_fields(cbor_reader& in, probe_request& value)
{
    read_number(in, value.sequence);
    read_fields(in, value.target);
    read_endpoint(in, value.address, {});
}

void write_fields(QCborStreamWriter& out, const sync_request& value)
{
    write(out, value.after);
    write_view(out, value.view);
}

void read_fields(cbor_reader& in, sync_request& value)
{
    read(in, value.after);
    read_view(in, value.view);
}

void write_fields(QCborStreamWriter& out, const sync_reply& value)
{
    write_list(out, value.members, write_update);
    write(out, value.next_after);
}

void read_fields(cbor_reader& in, sync_reply& value)
{
    in.read_list(value.members, max_members, read_update);
    read(in, value.next_after);
}

void write_fields(QCborStreamWriter& out, const gossip& value)
{
    write_fields(out, value.load);
    write(out, static_cast<std::uint64_t>(value.configuration));
    write_fields(out, value.newest);
    write(out, std::uint64_t{value.view});
    write_list(out, value.updates, write_update);
    write_list(out, value.samples, write_sample);
    write_list(out, value.entries, write_entry);
}

void read_fields(cbor_reader& in, gossip& value)
{
    read_fields(in, value.load);
    read_number(in, value.configuration);
    read_fields(in, value.newest);
    read_number(in, value.view);
    in.read_list(value.updates, max_members, read_update);
    in.read_list(value.samples, max_samples, read_sample);
    in.read_list(value.entries, max_entries, read_entry);
}

}  // namespace caraway::wire
