#include "libcaraway/router/peer_link.hpp"

#include "libcaraway/routing/json_parts.hpp"

#include <boost/asio/ip/address.hpp>

namespace caraway::router
{

namespace
{

using nlohmann::json;
using routing::endpoint_json;
using routing::endpoint_of;

/// In a fleet each router hears several digests in this time; longer without one means that the
/// loop is late, or that there is nobody, and then asking costs a system call at that pace.
constexpr std::chrono::milliseconds longest_unheard{200};

/// More than come within a second to a router of the largest fleets (160); a bound, so that a flood
/// of datagrams doesn't keep the loop from all else.
constexpr std::size_t heard_at_a_time = 256;

/// A peer's answer is in memory; a router that takes longer is in trouble itself.
constexpr std::chrono::milliseconds ask_timeout{500};

}  // namespace

std::string encode(const table_copy& copy)
{
    auto upstreams = json::array();
    for (const auto& each : copy.upstreams)
    {
        upstreams.push_back({each.key, each.value, each.revision});
    }
    auto routers = json::array();
    for (const auto& each : copy.routers)
    {
        routers.push_back({each.id.str(), each.life, each.zone.str(), endpoint_json(each.callers),
                           endpoint_json(each.control), endpoint_json(each.datagrams)});
    }
    return json{{"from", copy.from.str()},
                {"configuration", copy.configuration},
                {"configuration_version", static_cast<std::uint64_t>(copy.version)},
                {"upstreams", upstreams},
                {"revision", copy.state.revision},
                {"mark", copy.state.mark},
                {"zones", routing::zones_json(copy.zones)},
                {"routers", routers}}
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

base::result<table_copy> decode_copy(const std::string& text)
{
    try
    {
        const auto from = json::parse(text);
        table_copy copy{
            .from = base::node_id(from.at("from").get<std::string>()),
            .configuration = from.at("configuration").get<std::string>(),
            .version = base::config_version{from.at("configuration_version").get<std::uint64_t>()},
            .state = {.revision = from.at("revision").get<std::uint64_t>(),
                      .mark = from.at("mark").get<std::uint64_t>()},
            .zones = routing::zones_of(from.at("zones"))};
        for (const auto& each : from.at("upstreams"))
        {
            copy.upstreams.push_back({.key = each.at(0).get<std::string>(),
                                      .value = each.at(1).get<std::string>(),
                                      .revision = each.at(2).get<std::uint64_t>()});
        }
        for (const auto& each : from.at("routers"))
        {
            copy.routers.push_back({.id = base::node_id(each.at(0).get<std::string>()),
                                    .life = each.at(1).get<std::uint64_t>(),
                                    .zone = base::zone_id(each.at(2).get<std::string>()),
                                    .callers = endpoint_of(each.at(3)),
                                    .control = endpoint_of(each.at(4)),
                                    .datagrams = endpoint_of(each.at(5))});
        }
        return copy;
    }
    catch (const json::exception& wrong)
    {
        return base::make_error(base::errc::corrupt, wrong.what());
    }
}

peer_link::peer_link(core& shared, routing::peer_table& peers, routing::table_relay& relay,
                     digest_source make_digest, copy_taker take_copy)
    : core_(shared), peers_(peers), relay_(relay), make_digest_(std::move(make_digest)),
      take_copy_(std::move(take_copy)), socket_(shared.loop), caller_(shared.loop, shared.timers)
{
}

base::result<void> peer_link::open(routing::endpoint& at)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(at.ip, error);
    const udp::endpoint local(ip, at.port);
    socket_.open(local.protocol(), error);
    socket_.bind(local, error);
    socket_.non_blocking(true, error);
    if (error)
    {
        return base::make_error(base::errc::unavailable, "Can't receive datagrams at " + at.ip +
                                                             ":" + std::to_string(at.port) + ": " +
                                                             error.message() + ".");
    }
    at.port = socket_.local_endpoint(error).port();
    receive();
    return base::success();
}

void peer_link::tell()
{
    send(peers_.take_due(core_.now()));
}

void peer_link::tell_zone()
{
    send(peers_.heard_in_zone(core_.now()));
}

void peer_link::send(const std::vector<routing::endpoint>& to)
{
    if (to.empty())
    {
        return;
    }
    const auto bytes = routing::encode(make_digest_());
    for (const auto& each : to)
    {
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address(each.ip, error);
        // A digest that can't be sent now is replaced by the next.
        socket_.send_to(boost::asio::buffer(bytes), udp::endpoint(ip, each.port), 0, error);
    }
}

bool peer_link::ask(const routing::endpoint& from)
{
    if (caller_.busy())
    {
        return false;
    }
    const auto have = std::to_string(static_cast<std::uint64_t>(core_.version()));
    caller_.call(from, http::get_request(from, "/tables?have=" + have), ask_timeout,
                 [this, peer = from](base::result<http::whole_answer> result)
                 {
                     unanswered_ = result ? 0 : unanswered_ + 1;
                     if (!result || result.value().status != 200)
                     {
                         return;
                     }
                     const auto copy = decode_copy(result.value().body);
                     if (!copy)
                     {
                         core_.log.line("peer_copy_unreadable",
                                        {{"peer", peer.ip}, {"because", copy.error().message}});
                         return;
                     }
                     take_copy_(copy.value());
                 });
    return true;
}

void peer_link::hear_waiting()
{
    if (core_.now() - last_heard_ >= longest_unheard)
    {
        hear_all();
    }
}

void peer_link::hear_all()
{
    last_heard_ = core_.now();
    udp::endpoint sender;
    boost::system::error_code error;
    for (std::size_t count = 0; count < heard_at_a_time; ++count)
    {
        const auto size = socket_.receive_from(boost::asio::buffer(buffer_), sender, 0, error);
        if (error)
        {
            return;
        }
        on_digest({buffer_.data(), size});
    }
}

void peer_link::receive()
{
    socket_.async_wait(udp::socket::wait_read,
                       owner_.guard(
                           [this](const boost::system::error_code& error)
                           {
                               if (error == boost::asio::error::operation_aborted)
                               {
                                   return;
                               }
                               hear_all();
                               receive();
                           }));
}

void peer_link::on_digest(std::string_view bytes)
{
    auto received = routing::decode(bytes);
    if (!received)
    {
        core_.log.line("digest_unreadable", {{"because", received.error().message}});
        return;
    }
    ++heard_;
    auto& from = received.value();
    const auto now = core_.now();
    if (!peers_.heard(from, now))
    {
        return;
    }
    if (from.zone == core_.options.zone)
    {
        relay_.heard(from.from, from.capacity, from.tables, now);
    }
    for (const auto& each : from.leaving)
    {
        core_.directory.leaves(each, now);
    }
    for (const auto& each : from.zones)
    {
        core_.note_zone(each, from.from.str());
    }
    // At once: the tick that looks for what is missing comes up to its whole period later.
    if (from.zone == core_.options.zone && from.version > core_.version())
    {
        ask(from.control);
    }
    core_.board.set_peer(from.from, std::move(from.loads), now);
    core_.shares.set_peer(from.from, std::move(from.usages), now);
    core_.refused.merge(from.refused, now);
    if (!from.readings.empty())
    {
        core_.pace.set_peer(from.from, std::move(from.readings), now);
    }
    if (!from.suspects.empty())
    {
        core_.crashes.merge(from.suspects, now);
    }
}

}  // namespace caraway::router
