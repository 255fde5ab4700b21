#pragma once

#include "carawayd/configuration/configuration_keeper.hpp"
#include "carawayd/configuration/vm_watch.hpp"
#include "carawayd/control/membership_host.hpp"
#include "carawayd/control/once_service.hpp"
#include "carawayd/control/peer_documents.hpp"
#include "carawayd/control/scheduler_host.hpp"
#include "carawayd/traffic/control_link.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/base/error.hpp"
#include "libcaraway/config/daemon_settings.hpp"
#include "libcaraway/net/datagram_link.hpp"
#include "libcaraway/net/platform_client.hpp"

#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <cstdint>
#include <memory>

namespace carawayd::journal
{
class request_journal;
}
namespace carawayd::traffic
{
class routing_view_holder;
}

namespace carawayd::control
{

struct control_plane_options
{
    caraway::config::daemon_settings settings;
    QByteArray fleet_key;
    caraway::base::node_ref self;
    caraway::scheduling::policy policy = caraway::scheduling::policy::full;
};

/// The control state of this router, all on one thread: who is alive, what is configured, who runs
/// what. Publishes to the traffic threads what they need as a routing_view.
class control_plane : public QObject
{
public:
    control_plane(control_plane_options options, const caraway::base::clock& clock,
                  journal::request_journal& journal, traffic::routing_view_holder& view);
    ~control_plane() override;

    /// Opens the peers' port and begins to look for peers and for the configuration. The callers'
    /// port must be known by now, since peers tell it to callers.
    caraway::base::result<void> start(std::uint16_t caller_port, std::uint16_t admin_port);
    void stop();

    /// Tells peers and callers that this router is stopping.
    void begin_drain();
    bool draining() const;
    /// Requests and records that have not ended.
    std::size_t unfinished() const;

    scheduler_host& scheduler();
    once_service& once();
    configuration::configuration_keeper& keeper();
    const membership_host& members() const;

    QJsonObject status() const;
    QJsonObject dump() const;
    /// Drops all datagrams to and from these peers; for tests of partitions only.
    void set_cut(const std::set<caraway::membership::endpoint>& peers);

private:
    void create_scheduler();
    void create_platform();
    caraway::base::result<void> open_link();
    void create_membership(std::uint16_t caller_port, std::uint16_t admin_port);
    void receive(const caraway::membership::endpoint& source,
                 const caraway::wire::envelope& received);
    void send(const caraway::base::node_ref& to, caraway::scheduling::peer_message message);
    void on_members_changed();
    void on_configuration(
        const std::shared_ptr<const caraway::config::accepted_configuration>& accepted);
    void schedule_by_configuration();
    void on_vms(const std::vector<caraway::net::vm>& vms);
    void refresh();
    void publish_view();
    caraway::attempts::holder_state holder(const caraway::attempts::attempt_id& id) const;
    std::vector<caraway::membership::endpoint> seeds() const;

    control_plane_options options_;
    const caraway::base::clock& clock_;
    journal::request_journal& journal_;
    traffic::routing_view_holder& view_;
    caraway::base::time_point started_;
    bool draining_ = false;
    std::shared_ptr<const caraway::config::accepted_configuration> configuration_;

    std::unique_ptr<caraway::net::platform_client> platform_;
    std::unique_ptr<peer_documents> peer_documents_;
    std::unique_ptr<configuration::configuration_keeper> keeper_;
    std::unique_ptr<configuration::vm_watch> vm_watch_;
    std::unique_ptr<once_service> once_;
    std::unique_ptr<scheduler_host> scheduler_;
    std::unique_ptr<caraway::net::datagram_link> link_;
    std::unique_ptr<membership_host> membership_;
    QTimer refresh_timer_;
};

}  // namespace carawayd::control
