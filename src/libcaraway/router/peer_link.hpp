#pragma once

#include "libcaraway/http/buffered_call.hpp"
#include "libcaraway/http/owner_token.hpp"
#include "libcaraway/router/core.hpp"
#include "libcaraway/router/table_copy.hpp"
#include "libcaraway/routing/standstill_guard.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace caraway::router
{

/// Exchanges digests with the other routers by UDP, and requests copies of the platform's tables
/// from them by HTTP.
class peer_link
{
public:
    /// Applies a received copy. Returns whether this router's upstreams are now equal to the
    /// peer's, so that the next copy from that peer may be partial.
    using copy_handler = std::function<bool(const table_copy&)>;
    using digest_source = std::function<routing::digest()>;
    /// Receives the datagrams that aren't digests, with the address of their sender.
    using datagram_handler = std::function<void(std::string_view, const routing::endpoint&)>;

    peer_link(core& router_core, routing::peer_table& peers, routing::table_relay& relay,
              digest_source make_digest, copy_handler handle_copy, datagram_handler handle_origins);

    /// Starts receiving digests at `local`; a port of 0 is replaced by the one that was assigned.
    /// Errors: `unavailable` if the address can't be bound.
    base::result<void> open(routing::endpoint& local);

    /// Sends a digest to each peer that one is due to.
    void send_due_digests();
    /// Sends a digest to all reachable peers of this zone at once, after an important change.
    void send_zone_digests();
    /// Sends a datagram of another kind, which may get lost.
    void send_datagram(const routing::endpoint& receiver, const std::string& bytes);
    /// Processes all pending datagrams unless the socket was read recently. On a small VM under a
    /// burst of load, one iteration of the event loop takes more than a second; a request placed
    /// during it went to an upstream that had left 3 to 4 s before, while the digest that reported
    /// this was waiting in the socket.
    /// Returns false while requests must wait; see awaits_confirmation.
    bool receive_pending();
    /// Whether requests must wait, as this router stood still and nobody has confirmed what it
    /// knows of upstreams since.
    bool awaits_confirmation();
    /// Requests a copy of the tables from the peer with this control address. Returns false, and
    /// does nothing, while another request is in flight. If the peer's upstreams were copied
    /// before, only the changes since then are requested. `with_routers` requests the peer's list
    /// of routers even in a partial copy.
    bool request_copy(const routing::endpoint& peer, bool with_routers = false);
    /// Number of consecutive requests that failed.
    std::size_t unanswered() const
    {
        return unanswered_;
    }
    /// Number of digests received since the process started.
    std::uint64_t digests_received() const
    {
        return digests_received_;
    }

private:
    using udp = boost::asio::ip::udp;

    void send(const std::vector<routing::endpoint>& receivers);
    void receive();
    /// Processes all pending datagrams. With one datagram per iteration of the event loop, the
    /// newest would wait behind about a hundred others on a VM whose iterations take tens of
    /// milliseconds.
    void receive_all();
    void read_datagrams();
    void on_datagram(std::string_view bytes, const udp::endpoint& sender);
    void on_digest(std::string_view bytes);
    void on_copy(const routing::endpoint& peer, const base::result<http::buffered_answer>& result);

    core& core_;
    routing::peer_table& peers_;
    routing::table_relay& relay_;
    digest_source make_digest_;
    copy_handler handle_copy_;
    datagram_handler handle_origins_;
    /// Position of the last copy applied from each peer, by the peer's control address.
    std::map<std::pair<std::string, std::uint16_t>, copy_position> copy_positions_;
    udp::socket socket_;
    base::time_point last_receive_{};
    /// The read before that: the datagrams being processed arrived after it.
    base::time_point previous_receive_{};
    routing::standstill_guard guard_;
    std::size_t unanswered_ = 0;
    std::uint64_t digests_received_ = 0;
    std::array<char, 65536> buffer_{};
    http::buffered_caller caller_;
    http::owner_token owner_;
};

}  // namespace caraway::router
