#include "carawayd/configuration/configuration_keeper.hpp"

#include "carawayd/configuration/row_bytes.hpp"
#include "libcaraway/net/platform_breaker.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QMetaObject>
#include <QPointer>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace carawayd::configuration
{

namespace base = caraway::base;
namespace config = caraway::config;
namespace net = caraway::net;

namespace
{

using base::errc;

constexpr std::size_t most_holders = 4;
constexpr std::size_t most_versions = 8;

std::chrono::milliseconds to_ms(base::duration value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

}  // namespace

configuration_keeper::configuration_keeper(keeper_options options, keeper_hooks hooks,
                                           net::platform_client& platform, const base::clock& clock,
                                           QObject* parent)
    : QObject(parent), options_(std::move(options)), hooks_(std::move(hooks)), platform_(platform),
      clock_(clock), queries_(platform)
{
}

configuration_keeper::~configuration_keeper() = default;

void configuration_keeper::start()
{
    poll();
}

void configuration_keeper::poll()
{
    const config::row_key key = config::head_key();
    platform_.get(
        key.pk, key.sk,
        [guard = QPointer<configuration_keeper>(this)](const base::result<net::platform_row>& row)
        {
            if (guard)
            {
                guard->schedule_poll();
                guard->take_head(row);
            }
        });
}

void configuration_keeper::schedule_poll()
{
    const base::duration pause =
        net::jittered_pause(0, options_.poll_interval, options_.poll_interval, hooks_.random());
    QTimer::singleShot(to_ms(pause), this, [this] { poll(); });
}

void configuration_keeper::take_head(const base::result<net::platform_row>& row)
{
    if (!row && row.error().code != errc::not_found)
    {
        head_error_ = row.error().message;
        return;
    }
    head_read_at_ = clock_.now();
    head_error_.clear();
    if (!row)
    {
        return;
    }
    const auto head = config::parse_head(body_bytes(row.value()));
    if (!head)
    {
        note(head.error());
        return;
    }
    head_version_ = head.value().version;
    offer({.version = head.value().version, .hash = head.value().hash},
          config::version_source::platform);
}

void configuration_keeper::on_peer_version(const base::node_id& node, base::config_version version,
                                           const config::sha256_hex& hash)
{
    if (version == base::config_version{} || (current() && version < current()->version))
    {
        return;
    }
    const config::version_ref heard{.version = version, .hash = hash};
    if (!current() || version > current()->version)
    {
        add_holder(node, heard);
    }
    offer(heard, config::version_source::peer);
}

void configuration_keeper::add_holder(const base::node_id& node, const config::version_ref& heard)
{
    std::deque<base::node_id>& known = holders_[heard.version];
    if (std::find(known.begin(), known.end(), node) != known.end())
    {
        return;
    }
    known.push_back(node);
    if (known.size() > most_holders)
    {
        known.pop_front();
    }
    const auto running = fetches_.find(heard.version);
    if (running != fetches_.end() && running->second.hash == heard.hash)
    {
        running->second.fetch->add_peer(node);
    }
    if (holders_.size() > most_versions)
    {
        holders_.erase(holders_.begin());
    }
}

void configuration_keeper::offer(const config::version_ref& heard, config::version_source by)
{
    const auto wanted = tracker_.offer(heard, by);
    if (!wanted)
    {
        note(wanted.error());
        return;
    }
    if (wanted.value())
    {
        fetch(*wanted.value());
    }
}

void configuration_keeper::fetch(const config::version_ref& wanted)
{
    drop_fetch(wanted.version);
    if (refused_ == wanted)
    {
        return;
    }
    const auto holders = holders_.find(wanted.version);
    document_sources sources{.peers = holders == holders_.end() ? std::deque<base::node_id>()
                                                                : holders->second,
                             .from_peer = hooks_.fetch_from_peer,
                             .peer_timeout = options_.peer_timeout};
    // The newest teller first: it is the likeliest to be alive.
    std::reverse(sources.peers.begin(), sources.peers.end());
    auto* const started = new document_fetch(
        wanted.hash, std::move(sources), platform_,
        [this, wanted](const base::result<QByteArray>& bytes) { take_document(wanted, bytes); },
        this);
    fetches_[wanted.version] = {.hash = wanted.hash, .fetch = started};
    started->start();
}

void configuration_keeper::drop_fetch(base::config_version version)
{
    const auto found = fetches_.find(version);
    if (found != fetches_.end())
    {
        // It may be calling just now.
        found->second.fetch->cancel();
        found->second.fetch->deleteLater();
        fetches_.erase(found);
    }
}

void configuration_keeper::take_document(const config::version_ref& wanted,
                                         const base::result<QByteArray>& bytes)
{
    drop_fetch(wanted.version);
    if (!bytes)
    {
        tracker_.fetch_failed(wanted);
        note(bytes.error());
        schedule_retry();
        return;
    }
    const auto taken = tracker_.fetched(wanted.version, bytes.value());
    if (taken)
    {
        announce();
        return;
    }
    note(taken.error());
    if (taken.error().code == errc::invalid_argument)
    {
        // The accepted bytes, which this program can't read, perhaps because it is older than the
        // document. Fetching them again and again would change nothing.
        refused_ = wanted;
        return;
    }
    schedule_retry();
}

void configuration_keeper::announce()
{
    failed_fetches_ = 0;
    last_problem_.clear();
    refused_.reset();
    holders_.erase(holders_.begin(), holders_.upper_bound(current()->version));
    while (!fetches_.empty() && fetches_.begin()->first <= current()->version)
    {
        drop_fetch(fetches_.begin()->first);
    }
    hooks_.in_force(current());
}

void configuration_keeper::schedule_retry()
{
    if (retry_scheduled_)
    {
        return;
    }
    retry_scheduled_ = true;
    const base::duration pause = net::jittered_pause(failed_fetches_++, options_.first_retry,
                                                     options_.longest_retry, hooks_.random());
    QTimer::singleShot(to_ms(pause), this,
                       [this]
                       {
                           retry_scheduled_ = false;
                           if (const auto wanted = tracker_.retry())
                           {
                               fetch(*wanted);
                           }
                       });
}

void configuration_keeper::note(const base::error& problem)
{
    last_problem_ = problem.message;
}

}  // namespace carawayd::configuration
