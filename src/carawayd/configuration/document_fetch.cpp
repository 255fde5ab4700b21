#include "carawayd/configuration/document_fetch.hpp"

#include "libcaraway/config/document.hpp"
#include "libcaraway/config/records.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QPointer>
#include <QTimer>

#include <utility>

namespace carawayd::configuration
{

namespace base = caraway::base;
namespace config = caraway::config;
namespace net = caraway::net;

document_fetch::document_fetch(config::sha256_hex hash, document_sources sources,
                               net::platform_client& platform, finished_handler done,
                               QObject* parent)
    : QObject(parent), hash_(std::move(hash)), sources_(std::move(sources)), platform_(platform),
      done_(std::move(done))
{
}

void document_fetch::start()
{
    ask_next();
}

void document_fetch::ask_next()
{
    if (finished_)
    {
        return;
    }
    ++attempt_;
    if (!sources_.peers.empty())
    {
        const base::node_id peer = sources_.peers.front();
        sources_.peers.pop_front();
        ask_peer(peer);
        return;
    }
    if (!asked_store_)
    {
        asked_store_ = true;
        ask_store();
        return;
    }
    finish(last_error_.value_or(base::make_error(base::errc::unavailable, "nobody to ask")));
}

void document_fetch::add_peer(const base::node_id& peer)
{
    sources_.peers.push_back(peer);
    if (asked_store_)
    {
        ask_next();
    }
}

void document_fetch::finish(base::result<QByteArray> outcome)
{
    finished_ = true;
    // The handler may let go of this object.
    const finished_handler done = std::move(done_);
    done(std::move(outcome));
}

void document_fetch::ask_peer(const base::node_id& peer)
{
    waits_for_ = "peer " + peer.str();
    QTimer::singleShot(
        sources_.peer_timeout, this,
        [this, attempt = attempt_]
        { take(attempt, base::make_error(base::errc::timeout, "no answer from " + waits_for_)); });
    sources_.from_peer(peer, hash_,
                       [guard = QPointer<document_fetch>(this),
                        attempt = attempt_](const base::result<QByteArray>& bytes)
                       {
                           if (guard)
                           {
                               guard->take(attempt, bytes);
                           }
                       });
}

void document_fetch::ask_store()
{
    waits_for_ = "the object store";
    platform_.get_object(config::object_name(hash_),
                         [guard = QPointer<document_fetch>(this),
                          attempt = attempt_](const base::result<QByteArray>& bytes)
                         {
                             if (guard)
                             {
                                 guard->take(attempt, bytes);
                             }
                         });
}

void document_fetch::take(std::uint64_t attempt, const base::result<QByteArray>& bytes)
{
    if (finished_)
    {
        return;
    }
    if (bytes && config::sha256(bytes.value()) == hash_)
    {
        finish(bytes);
        return;
    }
    if (attempt != attempt_)
    {
        return;
    }
    last_error_ =
        bytes ? base::make_error(base::errc::corrupt, waits_for_ + " gave bytes with another hash")
              : bytes.error();
    ask_next();
}

}  // namespace carawayd::configuration
