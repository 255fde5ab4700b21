#pragma once

#include "carawayd/configuration/command_run.hpp"
#include "carawayd/configuration/configuration_queries.hpp"
#include "carawayd/configuration/document_fetch.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/base/ids.hpp"
#include "libcaraway/config/acceptance.hpp"
#include "libcaraway/config/document.hpp"
#include "libcaraway/config/records.hpp"
#include "libcaraway/config/version_tracker.hpp"
#include "libcaraway/net/platform_types.hpp"

#include <QByteArray>
#include <QJsonObject>
#include <QObject>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace caraway::net
{
class platform_client;
}

namespace carawayd::configuration
{

struct keeper_options
{
    /// Who decides before the first configuration.
    caraway::config::bootstrap_options bootstrap{};
    /// Mean time between two reads of the head row; each is jittered by half of it.
    std::chrono::milliseconds poll_interval{2000};
    /// Pause before a document that nobody gave is asked for again; doubles up to the longest.
    std::chrono::milliseconds first_retry{250};
    std::chrono::milliseconds longest_retry{4000};
    std::chrono::milliseconds peer_timeout{1000};
};

struct keeper_hooks
{
    using accepted = std::shared_ptr<const caraway::config::accepted_configuration>;

    /// Gets each configuration that goes into force, in the order of their versions.
    std::function<void(const accepted&)> in_force;
    peer_fetch fetch_from_peer;
    /// Numbers in [0, 1).
    std::function<double()> random;
};

/// A change as an operator hands it in. Here and in the commands below, `key_hash` is the SHA-256
/// of the key that the operator presented: it is judged by the accepted configuration, not by the
/// one in force here.
struct proposal
{
    caraway::config::sha256_hex key_hash;
    caraway::base::change_id change;
    caraway::base::config_version base_version{};
    QByteArray document;
    std::string note;
};

/// What exactly an operator approves.
struct change_approval
{
    caraway::config::sha256_hex key_hash;
    caraway::base::change_id change;
    caraway::base::config_version base_version{};
    caraway::config::sha256_hex hash;
};

/// Keeps the accepted configuration in force on this router. It hears of versions from the head
/// row, which it reads every few seconds, from peers' gossip and from commands carried out here;
/// gets their documents from peers or the object store; and never goes back to a lower version.
/// Without the platform it keeps what is in force and takes newer versions from peers.
///
/// Lives in the control thread; every callback comes there, and none within the call itself.
class configuration_keeper : public QObject
{
public:
    using command_callback = std::function<void(caraway::base::result<command_outcome>)>;

    configuration_keeper(keeper_options options, keeper_hooks hooks,
                         caraway::net::platform_client& platform, const caraway::base::clock& clock,
                         QObject* parent = nullptr);
    ~configuration_keeper() override;

    /// Begins to follow the head row.
    void start();

    /// A peer has this version in force, and so its document.
    void on_peer_version(const caraway::base::node_id& node, caraway::base::config_version version,
                         const caraway::config::sha256_hex& hash);

    /// The configuration in force; null until the first is.
    const std::shared_ptr<const caraway::config::accepted_configuration>& current() const
    {
        return tracker_.in_force();
    }
    /// Its document, as peers may ask for it.
    const std::shared_ptr<const caraway::config::document>& current_document() const
    {
        return tracker_.document_in_force();
    }

    /// Errors of the three commands: those of config::acceptance.
    void propose(const proposal& what, command_callback done);
    void approve(const change_approval& what, command_callback done);
    void reject(const caraway::config::sha256_hex& key_hash, const caraway::base::change_id& change,
                command_callback done);

    /// Looks up the changes that are open, the log and former documents.
    const configuration_queries& queries() const
    {
        return queries_;
    }

    /// What is in force, what is awaited and from whom, for the dump of the process.
    QJsonObject dump() const;

private:
    struct pending_fetch
    {
        caraway::config::sha256_hex hash;
        document_fetch* fetch = nullptr;  ///< A child of this object.
    };

    void poll();
    void schedule_poll();
    void take_head(const caraway::base::result<caraway::net::platform_row>& row);
    void add_holder(const caraway::base::node_id& node, const caraway::config::version_ref& heard);
    void offer(const caraway::config::version_ref& heard, caraway::config::version_source by);
    void fetch(const caraway::config::version_ref& wanted);
    void take_document(const caraway::config::version_ref& wanted,
                       const caraway::base::result<QByteArray>& bytes);
    void announce();
    void drop_fetch(caraway::base::config_version version);
    void schedule_retry();
    void note(const caraway::base::error& problem);

    void run(const caraway::config::sha256_hex& key_hash,
             decltype(caraway::config::command::operation) what, command_callback done);
    void take_outcome(caraway::base::result<command_outcome> outcome, const command_callback& done);
    void take_accepted(const command_outcome& outcome);

    std::string waits_for() const;

    keeper_options options_;
    keeper_hooks hooks_;
    caraway::net::platform_client& platform_;
    const caraway::base::clock& clock_;
    configuration_queries queries_;
    caraway::config::version_tracker tracker_;
    std::map<caraway::base::config_version, pending_fetch> fetches_;
    /// Who told of a version that isn't in force yet, newest last; a few each.
    std::map<caraway::base::config_version, std::deque<caraway::base::node_id>> holders_;
    /// Accepted, but not readable here.
    std::optional<caraway::config::version_ref> refused_;
    std::uint32_t failed_fetches_ = 0;
    bool retry_scheduled_ = false;

    std::optional<caraway::base::time_point> head_read_at_;
    caraway::base::config_version head_version_{};
    std::string head_error_;
    std::string last_problem_;
    std::uint32_t commands_running_ = 0;
};

}  // namespace carawayd::configuration
