#include "libcaraway/membership/membership.hpp"

#include "libcaraway/membership/message_size.hpp"

#include <algorithm>
#include <utility>

namespace caraway::membership
{

namespace
{

/// Number of members that are notified directly when this process ends.
constexpr std::size_t max_leave_notices = 8;

void keep_earlier(base::time_point& earliest, const std::optional<base::time_point>& other)
{
    if (other)
    {
        earliest = std::min(earliest, *other);
    }
}

}  // namespace

membership::membership(options options, base::node_ref self, member_details details,
                       base::time_point now)
    : options_(std::move(options)), self_(std::move(self)), entries_(options_.entries),
      probe_order_(options_.random),
      probes_({.direct = options_.direct_timeout, .total = options_.probe_timeout}),
      configuration_(self_.id), update_budget_(options_.bytes_per_s, options_.burst_bytes, now),
      list_budget_(options_.bytes_per_s, options_.burst_bytes, now), next_probe_(now),
      next_push_(now), next_rejoin_(now), next_sync_(now + options_.mismatch_sync_interval),
      expected_call_(now)
{
    table_.insert(
        {.node = self_, .details = std::move(details), .load_measured_at = now, .changed_at = now});
    announce(announced_state::joining, 0, now);
}

void membership::receive(const endpoint& source, const base::node_ref& sender,
                         const message& received, base::time_point now)
{
    compensate_for_stall(now);
    const member* known = table_.find(sender.id);
    if (sender.id == self_.id)
    {
        report_newer_incarnation(sender.life);
    }
    else if (known != nullptr && sender.life < known->node.life)
    {
        // The sender is a process of an earlier incarnation that still runs, or its clock was set
        // back; it is sent the newer incarnation.
        transmit(source, sender, gossip{.updates = {update_of(*known, true)}}, now);
    }
    else
    {
        std::visit([&](const auto& content) { handle(source, sender, content, now); }, received);
    }
    update_expected_call(now);
}

void membership::tick(base::time_point now)
{
    compensate_for_stall(now);
    probe_next(now);
    advance_probes(now);
    expire_suspicions(now);
    rejoin(now);
    sync(now);
    push(now);
    report_newer_configuration(now);
    update_expected_call(now);
}

base::time_point membership::next_wakeup() const
{
    base::time_point next = std::min({next_probe_, next_rejoin_, next_sync_});
    if (push_rounds_ > 0 || !push_targets_.empty())
    {
        next = std::min(next, next_push_);
    }
    keep_earlier(next, probes_.next_deadline());
    keep_earlier(next, suspicions_.next_deadline());
    keep_earlier(next, sync_.next_deadline());
    keep_earlier(next, configuration_.next_reminder());
    return next;
}

std::vector<action> membership::take_actions()
{
    return std::exchange(actions_, {});
}

void membership::set_ready(base::time_point now)
{
    if (table_.find(self_.id)->announced == announced_state::joining)
    {
        announce(announced_state::alive, 0, now);
    }
}

void membership::set_leaving(base::time_point now)
{
    if (table_.find(self_.id)->announced < announced_state::leaving)
    {
        announce(announced_state::leaving, 0, now);
    }
}

void membership::set_left(base::time_point now)
{
    if (table_.find(self_.id)->announced == announced_state::left)
    {
        return;
    }
    announce(announced_state::left, 0, now);
    // The process ends too soon for rounds of gossip.
    auto peers = table_.live(self_.id);
    shuffle(peers, options_.random);
    peers.resize(std::min(peers.size(), max_leave_notices));
    push_targets_.insert(peers.begin(), peers.end());
    next_push_ = now;
    push(now);
}

void membership::set_own_load(const load_digest& load, base::time_point now)
{
    member& own = *table_.find(self_.id);
    own.load = load;
    own.load_measured_at = now;
}

void membership::set_own_configuration(base::config_version version, const config::sha256_hex& hash,
                                       base::time_point now)
{
    if (configuration_.set_own(version, hash))
    {
        schedule_push(now);
    }
    member& own = *table_.find(self_.id);
    if (version > own.configuration)
    {
        own.configuration = version;
        own.configuration_hash = hash;
    }
}

void membership::set_seeds(std::vector<endpoint> seeds)
{
    options_.seeds = std::move(seeds);
}

std::uint32_t membership::increment(std::uint64_t fingerprint, std::chrono::milliseconds ttl,
                                    base::time_point now)
{
    schedule_push(now);
    return entries_.increment(fingerprint, ttl, now);
}

std::vector<member> membership::alive() const
{
    std::vector<member> all;
    for (const auto& [id, node] : table_.all())
    {
        if (node.takes_part())
        {
            all.push_back(node);
        }
    }
    return all;
}

void membership::handle(const endpoint& source, const base::node_ref& sender, const probe& received,
                        base::time_point now)
{
    transmit(address_of(sender, source), sender, probe_ack{.sequence = received.sequence}, now);
}

void membership::handle(const endpoint&, const base::node_ref&, const probe_ack& received,
                        base::time_point now)
{
    if (const auto origin = probes_.acknowledge(received.sequence))
    {
        transmit(origin->address, origin->node, probe_ack{.sequence = origin->sequence}, now);
    }
}

void membership::handle(const endpoint&, const base::node_ref& sender, const probe_nack& received,
                        base::time_point)
{
    probes_.record_nack(received.sequence, sender.id);
}

void membership::handle(const endpoint& source, const base::node_ref& sender,
                        const probe_request& received, base::time_point now)
{
    const auto sequence = probes_.start_relayed(
        {.node = sender, .address = address_of(sender, source), .sequence = received.sequence},
        now);
    transmit(received.address, received.target, probe{.sequence = sequence}, now);
}

void membership::handle(const endpoint& source, const base::node_ref& sender,
                        const sync_request& received, base::time_point now)
{
    if (list_budget_.available(now) < options_.max_bytes)
    {
        // Over budget: the requester repeats the request.
        return;
    }
    auto reply = table_.sync_page(received.after, received.view, options_.max_bytes);
    list_budget_.spend(size_bound(reply));
    // Sent alone, since a page and gossip together would exceed the limit.
    actions_.emplace_back(send{address_of(sender, source), sender, {std::move(reply)}});
}

void membership::handle(const endpoint& source, const base::node_ref& sender,
                        const sync_reply& received, base::time_point now)
{
    for (const auto& update : received.members)
    {
        receive_update(update, true, now);
    }
    sync_.record_page(source, sender, received.next_after, now);
}

void membership::handle(const endpoint& source, const base::node_ref& sender,
                        const gossip& received, base::time_point now)
{
    for (const auto& update : received.updates)
    {
        updates_.record_received(update);
        receive_update(update, false, now);
    }
    if (entries_.merge(received.entries, now))
    {
        schedule_push(now);
    }
    const member* known_sender = table_.find(sender.id);
    if (known_sender == nullptr || known_sender->node.life < sender.life)
    {
        sync_.start(source, sender, now);
        return;
    }
    if (known_sender->judged != verdict::none)
    {
        push_targets_.insert(sender.id);
    }
    record_status(sender, received, now);
}

void membership::record_status(const base::node_ref& sender, const gossip& received,
                               base::time_point now)
{
    member& known_sender = *table_.find(sender.id);
    known_sender.load = received.load;
    known_sender.load_measured_at = now;
    known_sender.configuration = received.configuration;
    if (received.view != table_.view_hash())
    {
        next_sync_ =
            std::min(next_sync_, now + jittered(options_.mismatch_sync_interval, options_.random));
    }
    if (configuration_.record_peer(received.newest, received.configuration, sender.id, now))
    {
        schedule_push(now);
    }
    if (known_sender.configuration == configuration_.newest().version)
    {
        known_sender.configuration_hash = configuration_.newest().hash;
    }
    for (const auto& sample : received.samples)
    {
        record_sample(sample, now);
    }
}

void membership::record_sample(const load_sample& sample, base::time_point now)
{
    member* node = table_.find(sample.node);
    const auto measured_at = now - std::chrono::milliseconds(sample.age_ms);
    if (node == nullptr || sample.node == self_.id ||
        (node->load_measured_at && *node->load_measured_at >= measured_at))
    {
        return;
    }
    node->load = sample.load;
    node->load_measured_at = measured_at;
    node->configuration = std::max(node->configuration, sample.configuration);
    if (node->configuration == configuration_.newest().version)
    {
        node->configuration_hash = configuration_.newest().hash;
    }
}

void membership::receive_update(member_update update, bool is_sync, base::time_point now)
{
    if (update.node.id == self_.id)
    {
        refute(update, now);
        return;
    }
    const member* known = table_.find(update.node.id);
    if (known == nullptr && update.judged == verdict::dead)
    {
        return;
    }
    const bool is_suspect_here = known != nullptr && known->node == update.node &&
                                 known->refutations == update.refutations &&
                                 known->judged == verdict::suspect;
    if (update.judged == verdict::dead && !is_suspect_here)
    {
        // After a partition each side reports the nodes of the other as dead. If these reports were
        // accepted, all nodes of both sides would be dead for a moment. So a death without a
        // preceding suspicion here only triggers a probe by this node; the rest of the reported
        // state (incarnation, refutations, announced state) is accepted.
        update.judged = verdict::none;
        if (known->judged == verdict::none && !supersedes(update_of(*known, false), update))
        {
            probe_order_.prioritize(update.node.id);
        }
    }
    if (update.judged == verdict::suspect && is_suspect_here)
    {
        const suspicion_key key{.node = update.node, .refutations = update.refutations};
        if (suspicions_.record_accuser(key, update.accuser, suspicion_timeouts(), now))
        {
            updates_.put(update);
            schedule_push(now);
        }
        return;
    }
    apply(update, is_sync, now);
}

void membership::apply(const member_update& update, bool is_sync, base::time_point now)
{
    const auto merged = table_.merge(update, now);
    if (!merged.is_applied)
    {
        return;
    }
    const member& current = *table_.find(update.node.id);
    suspicions_.clear(update.node.id);
    if (update.judged == verdict::suspect)
    {
        suspicions_.record_accuser({.node = update.node, .refutations = update.refutations},
                                   update.accuser, suspicion_timeouts(), now);
        push_targets_.insert(update.node.id);
        if (table_.live_count() <= options_.small_fleet_size)
        {
            // Probes the suspect next, for a second opinion. A large fleet has enough accusers, and
            // simultaneous probes by all nodes would be a burst.
            probe_order_.prioritize(update.node.id);
        }
    }
    if (!merged.former)
    {
        probe_order_.add(update.node.id);
    }
    // A node discovered in a peer's member list is known to the rest of the fleet as well, so it is
    // not passed on.
    if (merged.former || !is_sync)
    {
        updates_.put(update);
        schedule_push(now);
    }
    if (merged.is_new_incarnation || merged.former != current.state())
    {
        actions_.emplace_back(member_changed{.current = current, .former = merged.former});
    }
}

}  // namespace caraway::membership
