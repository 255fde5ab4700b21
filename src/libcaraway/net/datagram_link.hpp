#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/membership/messages.hpp"
#include "libcaraway/wire/codec.hpp"
#include "libcaraway/wire/sealing.hpp"

#include <QObject>
#include <QUdpSocket>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace caraway::net
{

/// Why a datagram was not delivered or not sent.
enum class drop_reason
{
    oversize,         ///< Above wire::max_datagram_bytes.
    unauthenticated,  ///< No or a wrong seal.
    malformed,        ///< Sealed by a peer, yet not readable.
    misaddressed,     ///< For another node or another life of this one.
    cut,              ///< By set_cut().
    send_failed,      ///< The socket refused it.
};

/// The stable name of a reason, as in "misaddressed".
const char* name(drop_reason reason);

/// What went over the link since it was opened. Bytes are UDP payload, seal included.
struct datagram_counters
{
    std::uint64_t datagrams_in = 0;
    std::uint64_t datagrams_out = 0;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::map<drop_reason, std::uint64_t> drops;
};

struct datagram_link_options
{
    /// This life of this node: the sender of all envelopes, and whom envelopes must be for.
    base::node_ref self;
    wire::key_ring keys;
    std::size_t target_bytes = 1200;
    /// Datagrams read in one turn of the event loop, so that a flood can't keep others from it.
    int max_reads_a_turn = 256;
};

/// The peers' UDP socket: sealed envelopes in and out, counted. Lives on the control thread.
class datagram_link : public QObject
{
    Q_OBJECT

public:
    using options = datagram_link_options;
    using receive_hook =
        std::function<void(const membership::endpoint& source, const wire::envelope& received)>;

    explicit datagram_link(options options, QObject* parent = nullptr);

    /// Port 0 takes a free one; see local().
    base::result<void> bind(const membership::endpoint& address);
    membership::endpoint local() const;
    void set_receive_hook(receive_hook hook);
    void set_keys(wire::key_ring keys);
    /// After starting again with a later life (membership::newer_incarnation_seen).
    void set_self(base::node_ref self);

    /// Sends at the end of this turn of the event loop, together with all else for that peer.
    void send(const membership::endpoint& address, const base::node_ref& to,
              std::vector<wire::message> messages);
    /// Sends what waits now, as before the process ends.
    void flush();

    const datagram_counters& counters() const
    {
        return counters_;
    }

    /// Drops everything from and to these peers, as a network partition does. For tests: only the
    /// daemon's debug option may call it.
    void set_cut(std::set<membership::endpoint> peers);

private:
    using outbox_key = std::pair<membership::endpoint, base::node_ref>;

    void read_pending();
    void handle(const QByteArray& datagram, const membership::endpoint& source);
    void write(const membership::endpoint& address, const QByteArray& payload);

    options options_;
    QUdpSocket socket_;
    receive_hook hook_;
    std::map<outbox_key, std::vector<wire::message>> outbox_;
    bool flush_scheduled_ = false;
    std::set<membership::endpoint> cut_;
    datagram_counters counters_;
};

}  // namespace caraway::net
