#include "libfleet/fleet.hpp"

#include "libcaraway/config/document.hpp"
#include "libcaraway/rpc/methods.hpp"
#include "libcaraway/rpc/rpc_client.hpp"
#include "libfleet/http.hpp"

#include <QDir>
#include <QElapsedTimer>
#include <QFile>
#include <QJsonArray>
#include <QJsonDocument>
#include <QThread>

#include <utility>

namespace fleet
{

using caraway::base::errc;
using caraway::base::make_error;
using caraway::base::result;
using caraway::base::success;

namespace methods = caraway::rpc::methods;

namespace
{

constexpr std::uint16_t callers_port = 8080;
constexpr std::uint16_t admin_port = 8081;
constexpr std::uint16_t peers_port = 7946;
/// Kinds of processes, as the third number of their addresses: 127.<network>.<kind>.<index + 1>.
constexpr int routers_kind = 0;
constexpr int engines_kind = 1;
constexpr int services_kind = 2;
constexpr int platform_kind = 3;
constexpr std::chrono::milliseconds ready_patience{20000};
constexpr unsigned long poll_ms = 20;

QJsonArray hashes_of(const std::string& key)
{
    return {QString::fromStdString(caraway::config::sha256(QByteArray::fromStdString(key)))};
}

QJsonObject operator_account(const std::string& key, bool may_propose, bool may_approve)
{
    return {
        {"key_hashes", hashes_of(key)}, {"may_propose", may_propose}, {"may_approve", may_approve}};
}

result<void> write_json(const QString& name, const QJsonObject& content)
{
    QFile file(name);
    if (!file.open(QIODevice::WriteOnly) || file.write(QJsonDocument(content).toJson()) < 0)
    {
        return make_error(errc::unavailable, (name + ": " + file.errorString()).toStdString());
    }
    return success();
}

QJsonObject merged(QJsonObject base, const QJsonObject& over)
{
    for (auto member = over.begin(); member != over.end(); ++member)
    {
        base[member.key()] =
            member->isObject() && base[member.key()].isObject()
                ? QJsonValue(merged(base[member.key()].toObject(), member->toObject()))
                : QJsonValue(*member);
    }
    return base;
}

}  // namespace

fleet::fleet(layout wanted)
    : plan_(std::move(wanted)),
      network_(plan_.network == 0 ? network_reservation::take_any()
                                  : network_reservation::take(plan_.network))
{
    folder_.setAutoRemove(qEnvironmentVariableIsEmpty("CARAWAY_KEEP_LOGS"));
}

fleet::~fleet()
{
    routers_.clear();
}

result<void> fleet::start()
{
    BOOST_OUTCOME_TRY(start_platform());
    BOOST_OUTCOME_TRY(start_upstreams());
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < plan_.routers; ++i)
    {
        BOOST_OUTCOME_TRY(start_router(i));
        all.push_back(i);
    }
    BOOST_OUTCOME_TRY(accept_configuration(configuration()));
    return wait_in_force(all, 1, ready_patience);
}

result<void> fleet::start_platform()
{
    if (!network_)
    {
        return network_.error();
    }
    const QStringList arguments{"--address", QString::fromStdString(host(platform_kind, 0)),
                                "--port", QString::number(platform_port_)};
    platform_ =
        std::make_unique<process>(program("standin-platform"), arguments, log_file("platform"));
    BOOST_OUTCOME_TRY(port, platform_->start(true));
    platform_port_ = port;
    return success();
}

result<void> fleet::start_upstreams()
{
    if (!network_)
    {
        return network_.error();
    }
    engines_.resize(plan_.engines.size());
    engine_ports_.resize(plan_.engines.size());
    for (std::size_t i = 0; i < plan_.engines.size(); ++i)
    {
        BOOST_OUTCOME_TRY(start_engine(i));
    }
    services_.resize(plan_.services.size());
    service_ports_.resize(plan_.services.size());
    for (std::size_t i = 0; i < plan_.services.size(); ++i)
    {
        BOOST_OUTCOME_TRY(start_service(i));
    }
    return success();
}

result<void> fleet::start_engine(std::size_t index)
{
    const engine_layout& engine = plan_.engines[index];
    QStringList arguments{"--address",
                          QString::fromStdString(host(engines_kind, index)),
                          "--port",
                          QString::number(engine_ports_[index]),
                          "--id",
                          QString::fromStdString(engine.id),
                          "--model",
                          QString::fromStdString(engine.model),
                          "--slots",
                          QString::number(engine.slots),
                          "--token-ms",
                          QString::number(engine.token_ms),
                          "--prefill-ms-per-1k-tokens",
                          QString::number(engine.prefill_ms_per_1k_tokens)};
    if (engine.checks_fencing)
    {
        arguments << "--checks-fencing";
    }
    engines_[index] =
        std::make_unique<process>(program("standin-engine"), arguments, log_file(engine.id));
    BOOST_OUTCOME_TRY(port, engines_[index]->start(true));
    engine_ports_[index] = port;
    return success();
}

result<void> fleet::start_service(std::size_t index)
{
    const service_layout& service = plan_.services[index];
    const QStringList arguments{"--address", QString::fromStdString(host(services_kind, index)),
                                "--port",    QString::number(service_ports_[index]),
                                "--id",      QString::fromStdString(service.id),
                                "--slots",   QString::number(service.slots),
                                "--work-ms", QString::number(service.work_ms)};
    services_[index] =
        std::make_unique<process>(program("standin-service"), arguments, log_file(service.id));
    BOOST_OUTCOME_TRY(port, services_[index]->start(true));
    service_ports_[index] = port;
    return success();
}

result<void> fleet::start_router(std::size_t index)
{
    routers_.resize(std::max(routers_.size(), index + 1));
    const QString file = folder_.filePath(QString("router-%1.json").arg(index + 1));
    BOOST_OUTCOME_TRY(write_json(file, router_settings(index)));
    const QString log = log_file("router-" + std::to_string(index + 1));
    routers_[index] = std::make_unique<process>(
        program("carawayd"), QStringList{file, "--allow-faults"} + plan_.router_arguments, log);
    BOOST_OUTCOME_TRY(routers_[index]->start(false));
    QElapsedTimer waited;
    waited.start();
    while (!rpc(index, methods::status))
    {
        if (!routers_[index]->running() || waited.elapsed() > ready_patience.count())
        {
            return make_error(errc::unavailable,
                              "A router did not come up; see " + log.toStdString());
        }
        QThread::msleep(poll_ms);
    }
    return success();
}

result<void> fleet::accept_configuration(const QJsonObject& document)
{
    const auto bytes = QJsonDocument(document).toJson(QJsonDocument::Compact);
    const auto report = caraway::config::check_files({{.name = "layout.json", .bytes = bytes}});
    if (!report.checked)
    {
        return make_error(errc::invalid_argument, caraway::config::to_text(report.found));
    }
    BOOST_OUTCOME_TRY(status, rpc(0, methods::status));
    const qint64 base = status["config"]["version"].toInteger();
    const QString change = QString("change-%1").arg(++changes_);
    BOOST_OUTCOME_TRY(proposed,
                      rpc(0, methods::config_propose,
                          {{"change", change},
                           {"base", base},
                           {"document", QString::fromLatin1(report.checked->bytes().toBase64())},
                           {"note", "by the test fleet"}}));
    if (proposed["state"].toString() == "accepted")
    {
        return success();
    }
    BOOST_OUTCOME_TRY(approved, rpc(0, methods::config_approve,
                                    {{"change", change},
                                     {"base", base},
                                     {"hash", QString::fromStdString(report.checked->hash())}},
                                    "approver"));
    return approved["state"].toString() == "accepted"
               ? result<void>(success())
               : make_error(errc::conflict, "The configuration was not accepted.");
}

result<void> fleet::wait_in_force(const std::vector<std::size_t>& routers, std::uint64_t version,
                                  std::chrono::milliseconds patience)
{
    QElapsedTimer waited;
    waited.start();
    for (const std::size_t index : routers)
    {
        for (;;)
        {
            const auto status = rpc(index, methods::status);
            if (status &&
                status.value()["config"]["version"].toInteger() >= static_cast<qint64>(version))
            {
                break;
            }
            if (waited.elapsed() > patience.count())
            {
                return make_error(errc::timeout, "Version " + std::to_string(version) +
                                                     " is not in force on router " +
                                                     std::to_string(index + 1));
            }
            QThread::msleep(poll_ms);
        }
    }
    return success();
}

QJsonObject fleet::configuration() const
{
    QJsonObject workspaces;
    for (const workspace_layout& one : plan_.workspaces)
    {
        workspaces[QString::fromStdString(one.id)] =
            QJsonObject{{"share", one.share},
                        {"max_waiting", static_cast<qint64>(one.max_waiting)},
                        {"key_hashes", hashes_of(workspace_key(one.id))}};
    }
    QJsonObject services;
    for (const engine_layout& one : plan_.engines)
    {
        services[QString::fromStdString(one.model)] = QJsonObject{{"kind", "model"}};
    }
    for (const service_layout& one : plan_.services)
    {
        services[QString::fromStdString(one.service)] =
            QJsonObject{{"kind", "plain"}, {"default_cost", static_cast<qint64>(one.work_ms)}};
    }
    return {{"workspaces", workspaces},
            {"services", services},
            {"upstreams", upstreams()},
            {"operators",
             QJsonObject{{"proposer", operator_account(operator_key("proposer"), true, false)},
                         {"approver", operator_account(operator_key("approver"), true, true)}}},
            {"review", QJsonArray{QJsonObject{{"part", "*"}, {"approvals", 1}}}}};
}

result<QString> fleet::write_configuration_folder() const
{
    const QString name = folder_.filePath("configuration");
    QDir().mkpath(name);
    const QJsonObject whole = configuration();
    int place = 0;
    for (const QString& part : whole.keys())
    {
        place += 10;
        const QString file = QString("%1/%2-%3.json").arg(name).arg(place).arg(part);
        BOOST_OUTCOME_TRY(write_json(file, {{part, whole[part]}}));
    }
    return name;
}

QJsonObject fleet::upstreams() const
{
    QJsonObject all;
    for (std::size_t i = 0; i < plan_.engines.size(); ++i)
    {
        const engine_layout& one = plan_.engines[i];
        all[QString::fromStdString(one.id)] =
            QJsonObject{{"service", QString::fromStdString(one.model)},
                        {"host", QString::fromStdString(host(engines_kind, i))},
                        {"port", engine_ports_[i]},
                        {"zone", QString::fromStdString(one.zone)},
                        {"slots", static_cast<qint64>(one.slots)},
                        {"checks_fencing", one.checks_fencing}};
    }
    for (std::size_t i = 0; i < plan_.services.size(); ++i)
    {
        const service_layout& one = plan_.services[i];
        all[QString::fromStdString(one.id)] =
            QJsonObject{{"service", QString::fromStdString(one.service)},
                        {"host", QString::fromStdString(host(services_kind, i))},
                        {"port", service_ports_[i]},
                        {"zone", QString::fromStdString(one.zone)},
                        {"slots", static_cast<qint64>(one.slots)}};
    }
    return all;
}

const layout& fleet::plan() const
{
    return plan_;
}

process& fleet::router(std::size_t index)
{
    return *routers_.at(index);
}

process& fleet::engine(std::size_t index)
{
    return *engines_.at(index);
}

process& fleet::service(std::size_t index)
{
    return *services_.at(index);
}

process& fleet::platform()
{
    return *platform_;
}

address fleet::router_callers(std::size_t index) const
{
    return {host(routers_kind, index), callers_port};
}

address fleet::router_admin(std::size_t index) const
{
    return {host(routers_kind, index), admin_port};
}

address fleet::router_peers(std::size_t index) const
{
    return {host(routers_kind, index), peers_port};
}

address fleet::engine_address(std::size_t index) const
{
    return {host(engines_kind, index), engine_ports_.at(index)};
}

address fleet::service_address(std::size_t index) const
{
    return {host(services_kind, index), service_ports_.at(index)};
}

address fleet::platform_address() const
{
    return {host(platform_kind, 0), platform_port_};
}

std::string fleet::workspace_key(const std::string& workspace) const
{
    return "key-of-workspace-" + workspace;
}

std::string fleet::operator_key(const std::string& name) const
{
    return "key-of-operator-" + name;
}

result<QJsonValue> fleet::rpc(std::size_t router, const std::string& method,
                              const QJsonObject& params, const std::string& as) const
{
    const address where = router_admin(router);
    caraway::rpc::rpc_client client({.host = where.host,
                                     .port = where.port,
                                     .key = caraway::logging::secret(operator_key(as))});
    return client.call(method, params);
}

result<void> fleet::control(const address& where, const QJsonObject& switches) const
{
    BOOST_OUTCOME_TRY(http_json(where, "POST", "/_control", switches));
    return success();
}

result<QJsonObject> fleet::get_json(const address& where, const QString& path) const
{
    return http_json(where, "GET", path, {});
}

QString fleet::folder() const
{
    return folder_.path();
}

QString fleet::program(const char* name) const
{
    return plan_.programs + "/" + name;
}

QString fleet::log_file(const std::string& name) const
{
    return folder_.filePath(QString::fromStdString(name) + ".log");
}

int fleet::network() const
{
    return network_ ? network_.value().number() : 0;
}

std::string fleet::host(int kind, std::size_t index) const
{
    return "127." + std::to_string(network()) + "." + std::to_string(kind) + "." +
           std::to_string(index + 1);
}

QJsonObject fleet::router_settings(std::size_t index) const
{
    QJsonArray seeds;
    for (std::size_t i = 0; i < std::min<std::size_t>(plan_.routers, 3); ++i)
    {
        seeds.append(
            QString("%1:%2").arg(QString::fromStdString(host(routers_kind, i))).arg(peers_port));
    }
    const std::string zone = plan_.zones[index % plan_.zones.size()];
    const QJsonObject settings{
        {"node", QString("router-%1").arg(index + 1)},
        {"address", QString::fromStdString(host(routers_kind, index))},
        {"zone", QString::fromStdString(zone)},
        {"region", "region-1"},
        {"ports",
         QJsonObject{{"callers", callers_port}, {"admin", admin_port}, {"peers", peers_port}}},
        {"platform", QJsonObject{{"host", QString::fromStdString(host(platform_kind, 0))},
                                 {"port", platform_port_}}},
        {"fleet_key", "a-secret-of-this-test-fleet"},
        {"seeds", seeds},
        {"drain", QJsonObject{{"address_lifetime_ms", 1000}}},
        {"bootstrap_operators",
         QJsonObject{{"proposer", operator_account(operator_key("proposer"), true, false)}}}};
    return merged(settings, plan_.settings);
}

}  // namespace fleet
