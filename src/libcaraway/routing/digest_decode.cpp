// Decoding of digests, which come at a hundred or two a second and VM.
#include "libcaraway/routing/cbor_fields.hpp"
#include "libcaraway/routing/digest.hpp"
#include "libcaraway/routing/digest_format.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace caraway::routing
{

namespace
{

/// Routers send fewer.
constexpr std::size_t max_part_rates = 256;

endpoint read_endpoint(cbor_reader& in)
{
    endpoint address;
    read_fields(in, 2,
                [&]
                {
                    address.ip = in.text();
                    address.port = in.integer<std::uint16_t>();
                });
    return address;
}

engines::upstream_loads read_loads(cbor_reader& in)
{
    return read_map<engines::upstream_loads>(
        in, 4,
        [&]
        {
            return engines::upstream_load{.running = in.integer<std::uint32_t>(),
                                          .pending_prefill_tokens = in.integer<std::uint64_t>(),
                                          .held_tokens = in.integer<std::uint64_t>()};
        });
}

/// Counts that no router can have are taken for the nearest possible ones.
double read_tokens(cbor_reader& in)
{
    constexpr double most = 1e15;
    const double tokens = in.real();
    return std::isnan(tokens) ? 0 : std::clamp(tokens, 0.0, most);
}

workspace_usages read_usages(cbor_reader& in)
{
    constexpr std::uint64_t without_refusals = 3;
    constexpr std::uint64_t with_refusals = 5;
    constexpr std::uint64_t with_serving_rate = 7;
    workspace_usages usages;
    read_items(in,
               [&]
               {
                   const auto size = in.array(without_refusals);
                   auto id = read_id<base::workspace_id>(in);
                   workspace_usage usage{.demanded = read_tokens(in), .served = read_tokens(in)};
                   if (size >= with_refusals)
                   {
                       usage.refused = read_tokens(in);
                       usage.held_by_engines = read_tokens(in);
                   }
                   usage.serving_rate = -1;
                   if (size >= with_serving_rate)
                   {
                       usage.held_by_processor = read_tokens(in);
                       usage.serving_rate = read_tokens(in);
                   }
                   in.skip(size - (size >= with_serving_rate ? with_serving_rate
                                   : size >= with_refusals   ? with_refusals
                                                             : without_refusals));
                   usages.insert_or_assign(usages.end(), std::move(id), usage);
               });
    return usages;
}

void read_starts(cbor_reader& in, std::vector<attempts::crash_fingerprint>& crashes)
{
    auto crash = crashes.begin();
    read_items(in,
               [&]
               {
                   const auto start = read_enum<attempts::start_fingerprint>(in);
                   if (crash != crashes.end())
                   {
                       crash->start = start;
                       ++crash;
                   }
               });
}

attempts::suspect_entry read_suspect(cbor_reader& in)
{
    attempts::suspect_entry entry;
    const auto read_crash = [&]
    {
        entry.crashes.push_back({.upstream = read_enum<attempts::upstream_fingerprint>(in)});
    };
    read_fields(
        in, 5,
        [&]
        {
            entry.fingerprint = read_enum<attempts::request_fingerprint>(in);
            read_items(in, read_crash);
            entry.ran_alone = in.boolean();
            entry.cleared = in.boolean();
            entry.expires_in_ms = in.integer<std::uint32_t>();
        },
        [&] { read_starts(in, entry.crashes); });
    return entry;
}

std::vector<attempts::suspect_entry> read_suspects(cbor_reader& in)
{
    std::vector<attempts::suspect_entry> suspects;
    read_items(in, [&] { suspects.push_back(read_suspect(in)); });
    return suspects;
}

std::vector<returns::request_fingerprint> read_refused(cbor_reader& in)
{
    std::vector<returns::request_fingerprint> refused;
    read_items(in, [&] { refused.push_back(read_enum<returns::request_fingerprint>(in)); });
    return refused;
}

parts::part_evidence::crash read_part_crash(cbor_reader& in)
{
    parts::part_evidence::crash crash;
    read_fields(
        in, 2,
        [&]
        {
            crash.fingerprint.upstream = read_enum<attempts::upstream_fingerprint>(in);
            crash.age = read_milliseconds<std::uint32_t>(in);
        },
        [&] { crash.fingerprint.start = read_enum<attempts::start_fingerprint>(in); });
    return crash;
}

parts::part_evidence read_part_evidence(cbor_reader& in)
{
    parts::part_evidence evidence;
    read_fields(
        in, 2,
        [&]
        {
            evidence.part = read_enum<parts::part_fingerprint>(in);
            read_items(in, [&] { evidence.crashes.push_back(read_part_crash(in)); });
        },
        [&] { evidence.sound_age = read_milliseconds<std::uint32_t>(in); });
    return evidence;
}

std::vector<parts::part_evidence> read_suspected_parts(cbor_reader& in)
{
    std::vector<parts::part_evidence> suspected;
    read_items(in, [&] { suspected.push_back(read_part_evidence(in)); });
    return suspected;
}

engines::prefill_records read_prefill_records(cbor_reader& in)
{
    return read_map<engines::prefill_records>(
        in, 3,
        [&] { return engines::prefill_record{.milliseconds = in.real(), .tokens = in.real()}; });
}

engines::pace_records read_paces(cbor_reader& in)
{
    return read_map<engines::pace_records>(
        in, 3, [&] { return engines::pace_record{.milliseconds = in.real(), .units = in.real()}; });
}

/// Empty, and the entry is skipped, if it is of another form.
std::optional<parts::part_rate> read_part_rate(cbor_reader& in)
{
    constexpr std::uint64_t without_holder = 2;
    auto entry = in;
    in.skip();
    const auto size = entry.array(without_holder);
    parts::part_rate rate{.prefix = entry.integer<std::uint64_t>(),
                          .requests_per_second = entry.real()};
    if (entry.failed())
    {
        return std::nullopt;
    }
    if (size > without_holder)
    {
        rate.holder = entry.integer<std::uint64_t>();
    }
    return rate;
}

/// Entries of another form are left out: the digest is of use without them.
std::vector<parts::part_rate> read_part_rates(cbor_reader& in)
{
    std::vector<parts::part_rate> rates;
    auto entries = in;
    in.skip();
    const auto count = entries.array();
    for (std::uint64_t index = 0; index < count && rates.size() < max_part_rates; ++index)
    {
        if (const auto rate = read_part_rate(entries))
        {
            rates.push_back(*rate);
        }
    }
    return rates;
}

/// Digests of earlier routers lack the answer's age.
table_state read_tables(cbor_reader& in)
{
    constexpr std::uint64_t without_answer_age = 5;
    constexpr std::uint64_t with_answer_age = 6;
    const auto size = in.array(without_answer_age);
    table_state state{.polls_store = in.boolean(),
                      .store_unreachable = in.boolean(),
                      .answer_count = in.integer<std::uint64_t>(),
                      .revision = in.integer<std::uint64_t>(),
                      .content_hash = in.integer<std::uint64_t>()};
    if (size >= with_answer_age)
    {
        state.answer_age = read_milliseconds<std::int64_t>(in);
    }
    in.skip(size - (size >= with_answer_age ? with_answer_age : without_answer_age));
    return state;
}

std::vector<leaving_upstream> read_leaving(cbor_reader& in)
{
    std::vector<leaving_upstream> leaving;
    read_entries(in, 2,
                 [&]
                 {
                     leaving.push_back({.id = read_id<base::upstream_id>(in),
                                        .process_start = read_milliseconds<std::int64_t>(in)});
                 });
    return leaving;
}

std::vector<zone_update> read_zones(cbor_reader& in)
{
    std::vector<zone_update> zones;
    read_entries(in, 3,
                 [&]
                 {
                     zones.push_back({.zone = read_id<base::zone_id>(in),
                                      .drained = in.boolean(),
                                      .revision = in.integer<std::uint64_t>()});
                 });
    return zones;
}

/// Returns the number of fields, after which the format has been read too; 0, and fails, for any
/// other format.
std::uint64_t read_begin(cbor_reader& in)
{
    const auto size = in.array(digest_format::required_fields);
    return in.integer<std::uint64_t>() == digest_format::version ? size : 0;
}

digest_identity read_identity(cbor_reader& in)
{
    return {.sender = read_id<base::node_id>(in),
            .incarnation = in.integer<std::uint64_t>(),
            .sequence = in.integer<std::uint64_t>()};
}

void read_required_fields(cbor_reader& in, digest& message)
{
    auto identity = read_identity(in);
    message.sender = std::move(identity.sender);
    message.incarnation = identity.incarnation;
    message.sequence = identity.sequence;
    message.zone = read_id<base::zone_id>(in);
    message.callers = read_endpoint(in);
    message.control = read_endpoint(in);
    message.datagrams = read_endpoint(in);
    message.ready = in.boolean();
    message.version = read_enum<base::config_version>(in);
    message.tables_fresh_for = read_milliseconds<std::int64_t>(in);
    message.loads = read_loads(in);
    message.usages = read_usages(in);
    message.capacity = in.real();
    message.request_rate = in.real();
    message.suspects = read_suspects(in);
    message.refused = read_refused(in);
    message.prefill_samples = read_prefill_records(in);
    message.tables = read_tables(in);
    message.leaving = read_leaving(in);
    message.zones = read_zones(in);
}

void read_optional_fields(cbor_reader& in, std::uint64_t field_count, digest& message)
{
    if (field_count > digest_format::keeps_origins)
    {
        message.keeps_origins = in.boolean();
    }
    if (field_count > digest_format::suspected_parts)
    {
        message.suspected_parts = read_suspected_parts(in);
    }
    if (field_count > digest_format::processor_limited)
    {
        message.processor_limited = in.boolean();
    }
    if (field_count > digest_format::paces)
    {
        message.paces = read_paces(in);
    }
    if (field_count > digest_format::part_rates)
    {
        message.part_rates = read_part_rates(in);
    }
    if (field_count > digest_format::fields)
    {
        in.skip(field_count - digest_format::fields);
    }
}

base::error not_a_digest()
{
    return base::make_error(base::errc::corrupt, "Datagram is not a digest of the current format.");
}

}  // namespace

base::result<digest> decode(std::string_view bytes)
{
    cbor_reader in(bytes);
    const auto field_count = read_begin(in);
    if (field_count == 0)
    {
        return not_a_digest();
    }
    digest message;
    read_required_fields(in, message);
    read_optional_fields(in, field_count, message);
    if (in.failed() || !in.at_end())
    {
        return not_a_digest();
    }
    return message;
}

base::result<digest_identity> decode_identity(std::string_view bytes)
{
    cbor_reader in(bytes);
    if (read_begin(in) == 0)
    {
        return not_a_digest();
    }
    auto identity = read_identity(in);
    if (in.failed())
    {
        return not_a_digest();
    }
    return identity;
}

}  // namespace caraway::routing
