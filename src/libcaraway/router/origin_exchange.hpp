#pragma once

#include "libcaraway/router/core.hpp"
#include "libcaraway/routing/origin_keepers.hpp"
#include "libcaraway/routing/origin_lookups.hpp"
#include "libcaraway/routing/origin_message.hpp"
#include "libcaraway/routing/stream_origins.hpp"

namespace caraway::router
{

/// Keeps the origins of streams that callers may resume, tells other routers about those that begin
/// here, and asks them for others.
class origin_exchange
{
public:
    using datagram_sender = std::function<void(const routing::endpoint&, const std::string&)>;
    /// Returns the other routers that can be reached and keep origins.
    using keeper_source = std::function<std::vector<routing::origin_keeper>()>;

    origin_exchange(core& router_core, datagram_sender send, keeper_source other_routers);

    /// Is called with each stream that begins here or that another router tells of, and with the
    /// address of that router.
    std::function<void(const routing::known_stream&, const routing::endpoint* teller)> learned =
        [](const auto&, const auto*) {
        };
    /// A further router to be told of a stream, which writes it to the platform's store.
    std::function<std::optional<routing::endpoint>(const routing::known_stream&)> writer =
        [](const auto&)
    {
        return std::nullopt;
    };

    /// A stream began here. Other routers are told within a few milliseconds.
    void record(const base::request_id& first_attempt, const routing::stream_origin& origin,
                base::time_point expires);
    /// Calls back with the origin of a stream, or with nothing if no router that can be asked knows
    /// it. Calls back at once if it is known here or there is nobody to ask.
    void find(const base::request_id& first_attempt, routing::origin_lookups::callback done);
    void receive(std::string_view bytes, const routing::endpoint& sender);
    /// Adds a stream that was read from the store.
    void add(const routing::known_stream& stream);
    /// The origin, if it is known here.
    std::optional<routing::stream_origin> find_here(const base::request_id& first_attempt) const;
    /// Treats the service's streams that began here, and may be resumed, as if they just began.
    void tell_again(const base::service_id& service);
    /// Tells other routers about all known streams, as this one is about to forget them.
    void hand_over();
    void expire();
    std::size_t size() const
    {
        return known_.size();
    }

private:
    void tell_soon(const routing::known_stream& stream);
    void tell();
    void ask();
    void ask_again_later();
    routing::origin_message answer_to(const std::vector<routing::stream_key>& asked) const;

    core& core_;
    datagram_sender send_;
    keeper_source other_routers_;
    routing::stream_origins known_;
    routing::origin_lookups lookups_;
    /// Streams that others are told about next.
    std::vector<routing::known_stream> untold_;
    bool ask_scheduled_ = false;
    http::owner_token owner_;
};

}  // namespace caraway::router
