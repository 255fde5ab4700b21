#include "libcaraway/router/peer_link.hpp"

#include "libcaraway/routing/origin_message.hpp"

#include <boost/asio/ip/address.hpp>

#include <utility>

namespace caraway::router
{

namespace
{

/// Time without a read of the socket after which `receive_pending` reads it. In a fleet each router
/// receives several digests in this time, so a longer gap means that the event loop is late.
/// Without peers, the check costs one system call per such interval.
constexpr std::chrono::milliseconds max_receive_gap{200};

/// Bound on the datagrams processed at once, so that a flood of them doesn't starve the event loop.
/// More than a router of the largest fleets receives within a second (160).
constexpr std::size_t max_datagrams_at_once = 256;

/// A peer answers from memory; one that takes longer is overloaded or failing.
constexpr std::chrono::milliseconds copy_timeout{500};

}  // namespace

peer_link::peer_link(core& router_core, routing::peer_table& peers, routing::table_relay& relay,
                     digest_source make_digest, copy_handler handle_copy,
                     datagram_handler handle_origins)
    : core_(router_core), peers_(peers), relay_(relay), make_digest_(std::move(make_digest)),
      handle_copy_(std::move(handle_copy)), handle_origins_(std::move(handle_origins)),
      socket_(router_core.loop), caller_(router_core.loop, router_core.timers)
{
}

base::result<void> peer_link::open(routing::endpoint& local)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(local.ip, error);
    const udp::endpoint bound(ip, local.port);
    socket_.open(bound.protocol(), error);
    socket_.bind(bound, error);
    socket_.non_blocking(true, error);
    if (error)
    {
        return base::make_error(base::errc::unavailable, "Can't receive datagrams at " + local.ip +
                                                             ":" + std::to_string(local.port) +
                                                             ": " + error.message() + ".");
    }
    local.port = socket_.local_endpoint(error).port();
    last_receive_ = core_.now();
    receive();
    return base::success();
}

void peer_link::send_due_digests()
{
    send(peers_.take_due(core_.now()));
}

void peer_link::send_zone_digests()
{
    send(peers_.reachable_in_zone(core_.now()));
}

void peer_link::send(const std::vector<routing::endpoint>& receivers)
{
    if (receivers.empty())
    {
        return;
    }
    const auto bytes = routing::encode(make_digest_());
    for (const auto& each : receivers)
    {
        send_datagram(each, bytes);
    }
}

void peer_link::send_datagram(const routing::endpoint& receiver, const std::string& bytes)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(receiver.ip, error);
    // Errors are ignored: the next digest replaces one that can't be sent now, and origins are told
    // to several routers.
    socket_.send_to(boost::asio::buffer(bytes), udp::endpoint(ip, receiver.port), 0, error);
}

bool peer_link::request_copy(const routing::endpoint& peer, bool with_routers)
{
    if (caller_.busy())
    {
        return false;
    }
    auto target = "/tables?have=" + std::to_string(static_cast<std::uint64_t>(core_.version()));
    const auto known = copy_positions_.find({peer.ip, peer.port});
    if (known != copy_positions_.end())
    {
        target += "&life=" + std::to_string(known->second.incarnation) +
                  "&since=" + std::to_string(known->second.changes);
    }
    target += with_routers ? "&routers=1" : "";
    caller_.call(peer, http::get_request(peer, target), copy_timeout,
                 [this, peer](const base::result<http::buffered_answer>& result)
                 { on_copy(peer, result); });
    return true;
}

void peer_link::on_copy(const routing::endpoint& peer,
                        const base::result<http::buffered_answer>& result)
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
    const std::pair key(peer.ip, peer.port);
    if (handle_copy_(copy.value()))
    {
        copy_positions_[key] = copy.value().position;
    }
    else
    {
        copy_positions_.erase(key);
    }
}

bool peer_link::receive_pending()
{
    if (core_.now() - last_receive_ >= max_receive_gap)
    {
        receive_all();
    }
    return !awaits_confirmation();
}

void peer_link::receive_all()
{
    previous_receive_ = std::exchange(last_receive_, core_.now());
    guard_.record_look(last_receive_ - previous_receive_);
    read_datagrams();
}

void peer_link::read_datagrams()
{
    udp::endpoint sender;
    boost::system::error_code error;
    for (std::size_t count = 0; count < max_datagrams_at_once; ++count)
    {
        const auto size = socket_.receive_from(boost::asio::buffer(buffer_), sender, 0, error);
        if (error)
        {
            break;
        }
        on_datagram({buffer_.data(), size}, sender);
    }
}

void peer_link::on_datagram(std::string_view bytes, const udp::endpoint& sender)
{
    if (routing::is_origin_message(bytes))
    {
        handle_origins_(bytes, {.ip = sender.address().to_string(), .port = sender.port()});
        return;
    }
    on_digest(bytes);
}

bool peer_link::awaits_confirmation()
{
    if (guard_.is_waiting() && relay_.is_confirmed(core_.now()))
    {
        guard_.record_confirmed();
    }
    return guard_.is_waiting();
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
                               const bool awaited = awaits_confirmation();
                               receive_all();
                               if (awaited && !awaits_confirmation())
                               {
                                   core_.dispatch_waiting();
                               }
                               receive();
                           }));
}

void peer_link::on_digest(std::string_view bytes)
{
    const auto identity = routing::decode_identity(bytes);
    if (identity && peers_.is_outdated(identity.value()))
    {
        ++digests_received_;
        return;
    }
    auto decoded = routing::decode(bytes);
    if (!decoded)
    {
        core_.log.line("digest_unreadable", {{"because", decoded.error().message}});
        return;
    }
    ++digests_received_;
    auto& received = decoded.value();
    const auto now = core_.now();
    if (!peers_.record_digest(received, now))
    {
        return;
    }
    if (received.zone == core_.options.zone)
    {
        relay_.record_peer(received.sender, received.capacity, received.tables, previous_receive_);
    }
    for (const auto& each : received.leaving)
    {
        core_.directory.record_leaving(each, now);
    }
    for (const auto& each : received.zones)
    {
        core_.apply_zone_update(each, received.sender.str());
    }
    // Requested at once, as the next tick that checks for missing tables may be a whole period
    // away.
    if (received.zone == core_.options.zone && received.version > core_.version())
    {
        request_copy(received.control);
    }
    core_.load_tracker.set_peer(received.sender, std::move(received.loads), now);
    core_.shares.set_peer(received.sender, std::move(received.usages), now);
    core_.refused_requests.merge(received.refused, now);
    if (!received.prefill_samples.empty())
    {
        core_.engines.prefill.set_peer(received.sender, std::move(received.prefill_samples), now);
    }
    if (!received.paces.empty())
    {
        core_.engines.merge_peer(received.paces, now);
    }
    if (!received.part_rates.empty())
    {
        core_.placer.homes().heat().set_peer(received.sender, received.part_rates, now);
        core_.placer.copies().merge(received.part_rates, now);
    }
    if (!received.suspects.empty())
    {
        core_.crashes.merge(received.suspects, now);
    }
    if (!received.suspected_parts.empty())
    {
        core_.merge_suspected_parts(received.suspected_parts);
    }
}

}  // namespace caraway::router
