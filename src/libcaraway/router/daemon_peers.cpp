// Communication with peers: digests, copies of the platform's tables, and the choice of the routers
// of a zone that read the tables from the store.
#include "libcaraway/router/daemon.hpp"

namespace caraway::router
{

namespace
{

using std::chrono::milliseconds;

/// Time between two requests for a copy of the tables while this router needs one.
constexpr milliseconds table_request_period{300};
/// How often prefill speeds are part of a digest; they change within seconds.
constexpr milliseconds prefill_records_period{1000};
/// Maximum age of an encoded copy that is reused while configuration and upstreams are unchanged.
/// The copy's list of routers and its revision may be outdated by that much.
constexpr milliseconds copy_lifetime{200};
/// Number of digests that report a rejected request, as datagrams get lost.
constexpr int digests_per_rejection = 2;
/// The same for a copy of a part of prompts.
constexpr int digests_per_copy = 2;

}  // namespace

void daemon::request_missing_tables(base::time_point now)
{
    if (now < next_table_request_)
    {
        return;
    }
    next_table_request_ = now + table_request_period;
    if (const auto peer = peer_to_ask(now))
    {
        link_.request_copy(*peer);
    }
    if (!core_.options.seeds.empty() && link_.unanswered() >= core_.options.seeds.size())
    {
        relay_.stop_waiting_for_peers();
    }
}

std::optional<routing::endpoint> daemon::peer_to_ask(base::time_point now)
{
    if (const auto* newer =
            peers_.with_newer_configuration(core_.version(), now, core_.random_unit()))
    {
        return newer->control;
    }
    if (const auto peer = upstreams_->is_paused() ? relay_.source(now) : std::nullopt)
    {
        return peers_.all().at(*peer).control;
    }
    const bool store_unreachable =
        upstreams_->store_unreachable() || configurations_->store_unreachable();
    if (!store_unreachable && has_tables())
    {
        return std::nullopt;
    }
    if (const auto* fresh = peers_.with_fresh_tables(now, core_.random_unit()))
    {
        return fresh->control;
    }
    // No reachable peer has fresh tables. A new VM that the store rejects has no peer's address,
    // and no peer has the address of the VM, until a seed exchanges them.
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
    if (upstreams_->store_unreachable())
    {
        relay_.record_store_unreachable(now);
    }
    relay_.set_leaving_notice(core_.options.leaving_notice);
    core_.directory.set_heartbeat(core_.options.heartbeat);
    const auto own_state = tables();
    relay_.set_own_state(core_.options.capacity, own_state, has_tables(), now);
    announce_changes(own_state.content_hash);
    const bool polls_store = relay_.should_poll_store(now);
    choose_configuration_source(polls_store);
    peers_.set_max_zone_period(polls_store ? std::optional(relay_.max_digest_period())
                                           : std::nullopt);
    if (polls_store != upstreams_->is_paused())
    {
        return;
    }
    core_.log.line("store_source",
                   {{"asks_store", polls_store},
                    {"revision", upstreams_->revision()},
                    {"upstreams_age_ms", to_milliseconds(core_.upstreams_age()).count()}});
    if (polls_store)
    {
        upstreams_->resume();
    }
    else
    {
        upstreams_->pause();
    }
    update_limits_per_router();
}

/// An overloaded router needs seconds to request a copy from a peer, which takes four iterations of
/// its event loop. The store holds a call open and answers it as soon as the configuration changes,
/// so an overloaded router always calls the store. So does one that the last copy did not reach:
/// its link may delay each of them beyond the time-out.
void daemon::choose_configuration_source(bool polls_store)
{
    if (polls_store || core_.overload.overloaded() || link_.unanswered() > 0)
    {
        configurations_->resume();
    }
    else
    {
        configurations_->pause();
    }
}

routing::table_state daemon::tables() const
{
    return {.polls_store = !upstreams_->is_paused(),
            .store_unreachable = relay_.is_store_unreachable(core_.now()),
            .answer_count = upstreams_->answers(),
            .revision = upstreams_->revision(),
            .content_hash = core_.directory.content_hash(),
            .answer_age = to_milliseconds(core_.now() - upstreams_->last_answer())};
}

void daemon::announce_changes(std::uint64_t mark)
{
    const bool changed = !upstreams_->is_paused() && mark != announced_mark_;
    announced_mark_ = mark;
    if (changed)
    {
        link_.send_zone_digests();
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
        peers_.add_discovered(routing::peer_of(decoded.value()), now);
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
        core_.apply_zone_update(each, copy.sender.str());
    }
    for (const auto& each : copy.routers)
    {
        peers_.add_discovered(each, core_.now());
    }
    const bool paused = upstreams_->is_paused();
    const bool is_current = copy.state.revision >= upstreams_->revision();
    const bool newer = paused && is_current;
    const bool needed = newer || upstreams_->store_unreachable() || !upstreams_->has_read();
    const bool has_upstreams = copy.partial || !copy.upstreams.empty();
    if (!needed || !has_upstreams)
    {
        return false;
    }
    core_.log.line("peer_copy", {{"from", copy.sender.str()},
                                 {"revision", copy.state.revision},
                                 {"own_revision", upstreams_->revision()},
                                 {"partial", copy.partial},
                                 {"upstreams", copy.upstreams.size()}});
    const auto listing_revision = copy.partial ? std::nullopt : std::optional(copy.state.revision);
    apply_upstreams(copy.upstreams, listing_revision, copy.sender.str());
    if (is_current)
    {
        core_.served_versions.restore(copy.versions, core_.now());
    }
    const bool upstreams_equal = core_.directory.content_hash() == copy.state.content_hash;
    if (copy.partial && !upstreams_equal)
    {
        // The copy is not recorded as one of the peer's tables, so the next copy is a full one.
        return false;
    }
    if (paused)
    {
        upstreams_->adopt(copy.state.revision);
        relay_.record_copy(copy.sender, copy.state, core_.now());
    }
    return upstreams_equal;
}

/// About a hundred peers request a copy within a second when a fleet starts or the configuration
/// changes; encoding it for each of them would saturate a small VM's processor. The encoded copy is
/// reused while the mark stays the same, as equal marks mean equal upstreams.
const std::string& daemon::encoded_copy(base::config_version peer_version)
{
    const auto now = core_.now();
    const auto mark = core_.directory.content_hash();
    auto& cached =
        peer_version < core_.version() ? copy_with_configuration_ : copy_without_configuration_;
    const bool current = cached.version == core_.version() && cached.mark == mark &&
                         now - cached.made < copy_lifetime && !cached.text.empty();
    if (!current)
    {
        cached = {.text = encode(make_copy(peer_version)),
                  .version = core_.version(),
                  .mark = mark,
                  .made = now};
    }
    return cached.text;
}

table_copy daemon::make_copy_header(base::config_version peer_version) const
{
    table_copy copy{
        .sender = core_.options.name,
        .position = {.incarnation = incarnation_, .changes = core_.directory.changes().position()},
        .version = core_.version(),
        .state = tables(),
        .versions = core_.served_versions.history(core_.now()),
        .zones = core_.directory.zones().updates()};
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
    const auto changed = since.incarnation == incarnation_
                             ? core_.directory.changes().since(since.changes)
                             : std::nullopt;
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
        const auto stored = upstream_rows_.find(id.str());
        const bool listed = core_.directory.find(id) != nullptr && stored != upstream_rows_.end();
        copy.upstreams.push_back(listed ? stored->second
                                        : row{.key = id.str(),
                                              .removed = true,
                                              .revision = core_.directory.revision_of(id)});
    }
    return copy;
}

table_copy daemon::make_copy(base::config_version peer_version) const
{
    auto copy = make_copy_header(peer_version);
    // Contains the upstreams in the directory rather than those listed by the store: around an
    // outage, entries that this router still holds expire in the store, and the peer treats the
    // copy as complete.
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
    std::vector<routing::peer> routers;
    for (const auto& [id, each] : peers_.all())
    {
        routers.push_back(each);
    }
    routers.push_back(self());
    return routers;
}

routing::digest daemon::identity() const
{
    const auto& options = core_.options;
    return {.sender = options.name,
            .incarnation = incarnation_,
            .zone = options.zone,
            .callers = options.callers,
            .control = options.control,
            .datagrams = options.datagrams};
}

routing::digest daemon::presence() const
{
    auto digest = identity();
    digest.ready = ready();
    digest.capacity = core_.options.capacity;
    digest.request_rate = request_rate_;
    return digest;
}

routing::digest daemon::make_digest()
{
    const auto now = core_.now();
    auto digest = presence();
    digest.sequence = ++last_digest_number_;
    digest.version = core_.version();
    digest.tables_fresh_for = std::chrono::duration_cast<milliseconds>(upstreams_->fresh_for(now));
    digest.loads = core_.load_tracker.own_loads();
    core_.load_tracker.record_told(peers_.digest_period(), now);
    digest.usages = core_.shares.own_usages(now);
    digest.suspects = core_.crashes.entries(now);
    digest.refused =
        core_.refused_requests.recent_own(digests_per_rejection * peers_.digest_period(), now);
    digest.part_rates =
        core_.placer.copies().announced(digests_per_copy * peers_.digest_period(), now);
    if (now >= next_prefill_records_)
    {
        next_prefill_records_ = now + prefill_records_period;
        core_.engines.refresh(now);
        if (core_.options.engines_crash_out_of_memory)
        {
            core_.engines.memory.update(core_.load_tracker, core_.options.name,
                                        peers_.digest_period());
        }
        digest.prefill_samples = core_.engines.prefill.own_records(now);
        digest.paces = core_.engines.own_records(now);
        core_.placer.homes().expire(now);
        const auto rates = core_.placer.homes().heat().hottest(now);
        digest.part_rates.insert(digest.part_rates.end(), rates.begin(), rates.end());
    }
    digest.leaving = core_.directory.leaving(now);
    digest.zones = core_.directory.zones().updates();
    digest.tables = tables();
    digest.keeps_origins = true;
    digest.processor_limited = core_.overload.overloaded();
    digest.suspected_parts = core_.crashes.part_entries(now);
    return digest;
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
