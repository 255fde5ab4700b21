#pragma once

#include "libcaraway/http/owner_token.hpp"
#include "libcaraway/http/whole_call.hpp"
#include "libcaraway/router/core.hpp"
#include "libcaraway/router/table_copy.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>

namespace caraway::router
{

/// Speaks with the other routers: digests by datagram, copies of the platform's tables by HTTP.
class peer_link
{
public:
    /// Whether this router holds now what the copy told, so that the next may be partial.
    using copy_handler = std::function<bool(const table_copy&)>;
    using digest_source = std::function<routing::digest()>;

    peer_link(core& shared, routing::peer_table& peers, routing::table_relay& relay,
              digest_source make_digest, copy_handler take_copy);

    /// Receives digests there; a port 0 becomes the one that it got.
    base::result<void> open(routing::endpoint& at);

    /// Sends digests to whom they are due.
    void send_due_digests();
    /// Something changed that the routers of this zone should hear of at once.
    void send_zone_digests();
    /// Takes in all datagrams that wait, if none was for a while. On a small VM in a burst a turn
    /// of the loop takes a second and more; a request that was placed in it went to an upstream
    /// that had left 3 to 4 s before, though the word of it lay here.
    void receive_pending();
    /// Asks for a copy of the tables unless a question is under way; whether it did. Of
    /// upstreams that were copied from there before only the changes are told; `routers` if those
    /// that the peer knows are wanted besides.
    bool request_copy(const routing::endpoint& from, bool routers = false);
    /// Questions in a row that got no answer.
    std::size_t unanswered() const
    {
        return unanswered_;
    }
    /// Digests taken in, ever.
    std::uint64_t digests_received() const
    {
        return heard_;
    }

private:
    using udp = boost::asio::ip::udp;

    void send(const std::vector<routing::endpoint>& to);
    void receive();
    /// Takes in all that waits. With one datagram a turn, the newest waited longest: behind some
    /// hundred others on a VM whose turns take tens of milliseconds.
    void hear_all();
    void on_digest(std::string_view bytes);
    void on_copy(const routing::endpoint& from, const base::result<http::whole_answer>& result);

    core& core_;
    routing::peer_table& peers_;
    routing::table_relay& relay_;
    digest_source make_digest_;
    copy_handler take_copy_;
    /// What this router holds of each peer's tables, by where it asks the peer.
    std::map<std::pair<std::string, std::uint16_t>, copy_position> copied_;
    udp::socket socket_;
    base::time_point last_heard_{};
    std::size_t unanswered_ = 0;
    std::uint64_t heard_ = 0;
    std::array<char, 65536> buffer_{};
    http::whole_caller caller_;
    http::owner_token owner_;
};

}  // namespace caraway::router
