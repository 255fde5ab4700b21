// The parts of membership that are driven by time: probes, suspicions, pushes and rejoining.
#include "libcaraway/membership/gossip_writer.hpp"
#include "libcaraway/membership/membership.hpp"
#include "libcaraway/membership/message_size.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace caraway::membership
{

namespace
{

/// Push rounds after an update; with the fan-out, each round about triples the number of nodes that
/// know the update.
constexpr int push_rounds_per_update = 3;
/// A call later than expected by more than this shows that this process was stalled, not its peers.
constexpr auto stall_threshold = std::chrono::milliseconds(200);
/// Number of accusers, besides the first one, that reduce a suspicion to its minimum timeout.
constexpr std::size_t max_confirmations = 2;
constexpr int max_suspicion_factor = 3;
/// Number of seeds that a joining node contacts at a time; one of the seeds may be gone.
constexpr std::size_t seeds_per_attempt = 3;

}  // namespace

void membership::refute(const member_update& claim, base::time_point now)
{
    if (claim.node.life != self_.life)
    {
        report_newer_incarnation(claim.node.life);
        return;
    }
    const member& own = *table_.find(self_.id);
    if (claim.judged == verdict::none || claim.refutations < own.refutations ||
        own.announced == announced_state::left)
    {
        return;
    }
    announce(own.announced, claim.refutations, now);
}

void membership::report_newer_incarnation(base::incarnation incarnation)
{
    if (incarnation > self_.life && incarnation > newest_incarnation_reported_)
    {
        newest_incarnation_reported_ = incarnation;
        actions_.emplace_back(newer_incarnation_seen{.incarnation = incarnation});
    }
}

void membership::announce(announced_state state, std::uint32_t superseded, base::time_point now)
{
    const auto former = table_.find(self_.id)->announced;
    auto update = update_of(*table_.find(self_.id), true);
    update.refutations = std::max(update.refutations, superseded) + 1;
    update.announced = state;
    table_.merge(update, now);
    if (former == state && superseded > 0)
    {
        // A refutation goes to nodes that already know the details of this incarnation.
        update.details.reset();
    }
    updates_.put(std::move(update));
    schedule_push(now);
    if (former != state)
    {
        const member& own = *table_.find(self_.id);
        actions_.emplace_back(
            member_changed{.current = own, .former = member{.announced = former}.state()});
    }
}

void membership::raise_suspicion(const base::node_ref& target, const base::node_id& accuser,
                                 base::time_point now)
{
    const member* known = table_.find(target.id);
    if (known == nullptr || known->node != target || known->judged == verdict::dead ||
        known->announced == announced_state::left)
    {
        return;
    }
    auto update = update_of(*known, false);
    update.judged = verdict::suspect;
    update.accuser = accuser;
    receive_update(std::move(update), false, now);
    push_targets_.insert(target.id);
}

void membership::schedule_push(base::time_point now)
{
    push_rounds_ = push_rounds_per_update;
    next_push_ = std::max(next_push_, now);
}

void membership::probe_next(base::time_point now)
{
    if (now < next_probe_)
    {
        return;
    }
    next_probe_ = now + current_probe_period();
    const auto is_eligible = [this](const base::node_id& id)
    {
        const member* candidate = table_.find(id);
        return candidate != nullptr && id != self_.id && candidate->judged != verdict::dead &&
               candidate->announced != announced_state::left;
    };
    if (const auto id = probe_order_.next([this] { return table_.live(self_.id); }, is_eligible))
    {
        const member& target = *table_.find(*id);
        const auto sequence = probes_.start(target.node, now);
        transmit(target.details.peer, target.node, probe{.sequence = sequence}, now);
    }
}

void membership::advance_probes(base::time_point now)
{
    for (const auto& overdue : probes_.take_overdue(now))
    {
        const member* target = table_.find(overdue.target.id);
        if (target == nullptr)
        {
            continue;
        }
        auto helpers = table_.live(self_.id);
        std::erase(helpers, overdue.target.id);
        shuffle(helpers, options_.random);
        helpers.resize(std::min(helpers.size(), options_.indirect_probes));
        const probe_request request{.sequence = overdue.sequence,
                                    .target = overdue.target,
                                    .address = target->details.peer};
        for (const auto& id : helpers)
        {
            const member& helper = *table_.find(id);
            transmit(helper.details.peer, helper.node, request, now);
        }
    }
    for (const auto& failed : probes_.take_failed(now))
    {
        raise_suspicion(failed.target, self_.id, now);
        for (const auto& accuser : failed.nacks)
        {
            raise_suspicion(failed.target, accuser, now);
        }
    }
    for (const auto& origin : probes_.take_failed_relayed(now))
    {
        transmit(origin.address, origin.node, probe_nack{.sequence = origin.sequence}, now);
    }
}

void membership::expire_suspicions(base::time_point now)
{
    for (const auto& key : suspicions_.take_expired(now))
    {
        const member* suspect = table_.find(key.node.id);
        auto update = update_of(*suspect, false);
        update.judged = verdict::dead;
        apply(update, false, now);
    }
}

void membership::push(base::time_point now)
{
    if (now < next_push_ || (push_rounds_ == 0 && push_targets_.empty()))
    {
        return;
    }
    next_push_ = now + options_.push_interval;
    if (update_budget_.available(now) < options_.max_bytes)
    {
        return;
    }
    auto targets = std::exchange(push_targets_, {});
    if (push_rounds_ > 0)
    {
        --push_rounds_;
        auto peers = table_.live(self_.id);
        shuffle(peers, options_.random);
        peers.resize(std::min(peers.size(), options_.push_fanout));
        targets.insert(peers.begin(), peers.end());
    }
    for (const auto& id : targets)
    {
        if (const member* target = table_.find(id))
        {
            transmit(target->details.peer, target->node, std::nullopt, now);
        }
    }
}

struct membership::rejoin_target
{
    endpoint address;
    /// The incarnation is left empty, since the node may have restarted; for a seed the id is
    /// empty, too.
    base::node_ref node;
};

std::vector<membership::rejoin_target> membership::rejoin_targets() const
{
    std::map<endpoint, base::node_ref> targets;
    for (const auto& seed : options_.seeds)
    {
        targets[seed] = {};
    }
    for (const auto& [id, node] : table_.all())
    {
        if (node.state() == member_state::dead)
        {
            targets[node.details.peer] = {.id = id, .life = {}};
        }
    }
    // Removed last, since a dead node's address may be in use by another node by now.
    for (const auto& id : table_.live({}))
    {
        targets.erase(table_.find(id)->details.peer);
    }
    std::vector<rejoin_target> all;
    all.reserve(targets.size());
    for (auto& [address, node] : targets)
    {
        all.push_back({.address = address, .node = std::move(node)});
    }
    return all;
}

void membership::rejoin(base::time_point now)
{
    if (now < next_rejoin_)
    {
        return;
    }
    const bool is_alone = table_.live_count() <= 1;
    next_rejoin_ = now + jittered(is_alone ? options_.probe_period : options_.rejoin_interval,
                                  options_.random);
    auto targets = rejoin_targets();
    shuffle(targets, options_.random);
    targets.resize(std::min(targets.size(), is_alone ? seeds_per_attempt : std::size_t{1}));
    for (const auto& target : targets)
    {
        // A dead node receives its verdict with the gossip and refutes it; a seed may know other
        // nodes.
        std::optional<message> request;
        if (target.node.id.empty() || is_alone)
        {
            request = sync_request{.after = sync_.resume_after(), .view = table_.view()};
        }
        transmit(target.address, target.node, std::move(request), now);
    }
}

void membership::sync(base::time_point now)
{
    if (now >= next_sync_)
    {
        table_.remove_expired(now - options_.dead_retention);
        next_sync_ = now + jittered(options_.sync_interval, options_.random);
        const auto peers = table_.live(self_.id);
        if (!peers.empty())
        {
            const member& peer = *table_.find(peers[random_index(options_.random, peers.size())]);
            transmit(peer.details.peer, peer.node,
                     sync_request{.after = sync_.resume_after(), .view = table_.view()}, now);
        }
    }
    if (const auto due = sync_.take_due(now))
    {
        transmit(due->address, due->peer, sync_request{.after = due->after, .view = table_.view()},
                 now);
    }
}

void membership::report_newer_configuration(base::time_point now)
{
    if (const auto newest = configuration_.take_reminder(now))
    {
        actions_.emplace_back(newer_configuration_seen{
            .holder = newest->holder, .version = newest->version, .hash = newest->hash});
    }
}

void membership::transmit(const endpoint& address, const base::node_ref& to,
                          std::optional<message> payload, base::time_point now)
{
    const auto fleet = static_cast<std::uint64_t>(table_.live_count());
    const gossip_sources sources{
        .self = self_.id,
        .table = table_,
        .configuration = configuration_,
        .updates = updates_,
        .entries = entries_,
        .budget = update_budget_,
        .random = options_.random,
        .max_bytes = options_.max_bytes - (payload ? size_bound(*payload) : 0),
        .max_samples = options_.max_samples,
        .max_entry_bytes = options_.max_entry_bytes,
        .retransmit_limit =
            options_.retransmit_factor * static_cast<std::size_t>(std::bit_width(fleet)),
    };
    // Gossip comes first, so that the receiver knows an unknown sender by the time it handles the
    // payload.
    send action{.address = address, .to = to, .messages = {write_gossip(sources, to.id, now)}};
    if (payload)
    {
        action.messages.push_back(std::move(*payload));
    }
    actions_.emplace_back(std::move(action));
}

void membership::compensate_for_stall(base::time_point now)
{
    const auto delay = now - expected_call_;
    if (delay > stall_threshold)
    {
        // This process was suspended or starved of CPU time, and answers received meanwhile have
        // not been read. Without this correction, a node that resumes would suspect all nodes that
        // it had probed, and declare its suspects dead.
        probes_.postpone(delay);
        suspicions_.postpone(delay);
    }
}

void membership::update_expected_call(base::time_point now)
{
    expected_call_ = std::max(next_wakeup(), now);
}

base::duration membership::current_probe_period() const
{
    return table_.live_count() <= options_.small_fleet_size ? options_.short_probe_period
                                                            : options_.probe_period;
}

suspicion_timers::timeouts membership::suspicion_timeouts() const
{
    const std::size_t fleet = table_.live_count();
    // The time for an update to reach all nodes is a constant plus a term that grows with the
    // logarithm of the fleet's size.
    const double decades = std::log10(static_cast<double>(std::max<std::size_t>(fleet, 10)));
    const double scale = (1 + decades) / 2;
    const auto minimum = base::duration(static_cast<base::duration::rep>(
        static_cast<double>(options_.suspicion_timeout.count()) * scale));
    // This node and the suspect cannot be further accusers.
    const std::size_t others = fleet > 2 ? fleet - 2 : 0;
    return {.minimum = minimum,
            .maximum = minimum * max_suspicion_factor,
            .confirmations = std::min(max_confirmations, others)};
}

endpoint membership::address_of(const base::node_ref& node, const endpoint& source) const
{
    const member* known = table_.find(node.id);
    return known != nullptr && known->node == node ? known->details.peer : source;
}

}  // namespace caraway::membership
