// What a router tells its peers and hears from them: digests, copies of the platform's tables, and
// who of a zone asks the store.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// How often a peer is asked while this router can't reach the store.
constexpr milliseconds ask_period{300};
/// How fast engines read changes within seconds.
constexpr milliseconds readings_period{1000};
/// How old a copy for peers may be that says the same of configuration and upstreams: the routers
/// in it, and up to where it is current.
constexpr milliseconds copy_lifetime{200};
/// A refused request is told of in so many digests, as datagrams get lost.
constexpr int told_digests = 2;

}  // namespace

void daemon::request_missing_tables(base::time_point now)
{
    if (now < next_table_request_)
    {
        return;
    }
    next_table_request_ = now + ask_period;
    if (const auto peer = peer_to_ask(now))
    {
        link_.ask(*peer);
    }
    if (!core_.options.seeds.empty() && link_.unanswered() >= core_.options.seeds.size())
    {
        relay_.stop_relying();
    }
}

std::optional<routing::endpoint> daemon::peer_to_ask(base::time_point now)
{
    if (const auto* newer = peers_.newer(core_.version(), now, core_.random_unit()))
    {
        return newer->control;
    }
    if (const auto source = upstreams_->resting() ? relay_.source(now) : std::nullopt)
    {
        return peers_.all().at(*source).control;
    }
    const bool lost = upstreams_->lost() || configurations_->lost();
    if (!lost && has_tables())
    {
        return std::nullopt;
    }
    if (const auto* fresh = peers_.with_store(now, core_.random_unit()))
    {
        return fresh->control;
    }
    // Nobody that reaches the store is heard: a new VM that the store turns away knows no peer, and
    // no peer knows it, until a router named in the settings tells of both.
    const auto& seeds = core_.options.seeds;
    if (seeds.empty())
    {
        return std::nullopt;
    }
    const auto& seed = seeds[next_seed_++ % seeds.size()];
    return seed == core_.options.control ? std::nullopt : std::optional(seed);
}

bool daemon::is_seed() const
{
    const auto& seeds = core_.options.seeds;
    return std::find(seeds.begin(), seeds.end(), core_.options.control) != seeds.end();
}

void daemon::choose_table_source(base::time_point now)
{
    if (upstreams_->lost())
    {
        relay_.note_lost(now);
    }
    relay_.set_leaving_notice(core_.options.leaving_notice);
    const auto own = tables();
    relay_.set_own(core_.options.capacity, own, has_tables(), now);
    announce_changes(own.mark);
    const bool follows = relay_.follows(now);
    choose_configuration_source(follows);
    if (follows != upstreams_->resting())
    {
        return;
    }
    core_.log.line("store_source", {{"asks_store", follows}, {"revision", upstreams_->revision()}});
    if (follows)
    {
        upstreams_->wake();
    }
    else
    {
        upstreams_->rest();
    }
    update_limits_per_router();
}

/// A router in a flood takes seconds to ask a peer: four turns of its loop. The store holds a call
/// and answers it at once when the configuration changes.
void daemon::choose_configuration_source(bool asks_store)
{
    if (asks_store || core_.overload.busy())
    {
        configurations_->wake();
    }
    else
    {
        configurations_->rest();
    }
}

routing::table_state daemon::tables() const
{
    return {.follows = !upstreams_->resting(),
            .lost = relay_.lost(core_.now()),
            .answers = upstreams_->answers(),
            .revision = upstreams_->revision(),
            .mark = core_.directory.mark()};
}

void daemon::announce_changes(std::uint64_t mark)
{
    const bool tells = !upstreams_->resting() && mark != announced_mark_;
    announced_mark_ = mark;
    if (tells)
    {
        link_.tell_zone();
    }
}

void daemon::apply_router_rows(const std::vector<row>& rows)
{
    const auto now = core_.now();
    for (const auto& each : rows)
    {
        auto decoded = routing::decode(each.value);
        if (!decoded)
        {
            core_.log.line("router_row_unreadable", {{"router", each.key}});
            continue;
        }
        peers_.introduce(routing::peer_of(decoded.value()), now);
    }
}

bool daemon::apply_copy(const table_copy& copy)
{
    if (copy.version > core_.version())
    {
        apply_configuration(copy.configuration, "peer");
    }
    for (const auto& each : copy.zones)
    {
        core_.apply_zone_update(each, copy.from.str());
    }
    for (const auto& each : copy.routers)
    {
        peers_.introduce(each, core_.now());
    }
    const bool resting = upstreams_->resting();
    const bool newer = resting && copy.state.revision >= upstreams_->revision();
    const bool needed = newer || upstreams_->lost() || !upstreams_->has_read();
    const bool tells = copy.partial || !copy.upstreams.empty();
    if (!needed || !tells)
    {
        return false;
    }
    core_.log.line("peer_copy", {{"from", copy.from.str()},
                                 {"revision", copy.state.revision},
                                 {"own_revision", upstreams_->revision()},
                                 {"partial", copy.partial},
                                 {"upstreams", copy.upstreams.size()}});
    const auto listing_revision = copy.partial ? std::nullopt : std::optional(copy.state.revision);
    apply_upstreams(copy.upstreams, listing_revision, copy.from.str());
    const bool same = core_.directory.mark() == copy.state.mark;
    if (copy.partial && !same)
    {
        // Not taken for a copy of it: the next one is whole.
        return false;
    }
    if (resting)
    {
        upstreams_->adopt(copy.state.revision);
        relay_.note_copied(copy.from, copy.state, core_.now());
    }
    return same;
}

/// Some hundred peers ask within a second, at a start or for a new configuration; building the
/// text for each would take a small VM's processor. Who has the same mark holds the same upstreams.
const std::string& daemon::encoded_copy(base::config_version peer_version)
{
    const auto now = core_.now();
    const auto mark = core_.directory.mark();
    auto& told =
        peer_version < core_.version() ? copy_with_configuration_ : copy_without_configuration_;
    const bool current = told.version == core_.version() && told.mark == mark &&
                         now - told.made < copy_lifetime && !told.text.empty();
    if (!current)
    {
        told = {.text = encode(make_copy(peer_version)),
                .version = core_.version(),
                .mark = mark,
                .made = now};
    }
    return told.text;
}

table_copy daemon::make_copy_header(base::config_version peer_version) const
{
    table_copy copy{.from = core_.options.name,
                    .at = {.life = incarnation_, .changes = core_.directory.changes().position()},
                    .version = core_.version(),
                    .state = tables(),
                    .zones = core_.directory.zones().statements()};
    if (peer_version < copy.version)
    {
        copy.configuration = configuration_text_;
    }
    return copy;
}

std::optional<table_copy> daemon::make_partial_copy(base::config_version peer_version,
                                                    const copy_position& since,
                                                    bool with_routers) const
{
    const auto changed =
        since.life == incarnation_ ? core_.directory.changes().since(since.changes) : std::nullopt;
    if (!changed)
    {
        return std::nullopt;
    }
    auto copy = make_copy_header(peer_version);
    copy.partial = true;
    if (with_routers)
    {
        copy.routers = known_routers();
    }
    for (const auto& id : *changed)
    {
        const auto known = upstream_rows_.find(id.str());
        const bool listed = core_.directory.find(id) != nullptr && known != upstream_rows_.end();
        copy.upstreams.push_back(listed ? known->second
                                        : row{.key = id.str(),
                                              .removed = true,
                                              .revision = core_.directory.revision_of(id)});
    }
    return copy;
}

table_copy daemon::make_copy(base::config_version peer_version) const
{
    auto copy = make_copy_header(peer_version);
    // What the directory believes, not what the store lists: around an outage entries lapse there
    // that this router still holds, and a peer takes the copy for the whole truth.
    for (const auto& [key, each] : upstream_rows_)
    {
        if (core_.directory.find(base::upstream_id(key)) != nullptr)
        {
            copy.upstreams.push_back(each);
        }
    }
    copy.routers = known_routers();
    return copy;
}

std::vector<routing::peer> daemon::known_routers() const
{
    std::vector<routing::peer> out;
    for (const auto& [id, each] : peers_.all())
    {
        out.push_back(each);
    }
    out.push_back(self());
    return out;
}

routing::digest daemon::identity() const
{
    const auto& at = core_.options;
    return {.from = at.name,
            .life = incarnation_,
            .zone = at.zone,
            .callers = at.callers,
            .control = at.control,
            .datagrams = at.datagrams};
}

routing::digest daemon::presence() const
{
    auto out = identity();
    out.ready = ready();
    out.capacity = core_.options.capacity;
    out.request_rate = request_rate_;
    return out;
}

routing::digest daemon::make_digest()
{
    const auto now = core_.now();
    auto out = presence();
    out.number = ++last_digest_number_;
    out.version = core_.version();
    out.store_held = std::chrono::duration_cast<milliseconds>(upstreams_->held(now));
    out.loads = core_.load_tracker.own();
    out.usages = core_.shares.own(now);
    out.suspects = core_.crashes.entries(now);
    out.refused = core_.refused_requests.told(told_digests * peers_.period(), now);
    if (now >= next_prefill_records_)
    {
        next_prefill_records_ = now + readings_period;
        core_.prefill_pace.refresh(now);
        out.readings = core_.prefill_pace.own(now);
    }
    out.leaving = core_.directory.leaving(now);
    out.zones = core_.directory.zones().statements();
    out.tables = tables();
    return out;
}

routing::peer daemon::self() const
{
    return routing::peer_of(presence());
}

row daemon::own_row() const
{
    return {.key = core_.options.name.str(), .value = routing::encode(identity())};
}

}  // namespace caraway::router
