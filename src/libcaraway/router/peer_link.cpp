#include "libcaraway/router/peer_link.hpp"

#include <boost/asio/ip/address.hpp>

namespace caraway::router
{

namespace
{

/// In a fleet each router hears several digests in this time; longer without one means that the
/// loop is late, or that there is nobody, and then asking costs a system call at that pace.
constexpr std::chrono::milliseconds longest_unheard{200};

/// More than come within a second to a router of the largest fleets (160); a bound, so that a flood
/// of datagrams doesn't keep the loop from all else.
constexpr std::size_t heard_at_a_time = 256;

/// A peer's answer is in memory; a router that takes longer is in trouble itself.
constexpr std::chrono::milliseconds ask_timeout{500};

}  // namespace

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

bool peer_link::ask(const routing::endpoint& from, bool routers)
{
    if (caller_.busy())
    {
        return false;
    }
    auto target = "/tables?have=" + std::to_string(static_cast<std::uint64_t>(core_.version()));
    const auto known = copied_.find({from.ip, from.port});
    if (known != copied_.end())
    {
        target += "&life=" + std::to_string(known->second.life) +
                  "&since=" + std::to_string(known->second.changes);
    }
    target += routers ? "&routers=1" : "";
    caller_.call(from, http::get_request(from, target), ask_timeout,
                 [this, from](const base::result<http::whole_answer>& result)
                 { on_copy(from, result); });
    return true;
}

void peer_link::on_copy(const routing::endpoint& from,
                        const base::result<http::whole_answer>& result)
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
                       {{"peer", from.ip}, {"because", copy.error().message}});
        return;
    }
    const std::pair key(from.ip, from.port);
    if (take_copy_(copy.value()))
    {
        copied_[key] = copy.value().at;
    }
    else
    {
        copied_.erase(key);
    }
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
        core_.apply_zone_update(each, from.from.str());
    }
    // At once: the tick that looks for what is missing comes up to its whole period later.
    if (from.zone == core_.options.zone && from.version > core_.version())
    {
        ask(from.control);
    }
    core_.load_tracker.set_peer(from.from, std::move(from.loads), now);
    core_.shares.set_peer(from.from, std::move(from.usages), now);
    core_.refused_requests.merge(from.refused, now);
    if (!from.readings.empty())
    {
        core_.prefill_pace.set_peer(from.from, std::move(from.readings), now);
    }
    if (!from.suspects.empty())
    {
        core_.crashes.merge(from.suspects, now);
    }
}

}  // namespace caraway::router
