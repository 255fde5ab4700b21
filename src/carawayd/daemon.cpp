#include "carawayd/daemon.hpp"

#include "carawayd/admin/peer_authorization.hpp"
#include "carawayd/admin/rpc_methods.hpp"
#include "carawayd/control/ask.hpp"
#include "libcaraway/config/review_policy.hpp"
#include "libcaraway/logging/logger.hpp"
#include "libcaraway/metrics/registry_dump.hpp"

#include <QCoreApplication>
#include <QMetaObject>

#include <chrono>
#include <utility>

namespace carawayd
{

using caraway::base::result;
using caraway::base::success;

namespace
{

constexpr std::chrono::milliseconds drain_check_period{50};

const caraway::logging::logger& log()
{
    static const caraway::logging::logger instance("daemon");
    return instance;
}

/// A life is named by when it began, in milliseconds since 1970: larger for each later one. Should
/// the VM's clock go back, membership says so (newer_incarnation_seen).
caraway::base::node_ref this_life(const caraway::base::node_id& node,
                                  const caraway::base::clock& clock)
{
    const auto since = clock.wall_time().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    return {.id = node, .life = caraway::base::incarnation(static_cast<std::uint64_t>(ms))};
}

caraway::net::http_limits limits_from(const caraway::config::http_limits& given)
{
    caraway::net::http_limits limits;
    limits.header_bytes = given.header_bytes;
    limits.body_bytes = given.body_bytes;
    limits.connections = given.connections;
    limits.header_timeout = given.header_timeout;
    limits.body_timeout = given.body_timeout;
    limits.idle_timeout = given.idle_timeout;
    return limits;
}

void set_up_logging(const caraway::config::log_settings& settings)
{
    caraway::logging::setup({.threshold = static_cast<caraway::logging::level>(settings.level),
                             .style = settings.format == caraway::config::log_format::json
                                          ? caraway::logging::format::json
                                          : caraway::logging::format::text});
}

}  // namespace

daemon::daemon(daemon_options options, const caraway::base::clock& clock, QObject* parent)
    : QObject(parent), options_(std::move(options)), clock_(clock),
      self_(this_life(options_.settings.node, clock)), journal_(clock), traffic_metrics_(registry_)
{
    set_up_logging(options_.settings.log);
    control_ = std::make_unique<control::control_plane>(
        control::control_plane_options{.settings = options_.settings,
                                       .fleet_key = options_.fleet_key,
                                       .self = self_,
                                       .policy = options_.policy},
        clock_, journal_, view_);
    build_control_link();
    add_rpc_methods();
    build_supervisors();
    connect(&drain_timer_, &QTimer::timeout, this, &daemon::check_drained);
}

daemon::~daemon() = default;

void daemon::start()
{
    root_->start();
}

void daemon::drain()
{
    if (control_->draining())
    {
        return;
    }
    log().info("This router is stopping; it serves until callers' addresses have run out.");
    drain_started_ = clock_.now();
    control_->begin_drain();
    drain_timer_.start(drain_check_period);
}

void daemon::build_control_link()
{
    control::control_plane* plane = control_.get();
    const auto post = [plane](auto work)
    {
        QMetaObject::invokeMethod(plane, work, Qt::QueuedConnection);
    };
    control_link_ = {
        .submit = [plane, post](const traffic::submission& value)
        { post([plane, value] { plane->scheduler().submit(value); }); },
        .cancel = [plane, post](caraway::base::request_number number)
        { post([plane, number] { plane->scheduler().cancel(number); }); },
        .progress = [plane, post](std::vector<traffic::progress_note> notes)
        { post([plane, notes = std::move(notes)] { plane->scheduler().progress(notes); }); },
        .attempt_ended = [plane, post](traffic::attempt_note note)
        { post([plane, note] { plane->scheduler().attempt_ended(note); }); },
        .claim = [plane, post](const traffic::claim_request& request)
        { post([plane, request] { plane->once().claim(request); }); },
        .claim_ended = [plane, post](const traffic::claim_end& end)
        { post([plane, end] { plane->once().ended(end); }); },
        .claim_abandoned =
            [plane, post](caraway::base::request_number number)
        {
            post([plane, number] { plane->once().abandoned(number); });
        }};
}

void daemon::build_supervisors()
{
    root_ = std::make_unique<supervision::supervisor>(
        supervision::supervisor_options{.name = "carawayd"}, clock_);
    root_->add(traffic_supervisor());
    root_->add({.name = "admin",
                .start = [this] { return start_admin(); },
                .stop =
                    [this]
                {
                    stop_admin();
                }});
    root_->add({.name = "control",
                .start = [this]() -> result<void>
                {
                    const bool ports_open = traffic_->port() != 0 && admin_ && admin_->port() != 0;
                    if (!ports_open)
                    {
                        return caraway::base::make_error(
                            caraway::base::errc::unavailable,
                            "The callers' or the admin port isn't open yet.");
                    }
                    return control_->start(traffic_->port(), admin_->port());
                },
                .stop =
                    [this]
                {
                    control_->stop();
                }});
}

std::unique_ptr<supervision::supervisor> daemon::traffic_supervisor()
{
    const auto& settings = options_.settings;
    const traffic::traffic_context context{
        .clock = clock_,
        .self = self_,
        .control = control_link_,
        .journal = journal_,
        .metrics = traffic_metrics_,
        .view = view_,
        .last_request = last_request_,
        .limits = limits_from(settings.http),
        .timeouts = {.first_byte = settings.http.first_byte_timeout,
                     .progress = settings.http.progress_timeout}};
    traffic_ = std::make_unique<traffic::traffic_pool>(
        traffic::traffic_pool_options{.address = settings.address,
                                      .port = settings.ports.callers,
                                      .threads = settings.traffic_threads},
        context);
    auto below = std::make_unique<supervision::supervisor>(
        supervision::supervisor_options{.name = "traffic"}, clock_);
    below->add({.name = "callers",
                .start = [this] { return traffic_->start(); },
                .stop =
                    [this]
                {
                    traffic_->stop();
                }});
    return below;
}

void daemon::add_rpc_methods()
{
    admin::add_rpc_methods(endpoint_, {.control = *control_,
                                       .journal = journal_,
                                       .clock = clock_,
                                       .dump =
                                           [this]
                                       {
                                           QJsonObject state = control_->dump();
                                           state["supervisors"] = root_->snapshot();
                                           state["metrics"] = caraway::metrics::dump(registry_);
                                           state["requests_remembered"] =
                                               static_cast<qint64>(journal_.size());
                                           return state;
                                       },
                                       .drain = [this] { drain(); },
                                       .allow_faults = options_.allow_faults});
}

admin::admin_hooks daemon::admin_hooks()
{
    return {.operator_with_key =
                [this](const std::string& hash) -> std::optional<caraway::base::operator_id>
            {
                const auto view = view_.get();
                caraway::config::configuration bootstrap;
                bootstrap.operators = options_.settings.bootstrap.operators;
                const auto& known = view->configuration ? view->configuration->content : bootstrap;
                const auto* account = caraway::config::find_operator(known, hash);
                return account == nullptr ? std::nullopt : std::optional(account->id);
            },
            .ready =
                [this]
            {
                const auto view = view_.get();
                return view->ready && !view->draining;
            },
            .peer_allowed = [this](const std::string& given, const std::string& path)
            { return admin::is_peer_authorization(options_.fleet_key, path, given); },
            .document = [this](const std::string& hash) -> std::optional<QByteArray>
            {
                const auto found = control::ask<QByteArray>(
                    control_.get(), clock_, clock_.now() + std::chrono::seconds(1),
                    [this, hash](const auto& done)
                    {
                        const auto& document = control_->keeper().current_document();
                        if (document && document->hash() == hash)
                        {
                            done(document->bytes());
                            return;
                        }
                        done(caraway::base::make_error(caraway::base::errc::not_found, ""));
                    });
                return found ? std::optional(found.value()) : std::nullopt;
            }};
}

result<void> daemon::start_admin()
{
    if (!admin_thread_.isRunning())
    {
        admin_thread_.setObjectName("admin");
        admin_thread_.start();
    }
    admin_ = std::make_unique<admin::admin_server>(limits_from(options_.settings.http),
                                                   admin_hooks(), endpoint_, registry_, clock_);
    admin_->moveToThread(&admin_thread_);
    result<void> opened = success();
    QMetaObject::invokeMethod(
        admin_.get(),
        [&] { opened = admin_->open(options_.settings.address, options_.settings.ports.admin); },
        Qt::BlockingQueuedConnection);
    return opened;
}

void daemon::stop_admin()
{
    QMetaObject::invokeMethod(
        admin_.get(), [this] { admin_->close(); }, Qt::BlockingQueuedConnection);
    admin_thread_.quit();
    admin_thread_.wait();
}

void daemon::check_drained()
{
    const auto& settings = options_.settings.drain;
    const auto since = clock_.now() - drain_started_;
    if (since < settings.address_lifetime)
    {
        return;
    }
    if (traffic_->port() != 0)
    {
        traffic_->close_entrance();
    }
    const bool idle = traffic_->sessions() == 0 && control_->unfinished() == 0;
    if (!idle && since < settings.address_lifetime + settings.limit)
    {
        return;
    }
    if (!idle)
    {
        log().warning("Stopping with requests in flight: the drain's limit is reached.",
                      {{"requests", traffic_->sessions()}});
    }
    drain_timer_.stop();
    root_->stop();
    log().info("This router has stopped.");
    QCoreApplication::exit(0);
}

}  // namespace carawayd
