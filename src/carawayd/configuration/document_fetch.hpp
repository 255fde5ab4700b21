#pragma once

#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/config/configuration.hpp"

#include <QByteArray>
#include <QObject>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace caraway::net
{
class platform_client;
}

namespace carawayd::configuration
{

/// Asks one peer for the document with a hash.
using peer_fetch =
    std::function<void(const caraway::base::node_id& peer, const caraway::config::sha256_hex& hash,
                       std::function<void(caraway::base::result<QByteArray>)>)>;

/// What a fetch needs besides its document's hash.
struct document_sources
{
    /// Peers that are said to hold it, asked first: that spares the platform hundreds of reads
    /// for each change.
    std::deque<caraway::base::node_id> peers;
    peer_fetch from_peer;
    /// For one peer. Without it a peer that falls silent would hold up the version for good.
    std::chrono::milliseconds peer_timeout{1000};
};

/// Gets one document from the first source that gives bytes with the right hash: the peers, then
/// the object store. One object a fetch; the owner may delete it at any time.
class document_fetch : public QObject
{
public:
    using finished_handler = std::function<void(caraway::base::result<QByteArray>)>;

    document_fetch(caraway::config::sha256_hex hash, document_sources sources,
                   caraway::net::platform_client& platform, finished_handler done,
                   QObject* parent = nullptr);

    void start();

    /// Another peer that holds it. Asked at once if only the store is left, which may hang.
    void add_peer(const caraway::base::node_id& peer);

    /// From now on nothing is asked and nobody called.
    void cancel()
    {
        finished_ = true;
    }

    /// Where the document is expected from just now, for the dump.
    const std::string& waits_for() const
    {
        return waits_for_;
    }

private:
    void ask_next();
    void ask_peer(const caraway::base::node_id& peer);
    void ask_store();
    /// Right bytes end the fetch, however late they come; a failure counts only for the attempt
    /// that is under way.
    void finish(caraway::base::result<QByteArray> outcome);
    void take(std::uint64_t attempt, const caraway::base::result<QByteArray>& bytes);

    caraway::config::sha256_hex hash_;
    document_sources sources_;
    caraway::net::platform_client& platform_;
    finished_handler done_;
    std::string waits_for_;
    std::uint64_t attempt_ = 0;
    bool asked_store_ = false;
    bool finished_ = false;
    std::optional<caraway::base::error> last_error_;
};

}  // namespace carawayd::configuration
