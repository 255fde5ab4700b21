#include "virtual_fleet.hpp"

#include "libcaraway/wire/codec.hpp"
#include "libcaraway/wire/sealing.hpp"

#include <algorithm>
#include <stdexcept>

namespace caraway::tests
{

namespace
{

constexpr std::size_t zones = 5;
constexpr std::size_t seed_count = 3;
/// Nodes of larger fleets are started further apart: the machines of a large fleet do not all come
/// up within the same seconds.
constexpr std::size_t small_start = 64;

std::size_t size_on_wire(const base::node_ref& from, const membership::send& sending)
{
    const wire::envelope envelope{.from = from,
                                  .to = sending.to,
                                  .messages = {sending.messages.begin(), sending.messages.end()}};
    return static_cast<std::size_t>(wire::encode(envelope).size()) + wire::seal_bytes;
}

}  // namespace

virtual_fleet::virtual_fleet(options settings)
    : options_(std::move(settings)), random_(options_.seed)
{
    options_.member.random = [this]
    {
        return random_();
    };
}

void virtual_fleet::start(std::size_t count)
{
    for (std::size_t node = 0; node < count; ++node)
    {
        at(add(1000)).set_ready(now_);
        run_for(count > small_start ? 200ms : 20ms);
    }
    if (!run_until([this] { return has_converged(); }, 60s))
    {
        throw std::runtime_error("the fleet did not converge within 60 s");
    }
}

std::size_t virtual_fleet::add(std::uint64_t incarnation_offset)
{
    machines_.emplace_back();
    const std::size_t node = machines_.size() - 1;
    nodes_by_address_[address(node)] = node;
    launch(node, incarnation_offset);
    return node;
}

void virtual_fleet::launch(std::size_t node, std::uint64_t incarnation_offset)
{
    auto member_options = options_.member;
    for (std::size_t seed = 0; seed < std::min(seed_count, machines_.size()); ++seed)
    {
        member_options.seeds.push_back(address(seed));
    }
    const auto peer = address(node);
    const membership::member_details details{
        .peer = peer,
        .caller = {.host = peer.host, .port = 8080},
        .admin = {.host = peer.host, .port = 8090},
        .zone = base::zone_id("zone-" + std::to_string(node % zones)),
        .region = base::region_id(node % zones < 3 ? "east" : "west")};
    auto& machine = machines_[node];
    machine = {};
    machine.member = std::make_unique<membership::membership>(
        member_options, base::node_ref{.id = id(node), .life = incarnation_of(incarnation_offset)},
        details, now_);
    machine.running = true;
    schedule_tick(node);
}

void virtual_fleet::restart(std::size_t node, std::uint64_t incarnation_offset)
{
    launch(node, incarnation_offset);
}

void virtual_fleet::kill(std::size_t node)
{
    machines_[node].running = false;
}

void virtual_fleet::freeze(std::size_t node)
{
    machines_[node].frozen = true;
}

void virtual_fleet::resume(std::size_t node)
{
    machines_[node].frozen = false;
    machines_[node].tick_at = time_point::max();
    for (const auto& read : std::exchange(machines_[node].unread_datagrams, {}))
    {
        read();
    }
    schedule_tick(node);
}

void virtual_fleet::partition(std::function<int(std::size_t)> group_of)
{
    group_of_ = std::move(group_of);
}

void virtual_fleet::heal()
{
    group_of_ = nullptr;
}

void virtual_fleet::run_for(base::duration duration)
{
    const auto end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end)
    {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    now_ = end;
}

bool virtual_fleet::run_until(const std::function<bool()>& predicate, base::duration limit)
{
    const auto end = now_ + limit;
    while (!predicate())
    {
        if (now_ >= end)
        {
            return false;
        }
        run_for(50ms);
    }
    return true;
}

membership::membership& virtual_fleet::at(std::size_t node)
{
    return *machines_[node].member;
}

base::node_id virtual_fleet::id(std::size_t node)
{
    return base::node_id("router-" + std::to_string(node));
}

base::incarnation virtual_fleet::incarnation_of(std::uint64_t offset)
{
    constexpr std::uint64_t milliseconds_since_1970 = 1'700'000'000'000;
    return base::incarnation{milliseconds_since_1970 + offset};
}

membership::member_state virtual_fleet::observed_state(std::size_t observer, std::size_t node)
{
    const auto* found = at(observer).find(id(node));
    return found == nullptr ? membership::member_state::left : found->state();
}

bool virtual_fleet::has_converged()
{
    for (std::size_t observer = 0; observer < machines_.size(); ++observer)
    {
        if (!machines_[observer].running)
        {
            continue;
        }
        for (std::size_t node = 0; node < machines_.size(); ++node)
        {
            if ((observed_state(observer, node) == membership::member_state::alive) !=
                machines_[node].running)
            {
                return false;
            }
        }
    }
    return true;
}

void virtual_fleet::schedule(time_point at, std::function<void()> run)
{
    events_.push({.at = at, .order = order_++, .run = std::move(run)});
}

void virtual_fleet::schedule_tick(std::size_t node)
{
    auto& machine = machines_[node];
    const auto at = std::max(now_, machine.member->next_wakeup());
    if (machine.tick_at <= at && machine.tick_at >= now_)
    {
        return;
    }
    machine.tick_at = at;
    schedule(at,
             [this, node, at]
             {
                 auto& due = machines_[node];
                 if (due.tick_at != at || !due.running || due.frozen)
                 {
                     return;
                 }
                 due.tick_at = time_point::max();
                 due.member->tick(now_);
                 perform_actions(node);
             });
}

void virtual_fleet::perform_actions(std::size_t node)
{
    auto& member = at(node);
    for (const auto& action : member.take_actions())
    {
        if (const auto* sending = std::get_if<membership::send>(&action))
        {
            transmit(node, *sending);
        }
        else if (const auto* changed = std::get_if<membership::member_changed>(&action))
        {
            changes.push_back({.at = now_, .observer = id(node), .transition = *changed});
        }
        else if (const auto* seen = std::get_if<membership::newer_configuration_seen>(&action))
        {
            configurations.push_back(*seen);
        }
        else
        {
            newer_incarnations.push_back(std::get<membership::newer_incarnation_seen>(action));
        }
    }
    schedule_tick(node);
}

void virtual_fleet::transmit(std::size_t from, const membership::send& sending)
{
    const auto& sender = at(from).self();
    const std::size_t size = size_on_wire(sender, sending);
    auto& counted = sent[from];
    ++counted.datagrams;
    counted.bytes += size;
    counted.largest = std::max(counted.largest, size);
    const auto receiver = nodes_by_address_.find(sending.address);
    const bool is_lost = std::uniform_real_distribution<>(0, 1)(random_) < options_.loss;
    if (receiver == nodes_by_address_.end() || is_lost ||
        (group_of_ && group_of_(from) != group_of_(receiver->second)))
    {
        return;
    }
    const auto range = (options_.max_delay - options_.min_delay).count();
    const auto delay = options_.min_delay + base::duration(static_cast<base::duration::rep>(
                                                random_() % static_cast<std::uint64_t>(range)));
    schedule(now_ + delay, [this, from, to = receiver->second, sender, sending]
             { deliver(from, to, sender, sending); });
}

void virtual_fleet::deliver(std::size_t from, std::size_t to, const base::node_ref& sender,
                            const membership::send& sending)
{
    auto& machine = machines_[to];
    if (machine.frozen)
    {
        machine.unread_datagrams.emplace_back([=, this] { deliver(from, to, sender, sending); });
        return;
    }
    if (!machine.running || !wire::is_addressed_to(sending.to, machine.member->self()))
    {
        return;
    }
    for (const auto& message : sending.messages)
    {
        machine.member->receive(address(from), sender, message, now_);
    }
    perform_actions(to);
}

membership::endpoint virtual_fleet::address(std::size_t node) const
{
    return {.host = "10.20." + std::to_string(node / 250) + "." + std::to_string(1 + node % 250),
            .port = 7400};
}

}  // namespace caraway::tests
