#include "libcaraway/routing/digest.hpp"

#include "libcaraway/routing/json_parts.hpp"

#include <cmath>

namespace caraway::routing
{

namespace
{

using nlohmann::json;

/// First field of each digest; another format gets another number.
constexpr std::uint64_t format = 8;
constexpr std::size_t fields = 21;

json loads_json(const upstream_loads& loads)
{
    auto out = json::array();
    for (const auto& [id, load] : loads)
    {
        out.push_back({id.str(), load.running, load.unread_tokens, load.held_tokens});
    }
    return out;
}

upstream_loads loads_of(const json& from)
{
    upstream_loads loads;
    for (const auto& each : from)
    {
        loads[base::upstream_id(each.at(0).get<std::string>())] = {
            .running = each.at(1).get<std::uint32_t>(),
            .unread_tokens = each.at(2).get<std::uint64_t>(),
            .held_tokens = each.at(3).get<std::uint64_t>()};
    }
    return loads;
}

json usages_json(const workspace_usages& usages)
{
    auto out = json::array();
    for (const auto& [id, usage] : usages)
    {
        out.push_back({id.str(), static_cast<std::uint64_t>(usage.asked),
                       static_cast<std::uint64_t>(usage.served)});
    }
    return out;
}

workspace_usages usages_of(const json& from)
{
    workspace_usages usages;
    for (const auto& each : from)
    {
        usages[base::workspace_id(each.at(0).get<std::string>())] = {
            .asked = each.at(1).get<double>(), .served = each.at(2).get<double>()};
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
        out.push_back({static_cast<std::uint64_t>(each.fingerprint), marks, each.alone,
                       each.cleared, each.expires_in_ms});
    }
    return out;
}

std::vector<attempts::suspect_entry> suspects_of(const json& from)
{
    std::vector<attempts::suspect_entry> suspects;
    for (const auto& each : from)
    {
        attempts::suspect_entry entry{
            .fingerprint = attempts::request_fingerprint{each.at(0).get<std::uint64_t>()},
            .alone = each.at(2).get<bool>(),
            .cleared = each.at(3).get<bool>(),
            .expires_in_ms = each.at(4).get<std::uint32_t>()};
        for (const auto& mark : each.at(1))
        {
            entry.upstreams.push_back(attempts::upstream_mark{mark.get<std::uint32_t>()});
        }
        suspects.push_back(std::move(entry));
    }
    return suspects;
}

json marks_json(const std::vector<request_mark>& marks)
{
    auto out = json::array();
    for (const auto each : marks)
    {
        out.push_back(static_cast<std::uint32_t>(each));
    }
    return out;
}

std::vector<request_mark> marks_of(const json& from)
{
    std::vector<request_mark> marks;
    for (const auto& each : from)
    {
        marks.push_back(request_mark{each.get<std::uint32_t>()});
    }
    return marks;
}

json readings_json(const reading_records& readings)
{
    auto out = json::array();
    for (const auto& [id, seen] : readings)
    {
        out.push_back({id.str(), std::llround(seen.milliseconds), std::llround(seen.tokens)});
    }
    return out;
}

reading_records readings_of(const json& from)
{
    reading_records readings;
    for (const auto& each : from)
    {
        readings[base::upstream_id(each.at(0).get<std::string>())] = {
            .milliseconds = each.at(1).get<double>(), .tokens = each.at(2).get<double>()};
    }
    return readings;
}

json tables_json(const table_state& of)
{
    return json::array({of.follows, of.lost, of.answers, of.revision, of.mark});
}

table_state tables_of(const json& from)
{
    return {.follows = from.at(0).get<bool>(),
            .lost = from.at(1).get<bool>(),
            .answers = from.at(2).get<std::uint64_t>(),
            .revision = from.at(3).get<std::uint64_t>(),
            .mark = from.at(4).get<std::uint64_t>()};
}

json leaving_json(const std::vector<leaving_upstream>& leaving)
{
    auto out = json::array();
    for (const auto& each : leaving)
    {
        out.push_back({each.id.str(), each.born.count()});
    }
    return out;
}

std::vector<leaving_upstream> leaving_of(const json& from)
{
    std::vector<leaving_upstream> leaving;
    for (const auto& each : from)
    {
        leaving.push_back({.id = base::upstream_id(each.at(0).get<std::string>()),
                           .born = std::chrono::milliseconds(each.at(1).get<std::int64_t>())});
    }
    return leaving;
}

digest digest_of(const json& from)
{
    return {.sender = base::node_id(from.at(1).get<std::string>()),
            .incarnation = from.at(2).get<std::uint64_t>(),
            .sequence = from.at(3).get<std::uint64_t>(),
            .zone = base::zone_id(from.at(4).get<std::string>()),
            .callers = parse_endpoint(from.at(5)),
            .control = parse_endpoint(from.at(6)),
            .datagrams = parse_endpoint(from.at(7)),
            .ready = from.at(8).get<bool>(),
            .capacity = from.at(13).get<double>(),
            .request_rate = from.at(14).get<double>(),
            .version = base::config_version{from.at(9).get<std::uint64_t>()},
            .tables_fresh_for = std::chrono::milliseconds(from.at(10).get<std::int64_t>()),
            .loads = loads_of(from.at(11)),
            .usages = usages_of(from.at(12)),
            .suspects = suspects_of(from.at(15)),
            .refused = marks_of(from.at(16)),
            .prefill_records = readings_of(from.at(17)),
            .leaving = leaving_of(from.at(19)),
            .zones = parse_zone_updates(from.at(20)),
            .tables = tables_of(from.at(18))};
}

}  // namespace

std::string encode(const digest& what)
{
    const auto all = json::array({format,
                                  what.sender.str(),
                                  what.incarnation,
                                  what.sequence,
                                  what.zone.str(),
                                  endpoint_json(what.callers),
                                  endpoint_json(what.control),
                                  endpoint_json(what.datagrams),
                                  what.ready,
                                  static_cast<std::uint64_t>(what.version),
                                  what.tables_fresh_for.count(),
                                  loads_json(what.loads),
                                  usages_json(what.usages),
                                  what.capacity,
                                  what.request_rate,
                                  suspects_json(what.suspects),
                                  marks_json(what.refused),
                                  readings_json(what.prefill_records),
                                  tables_json(what.tables),
                                  leaving_json(what.leaving),
                                  zone_updates_json(what.zones)});
    std::string out;
    json::to_cbor(all, out);
    return out;
}

base::result<digest> decode(std::string_view bytes)
{
    const auto all = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    const bool known = all.is_array() && all.size() >= fields && all.at(0) == format;
    if (!known)
    {
        return base::make_error(base::errc::corrupt, "A datagram that is no digest.");
    }
    try
    {
        return digest_of(all);
    }
    catch (const json::exception& wrong)
    {
        return base::make_error(base::errc::corrupt, wrong.what());
    }
}

}  // namespace caraway::routing
