#include "libcaraway/routing/digest.hpp"

#include "libcaraway/routing/cbor_writer.hpp"
#include "libcaraway/routing/digest_format.hpp"

#include <cmath>

namespace caraway::routing
{

namespace
{

/// Bytes of a digest of a busy router; larger ones grow.
constexpr std::size_t usual_size = 1024;

void write(cbor_writer& out, const endpoint& address)
{
    out.array(2);
    out.text(address.ip);
    out.unsigned_integer(address.port);
}

void write(cbor_writer& out, const engines::upstream_loads& loads)
{
    out.array(loads.size());
    for (const auto& [id, load] : loads)
    {
        out.array(4);
        out.text(id.str());
        out.unsigned_integer(load.running);
        out.unsigned_integer(load.pending_prefill_tokens);
        out.unsigned_integer(load.held_tokens);
    }
}

void write(cbor_writer& out, const workspace_usages& usages)
{
    out.array(usages.size());
    for (const auto& [id, usage] : usages)
    {
        const bool has_refusals = usage.refused > 0;
        out.array(has_refusals ? 7 : 3);
        out.text(id.str());
        out.unsigned_integer(static_cast<std::uint64_t>(usage.demanded));
        out.unsigned_integer(static_cast<std::uint64_t>(usage.served));
        if (has_refusals)
        {
            out.unsigned_integer(static_cast<std::uint64_t>(usage.refused));
            out.unsigned_integer(static_cast<std::uint64_t>(usage.held_by_engines));
            out.unsigned_integer(static_cast<std::uint64_t>(usage.held_by_processor));
            out.unsigned_integer(static_cast<std::uint64_t>(usage.serving_rate));
        }
    }
}

void write(cbor_writer& out, const std::vector<attempts::suspect_entry>& suspects)
{
    out.array(suspects.size());
    for (const auto& each : suspects)
    {
        out.array(6);
        out.unsigned_integer(static_cast<std::uint64_t>(each.fingerprint));
        out.array(each.crashes.size());
        for (const auto& crash : each.crashes)
        {
            out.unsigned_integer(static_cast<std::uint32_t>(crash.upstream));
        }
        out.boolean(each.ran_alone);
        out.boolean(each.cleared);
        out.unsigned_integer(each.expires_in_ms);
        out.array(each.crashes.size());
        for (const auto& crash : each.crashes)
        {
            out.unsigned_integer(static_cast<std::uint32_t>(crash.start));
        }
    }
}

void write(cbor_writer& out, const std::vector<returns::request_fingerprint>& refused)
{
    out.array(refused.size());
    for (const auto each : refused)
    {
        out.unsigned_integer(static_cast<std::uint32_t>(each));
    }
}

void write(cbor_writer& out, const std::vector<parts::part_evidence>& suspected)
{
    out.array(suspected.size());
    for (const auto& each : suspected)
    {
        out.array(each.sound_age ? 3 : 2);
        out.unsigned_integer(static_cast<std::uint64_t>(each.part));
        out.array(each.crashes.size());
        for (const auto& crash : each.crashes)
        {
            out.array(3);
            out.unsigned_integer(static_cast<std::uint32_t>(crash.fingerprint.upstream));
            out.integer(crash.age.count());
            out.unsigned_integer(static_cast<std::uint32_t>(crash.fingerprint.start));
        }
        if (each.sound_age)
        {
            out.integer(each.sound_age->count());
        }
    }
}

void write(cbor_writer& out, const engines::prefill_records& records)
{
    out.array(records.size());
    for (const auto& [id, record] : records)
    {
        out.array(3);
        out.text(id.str());
        out.integer(std::llround(record.milliseconds));
        out.integer(std::llround(record.tokens));
    }
}

void write(cbor_writer& out, const engines::pace_records& records)
{
    out.array(records.size());
    for (const auto& [id, record] : records)
    {
        out.array(3);
        out.text(id.str());
        out.real(record.milliseconds);
        out.real(record.units);
    }
}

void write(cbor_writer& out, const std::vector<parts::part_rate>& rates)
{
    out.array(rates.size());
    for (const auto& each : rates)
    {
        out.array(each.holder == 0 ? 2 : 3);
        out.unsigned_integer(each.prefix);
        out.real(each.requests_per_second);
        if (each.holder != 0)
        {
            out.unsigned_integer(each.holder);
        }
    }
}

void write(cbor_writer& out, const table_state& state)
{
    out.array(6);
    out.boolean(state.polls_store);
    out.boolean(state.store_unreachable);
    out.unsigned_integer(state.answer_count);
    out.unsigned_integer(state.revision);
    out.unsigned_integer(state.content_hash);
    out.integer(state.answer_age.count());
}

void write(cbor_writer& out, const std::vector<leaving_upstream>& leaving)
{
    out.array(leaving.size());
    for (const auto& each : leaving)
    {
        out.array(2);
        out.text(each.id.str());
        out.integer(each.process_start.count());
    }
}

void write(cbor_writer& out, const std::vector<zone_update>& zones)
{
    out.array(zones.size());
    for (const auto& each : zones)
    {
        out.array(3);
        out.text(each.zone.str());
        out.boolean(each.drained);
        out.unsigned_integer(each.revision);
    }
}

}  // namespace

std::string encode(const digest& message)
{
    std::string bytes;
    bytes.reserve(usual_size);
    cbor_writer out(bytes);
    out.array(digest_format::fields);
    out.unsigned_integer(digest_format::version);
    out.text(message.sender.str());
    out.unsigned_integer(message.incarnation);
    out.unsigned_integer(message.sequence);
    out.text(message.zone.str());
    write(out, message.callers);
    write(out, message.control);
    write(out, message.datagrams);
    out.boolean(message.ready);
    out.unsigned_integer(static_cast<std::uint64_t>(message.version));
    out.integer(message.tables_fresh_for.count());
    write(out, message.loads);
    write(out, message.usages);
    out.real(message.capacity);
    out.real(message.request_rate);
    write(out, message.suspects);
    write(out, message.refused);
    write(out, message.prefill_samples);
    write(out, message.tables);
    write(out, message.leaving);
    write(out, message.zones);
    out.boolean(message.keeps_origins);
    write(out, message.suspected_parts);
    out.boolean(message.processor_limited);
    write(out, message.paces);
    write(out, message.part_rates);
    return bytes;
}

}  // namespace caraway::routing
