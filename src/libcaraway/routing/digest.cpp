#include "libcaraway/routing/digest.hpp"

#include "libcaraway/routing/json_parts.hpp"

#include <cmath>

namespace caraway::routing
{

namespace
{

using nlohmann::json;

/// First field of each digest. Increase it whenever the format changes.
constexpr std::uint64_t format = 8;
constexpr std::size_t field_count = 21;
/// Absent in digests of routers that don't know about origins.
constexpr std::size_t keeps_origins_position = 21;
/// Absent in digests of routers that don't suspect parts of prompts.
constexpr std::size_t suspected_parts_position = 22;
/// Absent in digests of routers that don't tell of their processor, of paces and of parts.
constexpr std::size_t processor_limited_position = 23;
constexpr std::size_t paces_position = 24;
constexpr std::size_t part_rates_position = 25;
/// Routers send fewer.
constexpr std::size_t max_part_rates = 256;

json loads_json(const engines::upstream_loads& loads)
{
    auto out = json::array();
    for (const auto& [id, load] : loads)
    {
        out.push_back({id.str(), load.running, load.pending_prefill_tokens, load.held_tokens});
    }
    return out;
}

engines::upstream_loads parse_loads(const json& encoded)
{
    engines::upstream_loads loads;
    for (const auto& each : encoded)
    {
        loads[base::upstream_id(each.at(0).get<std::string>())] = {
            .running = each.at(1).get<std::uint32_t>(),
            .pending_prefill_tokens = each.at(2).get<std::uint64_t>(),
            .held_tokens = each.at(3).get<std::uint64_t>()};
    }
    return loads;
}

json usages_json(const workspace_usages& usages)
{
    auto out = json::array();
    for (const auto& [id, usage] : usages)
    {
        auto entry = json::array({id.str(), static_cast<std::uint64_t>(usage.demanded),
                                  static_cast<std::uint64_t>(usage.served)});
        if (usage.refused > 0)
        {
            entry.push_back(static_cast<std::uint64_t>(usage.refused));
            entry.push_back(static_cast<std::uint64_t>(usage.held_by_engines));
        }
        out.push_back(std::move(entry));
    }
    return out;
}

workspace_usages parse_usages(const json& encoded)
{
    workspace_usages usages;
    for (const auto& each : encoded)
    {
        workspace_usage usage{.demanded = each.at(1).get<double>(),
                              .served = each.at(2).get<double>()};
        const bool has_refusals = each.size() > 4;
        if (has_refusals)
        {
            usage.refused = each.at(3).get<double>();
            usage.held_by_engines = each.at(4).get<double>();
        }
        usages[base::workspace_id(each.at(0).get<std::string>())] = usage;
    }
    return usages;
}

json suspects_json(const std::vector<attempts::suspect_entry>& suspects)
{
    auto out = json::array();
    for (const auto& each : suspects)
    {
        auto marks = json::array();
        for (const auto mark : each.upstreams)
        {
            marks.push_back(static_cast<std::uint32_t>(mark));
        }
        out.push_back({static_cast<std::uint64_t>(each.fingerprint), marks, each.ran_alone,
                       each.cleared, each.expires_in_ms});
    }
    return out;
}

std::vector<attempts::suspect_entry> parse_suspects(const json& encoded)
{
    std::vector<attempts::suspect_entry> suspects;
    for (const auto& each : encoded)
    {
        attempts::suspect_entry entry{
            .fingerprint = attempts::request_fingerprint{each.at(0).get<std::uint64_t>()},
            .ran_alone = each.at(2).get<bool>(),
            .cleared = each.at(3).get<bool>(),
            .expires_in_ms = each.at(4).get<std::uint32_t>()};
        for (const auto& mark : each.at(1))
        {
            entry.upstreams.push_back(attempts::upstream_fingerprint{mark.get<std::uint32_t>()});
        }
        suspects.push_back(std::move(entry));
    }
    return suspects;
}

json marks_json(const std::vector<returns::request_fingerprint>& marks)
{
    auto out = json::array();
    for (const auto each : marks)
    {
        out.push_back(static_cast<std::uint32_t>(each));
    }
    return out;
}

std::vector<returns::request_fingerprint> parse_marks(const json& encoded)
{
    std::vector<returns::request_fingerprint> marks;
    for (const auto& each : encoded)
    {
        marks.push_back(returns::request_fingerprint{each.get<std::uint32_t>()});
    }
    return marks;
}

json suspected_parts_json(const std::vector<parts::part_evidence>& suspected)
{
    auto out = json::array();
    for (const auto& each : suspected)
    {
        auto crashes = json::array();
        for (const auto& crash : each.crashes)
        {
            crashes.push_back({static_cast<std::uint32_t>(crash.upstream), crash.age.count()});
        }
        json entry{static_cast<std::uint64_t>(each.part), std::move(crashes)};
        if (each.sound_age)
        {
            entry.push_back(each.sound_age->count());
        }
        out.push_back(std::move(entry));
    }
    return out;
}

std::vector<parts::part_evidence> parse_suspected_parts(const json& encoded)
{
    constexpr std::size_t sound_age_position = 2;
    std::vector<parts::part_evidence> suspected;
    for (const auto& each : encoded)
    {
        parts::part_evidence evidence{.part =
                                          parts::part_fingerprint{each.at(0).get<std::uint64_t>()}};
        for (const auto& crash : each.at(1))
        {
            evidence.crashes.push_back(
                {.upstream = attempts::upstream_fingerprint{crash.at(0).get<std::uint32_t>()},
                 .age = std::chrono::milliseconds(crash.at(1).get<std::uint32_t>())});
        }
        if (each.size() > sound_age_position)
        {
            evidence.sound_age =
                std::chrono::milliseconds(each.at(sound_age_position).get<std::uint32_t>());
        }
        suspected.push_back(std::move(evidence));
    }
    return suspected;
}

json prefill_records_json(const engines::prefill_records& prefill_samples)
{
    auto out = json::array();
    for (const auto& [id, record] : prefill_samples)
    {
        out.push_back({id.str(), std::llround(record.milliseconds), std::llround(record.tokens)});
    }
    return out;
}

engines::prefill_records parse_prefill_records(const json& encoded)
{
    engines::prefill_records prefill_samples;
    for (const auto& each : encoded)
    {
        prefill_samples[base::upstream_id(each.at(0).get<std::string>())] = {
            .milliseconds = each.at(1).get<double>(), .tokens = each.at(2).get<double>()};
    }
    return prefill_samples;
}

json paces_json(const engines::pace_records& paces)
{
    auto out = json::array();
    for (const auto& [id, record] : paces)
    {
        out.push_back({id.str(), record.milliseconds, record.units});
    }
    return out;
}

engines::pace_records parse_paces(const json& encoded)
{
    engines::pace_records paces;
    for (const auto& each : encoded)
    {
        paces[base::upstream_id(each.at(0).get<std::string>())] = {
            .milliseconds = each.at(1).get<double>(), .units = each.at(2).get<double>()};
    }
    return paces;
}

json part_rates_json(const std::vector<parts::part_rate>& rates)
{
    auto out = json::array();
    for (const auto& each : rates)
    {
        auto entry = json::array({each.prefix, each.requests_per_second});
        if (each.holder != 0)
        {
            entry.push_back(each.holder);
        }
        out.push_back(std::move(entry));
    }
    return out;
}

/// Entries of another form are left out: the digest is of use without them.
std::vector<parts::part_rate> parse_part_rates(const json& encoded)
{
    std::vector<parts::part_rate> rates;
    if (!encoded.is_array())
    {
        return rates;
    }
    for (const auto& each : encoded)
    {
        const bool is_rate = each.is_array() && each.size() >= 2 && each[0].is_number_unsigned() &&
                             each[1].is_number();
        if (is_rate && rates.size() < max_part_rates)
        {
            rates.push_back({.prefix = each[0].get<std::uint64_t>(),
                             .requests_per_second = each[1].get<double>(),
                             .holder = each.size() > 2 && each[2].is_number_unsigned()
                                           ? each[2].get<std::uint64_t>()
                                           : 0});
        }
    }
    return rates;
}

json tables_json(const table_state& state)
{
    return json::array({state.polls_store, state.store_unreachable, state.answer_count,
                        state.revision, state.content_hash, state.answer_age.count()});
}

table_state parse_tables(const json& encoded)
{
    constexpr std::size_t answer_age_position = 5;
    const bool has_answer_age = encoded.size() > answer_age_position;
    return {.polls_store = encoded.at(0).get<bool>(),
            .store_unreachable = encoded.at(1).get<bool>(),
            .answer_count = encoded.at(2).get<std::uint64_t>(),
            .revision = encoded.at(3).get<std::uint64_t>(),
            .content_hash = encoded.at(4).get<std::uint64_t>(),
            .answer_age = std::chrono::milliseconds(
                has_answer_age ? encoded.at(answer_age_position).get<std::int64_t>() : 0)};
}

json leaving_json(const std::vector<leaving_upstream>& leaving)
{
    auto out = json::array();
    for (const auto& each : leaving)
    {
        out.push_back({each.id.str(), each.process_start.count()});
    }
    return out;
}

std::vector<leaving_upstream> parse_leaving(const json& encoded)
{
    std::vector<leaving_upstream> leaving;
    for (const auto& each : encoded)
    {
        leaving.push_back(
            {.id = base::upstream_id(each.at(0).get<std::string>()),
             .process_start = std::chrono::milliseconds(each.at(1).get<std::int64_t>())});
    }
    return leaving;
}

digest parse_digest(const json& encoded)
{
    return {.sender = base::node_id(encoded.at(1).get<std::string>()),
            .incarnation = encoded.at(2).get<std::uint64_t>(),
            .sequence = encoded.at(3).get<std::uint64_t>(),
            .zone = base::zone_id(encoded.at(4).get<std::string>()),
            .callers = parse_endpoint(encoded.at(5)),
            .control = parse_endpoint(encoded.at(6)),
            .datagrams = parse_endpoint(encoded.at(7)),
            .ready = encoded.at(8).get<bool>(),
            .capacity = encoded.at(13).get<double>(),
            .request_rate = encoded.at(14).get<double>(),
            .version = base::config_version{encoded.at(9).get<std::uint64_t>()},
            .tables_fresh_for = std::chrono::milliseconds(encoded.at(10).get<std::int64_t>()),
            .loads = parse_loads(encoded.at(11)),
            .usages = parse_usages(encoded.at(12)),
            .suspects = parse_suspects(encoded.at(15)),
            .refused = parse_marks(encoded.at(16)),
            .prefill_samples = parse_prefill_records(encoded.at(17)),
            .leaving = parse_leaving(encoded.at(19)),
            .zones = parse_zone_updates(encoded.at(20)),
            .tables = parse_tables(encoded.at(18)),
            .keeps_origins = encoded.size() > keeps_origins_position &&
                             encoded.at(keeps_origins_position).get<bool>(),
            .suspected_parts = encoded.size() > suspected_parts_position
                                   ? parse_suspected_parts(encoded.at(suspected_parts_position))
                                   : std::vector<parts::part_evidence>{},
            .processor_limited = encoded.size() > processor_limited_position &&
                                 encoded.at(processor_limited_position).get<bool>(),
            .paces = encoded.size() > paces_position ? parse_paces(encoded.at(paces_position))
                                                     : engines::pace_records{},
            .part_rates = encoded.size() > part_rates_position
                              ? parse_part_rates(encoded.at(part_rates_position))
                              : std::vector<parts::part_rate>{}};
}

}  // namespace

std::string encode(const digest& message)
{
    const auto fields = json::array({format,
                                     message.sender.str(),
                                     message.incarnation,
                                     message.sequence,
                                     message.zone.str(),
                                     endpoint_json(message.callers),
                                     endpoint_json(message.control),
                                     endpoint_json(message.datagrams),
                                     message.ready,
                                     static_cast<std::uint64_t>(message.version),
                                     message.tables_fresh_for.count(),
                                     loads_json(message.loads),
                                     usages_json(message.usages),
                                     message.capacity,
                                     message.request_rate,
                                     suspects_json(message.suspects),
                                     marks_json(message.refused),
                                     prefill_records_json(message.prefill_samples),
                                     tables_json(message.tables),
                                     leaving_json(message.leaving),
                                     zone_updates_json(message.zones),
                                     message.keeps_origins,
                                     suspected_parts_json(message.suspected_parts),
                                     message.processor_limited,
                                     paces_json(message.paces),
                                     part_rates_json(message.part_rates)});
    std::string out;
    json::to_cbor(fields, out);
    return out;
}

base::result<digest> decode(std::string_view bytes)
{
    const auto fields = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const bool current_format =
        fields.is_array() && fields.size() >= field_count && fields.at(0) == format;
    if (!current_format)
    {
        return base::make_error(base::errc::corrupt,
                                "Datagram is not a digest of the current format.");
    }
    try
    {
        return parse_digest(fields);
    }
    catch (const json::exception& parse_error)
    {
        return base::make_error(base::errc::corrupt, parse_error.what());
    }
}

}  // namespace caraway::routing
