#pragma once

#include "libcaraway/base/error.hpp"
#include "libfleet/layout.hpp"
#include "libfleet/network_reservation.hpp"
#include "libfleet/process.hpp"

#include <QJsonObject>
#include <QJsonValue>
#include <QTemporaryDir>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fleet
{

/// Where a process of the fleet listens.
struct address
{
    std::string host;
    std::uint16_t port = 0;
};

/// A whole fleet on loopback addresses, for the demo, measurements and tests: platform, engines and
/// services as stand-ins, and real routers. Processes end with this object.
class fleet
{
public:
    explicit fleet(layout wanted);
    ~fleet();

    /// Starts everything, then proposes, approves and waits for the first configuration.
    caraway::base::result<void> start();

    // Single steps of start(), for tests.
    caraway::base::result<void> start_upstreams();
    caraway::base::result<void> start_platform();
    caraway::base::result<void> start_router(std::size_t index);
    /// Also again, on its former port, after it was killed.
    caraway::base::result<void> start_engine(std::size_t index);
    caraway::base::result<void> accept_configuration(const QJsonObject& document);
    /// Waits until the routers given serve this version at least.
    caraway::base::result<void> wait_in_force(const std::vector<std::size_t>& routers,
                                              std::uint64_t version,
                                              std::chrono::milliseconds patience);

    /// The configuration as it follows from the layout.
    QJsonObject configuration() const;
    /// Writes it as an operator would keep it: a folder with a file for each part. Gives back the
    /// folder.
    caraway::base::result<QString> write_configuration_folder() const;

    const layout& plan() const;
    process& router(std::size_t index);
    process& engine(std::size_t index);
    process& service(std::size_t index);
    process& platform();
    address router_callers(std::size_t index) const;
    address router_admin(std::size_t index) const;
    address router_peers(std::size_t index) const;
    address engine_address(std::size_t index) const;
    address service_address(std::size_t index) const;
    address platform_address() const;

    /// The key of a workspace, and of the operators "proposer" and "approver".
    std::string workspace_key(const std::string& workspace) const;
    std::string operator_key(const std::string& name) const;

    /// Calls a method of a router as an operator.
    caraway::base::result<QJsonValue> rpc(std::size_t router, const std::string& method,
                                          const QJsonObject& params = {},
                                          const std::string& as = "proposer") const;
    /// POSTs JSON to a stand-in's /_control.
    caraway::base::result<void> control(const address& where, const QJsonObject& switches) const;
    /// GETs JSON from anywhere in the fleet.
    caraway::base::result<QJsonObject> get_json(const address& where, const QString& path) const;

    QString folder() const;
    /// The loopback network that this fleet alone uses; 0 if it got none, and then nothing starts.
    int network() const;

private:
    QString program(const char* name) const;
    QString log_file(const std::string& name) const;
    std::string host(int kind, std::size_t index) const;
    caraway::base::result<void> start_service(std::size_t index);
    QJsonObject router_settings(std::size_t index) const;
    QJsonObject upstreams() const;

    layout plan_;
    QTemporaryDir folder_;
    caraway::base::result<network_reservation> network_;
    std::unique_ptr<process> platform_;
    std::vector<std::unique_ptr<process>> engines_;
    std::vector<std::unique_ptr<process>> services_;
    std::vector<std::unique_ptr<process>> routers_;
    std::uint16_t platform_port_ = 0;
    std::vector<std::uint16_t> engine_ports_;
    std::vector<std::uint16_t> service_ports_;
    std::uint32_t changes_ = 0;
};

}  // namespace fleet
