#include "carawayd/control/control_plane.hpp"

#include "carawayd/control/state_json.hpp"
#include "carawayd/traffic/routing_view.hpp"
#include "libcaraway/logging/logger.hpp"
#include "libcaraway/membership/snapshot.hpp"

#include <QJsonArray>
#include <QRandomGenerator64>
#include <QUrl>

#include <algorithm>
#include <numeric>
#include <utility>

namespace carawayd::control
{

using caraway::attempts::holder_state;
using caraway::membership::endpoint;

namespace
{

/// How often the own load is told and the traffic threads' view renewed, though nothing happened.
constexpr std::chrono::milliseconds refresh_period{500};
constexpr caraway::wire::key_id fleet_key_id{1};

const caraway::logging::logger& log()
{
    static const caraway::logging::logger instance("control");
    return instance;
}

double random_fraction()
{
    return QRandomGenerator64::global()->generateDouble();
}

std::uint64_t random_bits()
{
    return QRandomGenerator64::global()->generate64();
}

}  // namespace

control_plane::control_plane(control_plane_options options, const caraway::base::clock& clock,
                             journal::request_journal& journal, traffic::routing_view_holder& view)
    : options_(std::move(options)), clock_(clock), journal_(journal), view_(view),
      started_(clock.now())
{
    create_platform();
    create_scheduler();
    connect(&refresh_timer_, &QTimer::timeout, this, &control_plane::refresh);
}

control_plane::~control_plane() = default;

caraway::base::result<void> control_plane::start(std::uint16_t caller_port,
                                                 std::uint16_t admin_port)
{
    BOOST_OUTCOME_TRY(open_link());
    create_membership(caller_port, admin_port);
    membership_->start();
    keeper_->start();
    vm_watch_->start();
    refresh_timer_.start(refresh_period);
    log().info("This router is up.", {{"node", options_.self.id},
                                      {"callers", caller_port},
                                      {"admin", admin_port},
                                      {"peers", link_->local().port}});
    return caraway::base::success();
}

void control_plane::stop()
{
    refresh_timer_.stop();
    if (membership_)
    {
        membership_->apply([](auto& members, auto now) { members.set_left(now); });
        link_->flush();
    }
}

void control_plane::begin_drain()
{
    draining_ = true;
    membership_->apply([](auto& members, auto now) { members.set_leaving(now); });
    scheduler_->set_draining(true);
    publish_view();
}

bool control_plane::draining() const
{
    return draining_;
}

std::size_t control_plane::unfinished() const
{
    return scheduler_->requests() + once_->pending();
}

scheduler_host& control_plane::scheduler()
{
    return *scheduler_;
}

once_service& control_plane::once()
{
    return *once_;
}

configuration::configuration_keeper& control_plane::keeper()
{
    return *keeper_;
}

const membership_host& control_plane::members() const
{
    return *membership_;
}

QJsonObject control_plane::status() const
{
    const auto state = scheduler_->snapshot();
    const char* phase = draining_ ? "draining" : configuration_ ? "serving" : "starting";
    const auto up = std::chrono::duration_cast<std::chrono::seconds>(clock_.now() - started_);
    return {{"node", QString::fromStdString(options_.self.id.str())},
            {"zone", QString::fromStdString(options_.settings.zone.str())},
            {"state", phase},
            {"program_version", CARAWAY_VERSION},
            {"uptime_s", static_cast<qint64>(up.count())},
            {"config", configuration_summary(configuration_.get())},
            {"members", member_counts(membership_->view())},
            {"waiting", static_cast<qint64>(waiting_requests(state))},
            {"running", static_cast<qint64>(state.attempts.size())}};
}

QJsonObject control_plane::dump() const
{
    return {{"settings", caraway::config::redacted(options_.settings)},
            {"status", status()},
            {"configuration", keeper_->dump()},
            {"platform", platform_->dump()},
            {"vm_list", vm_watch_->dump()},
            {"membership", caraway::membership::snapshot(membership_->view(), clock_.now())},
            {"scheduler", to_json(scheduler_->snapshot())},
            {"once_pending", static_cast<qint64>(once_->pending())},
            {"link", to_json(link_->counters())}};
}

void control_plane::set_cut(const std::set<endpoint>& peers)
{
    link_->set_cut(peers);
}

void control_plane::create_platform()
{
    const auto& settings = options_.settings.platform;
    QUrl url;
    url.setScheme("http");
    url.setHost(QString::fromStdString(settings.host));
    url.setPort(settings.port);
    platform_ = std::make_unique<caraway::net::platform_client>(
        caraway::net::platform_client_options{.endpoint = url, .table_timeout = settings.timeout},
        clock_, random_fraction);
    peer_documents_ = std::make_unique<peer_documents>(options_.fleet_key);
    keeper_ = std::make_unique<configuration::configuration_keeper>(
        configuration::keeper_options{.bootstrap = options_.settings.bootstrap},
        configuration::keeper_hooks{
            .in_force = [this](const auto& accepted) { on_configuration(accepted); },
            .fetch_from_peer =
                [this](const auto& peer, const auto& hash, auto done)
            {
                const auto* member = membership_->view().find(peer);
                if (member == nullptr)
                {
                    done(caraway::base::make_error(caraway::base::errc::not_found,
                                                   "That peer is not known."));
                    return;
                }
                const endpoint& where = member->details.admin;
                peer_documents_->fetch(where.host, where.port, hash, std::move(done));
            },
            .random = random_fraction},
        *platform_, clock_);
    vm_watch_ = std::make_unique<configuration::vm_watch>(configuration::vm_watch_options{},
                                                          *platform_, clock_, random_fraction,
                                                          [this](const auto& vms) { on_vms(vms); });
    once_ = std::make_unique<once_service>(once_service_options{.self = options_.self,
                                                                .once = {},
                                                                .holder =
                                                                    [this](const auto& id)
                                                                {
                                                                    return holder(id);
                                                                }},
                                           *platform_, clock_);
}

void control_plane::create_scheduler()
{
    const auto& settings = options_.settings.scheduling;
    caraway::scheduling::scheduler_options scheduling{.mode = options_.policy,
                                                      .owners_asked = settings.owners_asked,
                                                      .headroom = settings.headroom,
                                                      .report_delay = settings.report_delay,
                                                      .report_refresh = settings.report_refresh,
                                                      .random = random_bits};
    scheduler_ = std::make_unique<scheduler_host>(
        scheduler_host_options{.scheduling = std::move(scheduling),
                               .self = options_.self,
                               .zone = options_.settings.zone,
                               .send =
                                   [this](const auto& to, auto message)
                               {
                                   send(to, std::move(message));
                               }},
        clock_, journal_);
}

caraway::base::result<void> control_plane::open_link()
{
    link_ = std::make_unique<caraway::net::datagram_link>(caraway::net::datagram_link_options{
        .self = options_.self,
        .keys = {.active = fleet_key_id, .keys = {{fleet_key_id, options_.fleet_key}}}});
    link_->set_receive_hook([this](const auto& source, const auto& received)
                            { receive(source, received); });
    return link_->bind({options_.settings.address, options_.settings.ports.peers});
}

void control_plane::create_membership(std::uint16_t caller_port, std::uint16_t admin_port)
{
    const auto& settings = options_.settings;
    membership_ = std::make_unique<membership_host>(
        membership_host_options{.membership = {.seeds = seeds(), .random = random_bits},
                                .self = options_.self,
                                .details = {.peer = link_->local(),
                                            .caller = {settings.address, caller_port},
                                            .admin = {settings.address, admin_port},
                                            .zone = settings.zone,
                                            .region = settings.region},
                                .send =
                                    [this](const auto& sent)
                                {
                                    std::vector<caraway::wire::message> messages(
                                        sent.messages.begin(), sent.messages.end());
                                    link_->send(sent.address, sent.to, std::move(messages));
                                },
                                .changed = [this] { on_members_changed(); },
                                .newer_configuration =
                                    [this](const auto& seen)
                                {
                                    keeper_->on_peer_version(seen.holder, seen.version, seen.hash);
                                }},
        clock_);
}

void control_plane::receive(const endpoint& source, const caraway::wire::envelope& received)
{
    for (const auto& message : received.messages)
    {
        if (const auto* news = std::get_if<caraway::membership::message>(&message))
        {
            membership_->receive(source, received.from, *news);
            continue;
        }
        std::visit(
            [this, &received](const auto& one)
            {
                using type = std::decay_t<decltype(one)>;
                if constexpr (!std::is_same_v<type, caraway::membership::message>)
                {
                    scheduler_->receive(received.from, one);
                }
            },
            message);
    }
}

void control_plane::send(const caraway::base::node_ref& to,
                         caraway::scheduling::peer_message message)
{
    const endpoint* address = membership_ ? membership_->address_of(to) : nullptr;
    if (address == nullptr)
    {
        return;
    }
    std::vector<caraway::wire::message> messages;
    std::visit([&messages](auto& one) { messages.emplace_back(std::move(one)); }, message);
    link_->send(*address, to, std::move(messages));
}

void control_plane::on_members_changed()
{
    std::vector<caraway::scheduling::member> live;
    for (const auto& [id, member] : membership_->view().members())
    {
        const bool leaving = member.announced == caraway::membership::announced_state::leaving &&
                             member.judged != caraway::membership::verdict::dead;
        if (member.takes_part() || leaving)
        {
            live.push_back({.node = member.node, .zone = member.details.zone, .leaving = leaving});
        }
    }
    scheduler_->apply_members(std::move(live));
    publish_view();
}

void control_plane::on_configuration(
    const std::shared_ptr<const caraway::config::accepted_configuration>& accepted)
{
    configuration_ = accepted;
    log().info("A configuration is in force.",
               {{"version", accepted->version}, {"hash", accepted->hash}});
    membership_->apply(
        [&](auto& members, auto now)
        {
            members.set_own_configuration(accepted->version, accepted->hash, now);
            if (!draining_)
            {
                members.set_ready(now);
            }
        });
    schedule_by_configuration();
    publish_view();
}

void control_plane::schedule_by_configuration()
{
    // A VM that the platform takes away is told by its list before any operator changes the
    // configuration: its upstreams get nothing new from now on.
    auto effective = std::make_shared<caraway::config::accepted_configuration>(*configuration_);
    for (auto& [id, upstream] : effective->content.upstreams)
    {
        upstream.draining =
            upstream.draining || vm_watch_->is_leaving(upstream.host).value_or(false);
    }
    scheduler_->apply_configuration(std::move(effective));
}

void control_plane::on_vms(const std::vector<caraway::net::vm>&)
{
    if (configuration_)
    {
        schedule_by_configuration();
    }
    if (membership_)
    {
        membership_->apply([this](auto& members, auto) { members.set_seeds(seeds()); });
    }
}

void control_plane::refresh()
{
    const auto state = scheduler_->snapshot();
    const caraway::membership::load_digest load{
        .waiting = static_cast<std::uint32_t>(waiting_requests(state)),
        .free_slots = static_cast<std::uint32_t>(free_slots(state)),
        .connections = 0};
    membership_->apply([&load](auto& members, auto now) { members.set_own_load(load, now); });
    publish_view();
}

void control_plane::publish_view()
{
    auto view = std::make_shared<traffic::routing_view>();
    view->configuration = configuration_;
    if (configuration_)
    {
        for (const auto& [id, workspace] : configuration_->content.workspaces)
        {
            for (const auto& hash : workspace.key_hashes)
            {
                view->workspaces_by_key.emplace(hash, id);
            }
        }
    }
    view->members = membership_->view().members();
    view->zone = options_.settings.zone;
    view->region = options_.settings.region;
    view->entry_lifetime =
        std::chrono::floor<std::chrono::seconds>(options_.settings.drain.address_lifetime);
    view->ready = configuration_ != nullptr;
    view->draining = draining_;
    view_.set(std::move(view));
}

holder_state control_plane::holder(const caraway::attempts::attempt_id& id) const
{
    if (id.router == options_.self)
    {
        return holder_state::running;
    }
    const auto* member = membership_->view().find(id.router.id);
    const bool same_life = member != nullptr && member->node == id.router;
    return same_life && member->judged != caraway::membership::verdict::dead ? holder_state::running
                                                                             : holder_state::gone;
}

std::vector<endpoint> control_plane::seeds() const
{
    std::vector<endpoint> found;
    for (const auto& seed : options_.settings.seeds)
    {
        found.push_back({seed.host, seed.port});
    }
    // The VM list names addresses only; routers listen on one peer port throughout a fleet.
    for (const auto& vm : vm_watch_->vms())
    {
        const endpoint there{vm.address, options_.settings.ports.peers};
        if (there.port != 0 && std::find(found.begin(), found.end(), there) == found.end())
        {
            found.push_back(there);
        }
    }
    return found;
}

}  // namespace carawayd::control
