#include "libcaraway/router/origin_exchange.hpp"

#include <map>
#include <set>
#include <utility>

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Streams that begin within this time are told about in one datagram for each receiver. If the
/// router dies meanwhile, nobody knows their origins.
constexpr milliseconds tell_delay{25};
/// Keeps a datagram below the usual size of a packet.
constexpr std::size_t max_streams_per_datagram = 100;
/// Several round trips between zones.
constexpr milliseconds ask_period{50};
/// Time for a few repetitions, well below the latency targets of streams.
constexpr milliseconds lookup_timeout{300};

using receiver = std::pair<std::string, std::uint16_t>;

receiver receiver_of(const routing::endpoint& address)
{
    return {address.ip, address.port};
}

routing::endpoint address_of(const receiver& router)
{
    return {.ip = router.first, .port = router.second};
}

}  // namespace

origin_exchange::origin_exchange(core& router_core, datagram_sender send,
                                 keeper_source other_routers)
    : core_(router_core), send_(std::move(send)), other_routers_(std::move(other_routers))
{
}

void origin_exchange::record(const base::request_id& first_attempt,
                             const routing::stream_origin& origin, base::time_point expires)
{
    const routing::known_stream stream{.key = routing::key_of(first_attempt),
                                       .origin = origin,
                                       .expires = expires,
                                       .is_own = true};
    known_.record(stream, core_.now());
    learned(stream, nullptr);
    tell_soon(stream);
}

void origin_exchange::tell_again(const base::service_id& service)
{
    for (const auto& stream : known_.own(service, core_.now()))
    {
        learned(stream, nullptr);
        tell_soon(stream);
    }
}

void origin_exchange::add(const routing::known_stream& stream)
{
    known_.record(stream, core_.now());
}

std::optional<routing::stream_origin>
origin_exchange::find_here(const base::request_id& first_attempt) const
{
    return known_.find(routing::key_of(first_attempt), core_.now());
}

void origin_exchange::tell_soon(const routing::known_stream& stream)
{
    if (untold_.empty())
    {
        core_.timers.after(tell_delay, owner_.guard([this] { tell(); }));
    }
    untold_.push_back(stream);
}

void origin_exchange::tell()
{
    const auto streams = std::exchange(untold_, {});
    const routing::origin_keepers keepers(other_routers_());
    std::map<receiver, routing::origin_message> messages;
    const auto flush = [&](auto& message)
    {
        send_(address_of(message.first), routing::encode(message.second, core_.now()));
        message.second.known.clear();
    };
    for (const auto& stream : streams)
    {
        std::set<receiver> receivers;
        for (const auto* keeper : keepers.to_tell(stream.key, core_.options.zone))
        {
            receivers.insert(receiver_of(keeper->datagrams));
        }
        if (const auto address = writer(stream))
        {
            receivers.insert(receiver_of(*address));
        }
        for (const auto& each : receivers)
        {
            auto& message = *messages.try_emplace(each).first;
            message.second.known.push_back(stream);
            if (message.second.known.size() >= max_streams_per_datagram)
            {
                flush(message);
            }
        }
    }
    for (auto& message : messages)
    {
        if (!message.second.known.empty())
        {
            flush(message);
        }
    }
}

void origin_exchange::find(const base::request_id& first_attempt,
                           routing::origin_lookups::callback done)
{
    const auto key = routing::key_of(first_attempt);
    if (const auto origin = known_.find(key, core_.now()))
    {
        done(origin);
        return;
    }
    std::vector<routing::endpoint> asked;
    const routing::origin_keepers keepers(other_routers_());
    for (const auto* keeper : keepers.to_ask(key))
    {
        asked.push_back(keeper->datagrams);
    }
    if (asked.empty())
    {
        done(std::nullopt);
        return;
    }
    const auto message = routing::encode({.asked = {key}}, core_.now());
    for (const auto& router : asked)
    {
        send_(router, message);
    }
    lookups_.start(key, std::move(asked), core_.now() + lookup_timeout, std::move(done));
    ask_again_later();
}

void origin_exchange::ask_again_later()
{
    if (ask_scheduled_)
    {
        return;
    }
    ask_scheduled_ = true;
    core_.timers.after(ask_period, owner_.guard([this] { ask(); }));
}

void origin_exchange::ask()
{
    ask_scheduled_ = false;
    // On a router that is late the answers may lie unread in the socket.
    core_.receive_peer_updates();
    lookups_.expire(core_.now());
    if (lookups_.empty())
    {
        return;
    }
    std::map<receiver, routing::origin_message> messages;
    for (const auto& question : lookups_.take_due())
    {
        messages[receiver_of(question.router)].asked.push_back(question.key);
    }
    for (const auto& [router, message] : messages)
    {
        send_(address_of(router), routing::encode(message, core_.now()));
    }
    ask_again_later();
}

void origin_exchange::receive(std::string_view bytes, const routing::endpoint& sender)
{
    const auto message = routing::decode_origin_message(bytes, core_.now());
    if (!message)
    {
        core_.log.line("origins_unreadable", {{"because", message.error().message}});
        return;
    }
    for (const auto& stream : message.value().known)
    {
        known_.record(stream, core_.now());
        learned(stream, &sender);
        lookups_.record_known(stream.key, stream.origin);
    }
    for (const auto key : message.value().unknown)
    {
        lookups_.record_unknown(key, sender);
    }
    if (!message.value().asked.empty())
    {
        send_(sender, routing::encode(answer_to(message.value().asked), core_.now()));
    }
}

routing::origin_message
origin_exchange::answer_to(const std::vector<routing::stream_key>& asked) const
{
    routing::origin_message answer;
    for (const auto key : asked)
    {
        if (const auto stream = known_.find_stream(key, core_.now()))
        {
            answer.known.push_back(*stream);
        }
        else
        {
            answer.unknown.push_back(key);
        }
    }
    return answer;
}

void origin_exchange::hand_over()
{
    for (const auto& stream : known_.all(core_.now()))
    {
        tell_soon(stream);
    }
    tell();
}

void origin_exchange::expire()
{
    known_.expire(core_.now());
}

}  // namespace caraway::router
