// The part of membership that time drives: probes, suspicion, pushes, rejoining.
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

/// Pushes after news; with the fan-out, each round about triples those who know.
constexpr int push_rounds_after_news = 3;
/// A call that comes later than this says that this process stood still, not that its peers did.
constexpr auto stall_threshold = std::chrono::milliseconds(200);
/// Accusers besides the first that make a suspicion as short as it gets.
constexpr std::size_t enough_accusers = 2;
constexpr int longest_suspicion_factor = 3;
/// What a joining node asks at a time; one of them may be gone.
constexpr std::size_t seeds_at_a_time = 3;

}  // namespace

void membership::defend(const member_update& claim, base::time_point now)
{
    if (claim.node.life != self_.life)
    {
        note_newer_life(claim.node.life);
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

void membership::note_newer_life(base::incarnation life)
{
    if (life > self_.life && life > newest_life_said_)
    {
        newest_life_said_ = life;
        actions_.emplace_back(newer_incarnation_seen{.incarnation = life});
    }
}

void membership::announce(announced_state state, std::uint32_t above, base::time_point now)
{
    const auto former = table_.find(self_.id)->announced;
    auto update = update_of(*table_.find(self_.id), true);
    update.refutations = std::max(update.refutations, above) + 1;
    update.announced = state;
    table_.merge(update, now);
    if (former == state && above > 0)
    {
        // A refutation goes to those who know this life already.
        update.details.reset();
    }
    updates_.put(std::move(update));
    tell_soon(now);
    if (former != state)
    {
        const member& own = *table_.find(self_.id);
        actions_.emplace_back(
            member_changed{.current = own, .former = member{.announced = former}.state()});
    }
}

void membership::accuse(const base::node_ref& target, const base::node_id& accuser,
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
    take_update(std::move(update), false, now);
    push_to_.insert(target.id);
}

void membership::tell_soon(base::time_point now)
{
    push_rounds_ = push_rounds_after_news;
    next_push_ = std::max(next_push_, now);
}

void membership::probe_next(base::time_point now)
{
    if (now < next_probe_)
    {
        return;
    }
    next_probe_ = now + probe_period();
    const auto eligible = [this](const base::node_id& id)
    {
        const member* each = table_.find(id);
        return each != nullptr && id != self_.id && each->judged != verdict::dead &&
               each->announced != announced_state::left;
    };
    if (const auto id = order_.next([this] { return table_.live(self_.id); }, eligible))
    {
        const member& target = *table_.find(*id);
        const auto sequence = probes_.start(target.node, now);
        transmit(target.details.peer, target.node, probe{.sequence = sequence}, now);
    }
}

void membership::follow_probes(base::time_point now)
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
        accuse(failed.target, self_.id, now);
        for (const auto& accuser : failed.nacks)
        {
            accuse(failed.target, accuser, now);
        }
    }
    for (const auto& asked : probes_.take_failed_for_others(now))
    {
        transmit(asked.address, asked.node, probe_nack{.sequence = asked.sequence}, now);
    }
}

void membership::bury(base::time_point now)
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
    if (now < next_push_ || (push_rounds_ == 0 && push_to_.empty()))
    {
        return;
    }
    next_push_ = now + options_.push_interval;
    if (update_budget_.left(now) < options_.max_bytes)
    {
        return;
    }
    auto targets = std::exchange(push_to_, {});
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

struct membership::lost_node
{
    endpoint address;
    /// Any life: it may be back. Empty for a seed.
    base::node_ref node;
};

std::vector<membership::lost_node> membership::lost_nodes() const
{
    std::map<endpoint, base::node_ref> lost;
    for (const auto& seed : options_.seeds)
    {
        lost[seed] = {};
    }
    for (const auto& [id, each] : table_.all())
    {
        if (each.state() == member_state::dead)
        {
            lost[each.details.peer] = {.id = id, .life = {}};
        }
    }
    // Afterwards, since a dead node's address may be in use by another by now.
    for (const auto& id : table_.live({}))
    {
        lost.erase(table_.find(id)->details.peer);
    }
    std::vector<lost_node> all;
    all.reserve(lost.size());
    for (auto& [address, node] : lost)
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
    next_rejoin_ =
        now + jittered(is_alone ? options_.period : options_.rejoin_interval, options_.random);
    auto lost = lost_nodes();
    shuffle(lost, options_.random);
    lost.resize(std::min(lost.size(), is_alone ? seeds_at_a_time : std::size_t{1}));
    for (const auto& each : lost)
    {
        // A lost node hears that it is taken for dead and refutes; a seed may know others.
        std::optional<message> request;
        if (each.node.id.empty() || is_alone)
        {
            request = sync_request{.after = sync_.resume_after(), .view = table_.view()};
        }
        transmit(each.address, each.node, std::move(request), now);
    }
}

void membership::sync(base::time_point now)
{
    if (now >= next_sync_)
    {
        table_.forget_gone(now - options_.dead_retention);
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

void membership::remind(base::time_point now)
{
    if (const auto newest = configuration_.take_reminder(now))
    {
        actions_.emplace_back(newer_configuration_seen{
            .holder = newest->holder, .version = newest->version, .hash = newest->hash});
    }
}

void membership::transmit(const endpoint& address, const base::node_ref& to,
                          std::optional<message> with, base::time_point now)
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
        .max_bytes = options_.max_bytes - (with ? size_bound(*with) : 0),
        .max_samples = options_.max_samples,
        .max_entry_bytes = options_.max_entry_bytes,
        .retransmits = options_.retransmit_factor * static_cast<std::size_t>(std::bit_width(fleet)),
    };
    // Gossip first, so that a stranger is known by the time that its request is read.
    send action{.address = address, .to = to, .messages = {write_gossip(sources, to.id, now)}};
    if (with)
    {
        action.messages.push_back(std::move(*with));
    }
    actions_.emplace_back(std::move(action));
}

void membership::absorb_stall(base::time_point now)
{
    const auto late = now - expected_;
    if (late > stall_threshold)
    {
        // Frozen, or starved of processor time. Answers that came meanwhile haven't been read:
        // without this, a node that wakes up would accuse all whom it had asked, and bury its
        // suspects.
        probes_.postpone(late);
        suspicions_.postpone(late);
    }
}

void membership::expect_call(base::time_point now)
{
    expected_ = std::max(next_wakeup(), now);
}

base::duration membership::probe_period() const
{
    return table_.live_count() <= options_.small_fleet ? options_.short_period : options_.period;
}

suspicion_timers::span membership::suspicion_span() const
{
    const std::size_t fleet = table_.live_count();
    // News reaches all in a time that grows with the logarithm, from a part that is the same for
    // all.
    const double decades = std::log10(static_cast<double>(std::max<std::size_t>(fleet, 10)));
    const double scale = (1 + decades) / 2;
    const auto shortest = base::duration(
        static_cast<base::duration::rep>(static_cast<double>(options_.suspicion.count()) * scale));
    // This node and the suspect can't be further accusers.
    const std::size_t others = fleet > 2 ? fleet - 2 : 0;
    return {.shortest = shortest,
            .longest = shortest * longest_suspicion_factor,
            .enough = std::min(enough_accusers, others)};
}

endpoint membership::address_of(const base::node_ref& node, const endpoint& source) const
{
    const member* known = table_.find(node.id);
    return known != nullptr && known->node == node ? known->details.peer : source;
}

}  // namespace caraway::membership
