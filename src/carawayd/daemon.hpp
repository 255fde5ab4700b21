#pragma once

#include "carawayd/admin/admin_server.hpp"
#include "carawayd/control/control_plane.hpp"
#include "carawayd/journal/request_journal.hpp"
#include "carawayd/supervision/supervisor.hpp"
#include "carawayd/traffic/control_link.hpp"
#include "carawayd/traffic/routing_view.hpp"
#include "carawayd/traffic/traffic_metrics.hpp"
#include "carawayd/traffic/traffic_pool.hpp"
#include "libcaraway/base/clock.hpp"
#include "libcaraway/config/daemon_settings.hpp"
#include "libcaraway/metrics/registry.hpp"
#include "libcaraway/rpc/rpc_endpoint.hpp"

#include <QObject>
#include <QThread>
#include <QTimer>

#include <atomic>
#include <cstdint>
#include <memory>

namespace carawayd
{

struct daemon_options
{
    caraway::config::daemon_settings settings;
    QByteArray fleet_key;
    caraway::scheduling::policy policy = caraway::scheduling::policy::full;
    bool allow_faults = false;
};

/// The whole process: builds its parts, puts them under the supervisors, and ends them in order.
/// Lives on the control thread.
class daemon : public QObject
{
public:
    daemon(daemon_options options, const caraway::base::clock& clock, QObject* parent = nullptr);
    ~daemon() override;

    void start();
    /// Graceful shutdown: serves what comes until callers' addresses have run out, then what is in
    /// flight, then ends the process. Asked again, nothing changes.
    void drain();

private:
    void build_control_link();
    void build_supervisors();
    void add_rpc_methods();
    std::unique_ptr<supervision::supervisor> traffic_supervisor();
    admin::admin_hooks admin_hooks();
    caraway::base::result<void> start_admin();
    void stop_admin();
    void check_drained();

    daemon_options options_;
    const caraway::base::clock& clock_;
    caraway::base::node_ref self_;
    caraway::metrics::registry registry_;
    journal::request_journal journal_;
    traffic::routing_view_holder view_;
    traffic::traffic_metrics traffic_metrics_;
    traffic::control_link control_link_;
    std::atomic<std::uint64_t> last_request_ = 0;
    caraway::rpc::rpc_endpoint endpoint_;
    std::unique_ptr<control::control_plane> control_;
    std::unique_ptr<traffic::traffic_pool> traffic_;
    QThread admin_thread_;
    std::unique_ptr<admin::admin_server> admin_;
    std::unique_ptr<supervision::supervisor> root_;
    QTimer drain_timer_;
    caraway::base::time_point drain_started_;
};

}  // namespace carawayd
