#include "fleet.hpp"

#include <algorithm>
#include <tuple>

namespace caraway::scheduling::test
{

namespace
{

constexpr milliseconds step{1};
/// One-way latency between a router and an upstream.
constexpr milliseconds upstream_latency{1};
constexpr milliseconds progress_period{100};

}  // namespace

fleet::fleet(fleet_options options) : options_(std::move(options)), random_(options_.seed)
{
    options_.scheduling.random = [this]
    {
        return random_();
    };
    routers_.resize(options_.nodes);
    for (std::uint32_t i = 0; i < options_.nodes; ++i)
    {
        routers_[i].ref.id = base::node_id("n" + std::to_string(i));
        routers_[i].zone = base::zone_id("z" + std::to_string(i % options_.zones));
        start(i);
    }
}

config::configuration& fleet::configuration()
{
    return configuration_;
}

void fleet::add_workspace(const std::string& name, double share)
{
    const base::workspace_id id(name);
    config::workspace added;
    added.id = id;
    added.weight = base::share(share);
    added.max_waiting = 1000;
    configuration_.workspaces[id] = added;
}

void fleet::add_service(const std::string& name, std::uint32_t upstreams, base::slots slots)
{
    const base::service_id id(name);
    config::service added;
    added.id = id;
    added.default_cost = base::cost(100);
    configuration_.services[id] = added;
    for (std::uint32_t i = 0; i < upstreams; ++i)
    {
        const auto upstream = name + "-u" + std::to_string(i);
        config::upstream back_end;
        back_end.id = base::upstream_id(upstream);
        back_end.service = id;
        back_end.zone = base::zone_id("z" + std::to_string(i % options_.zones));
        back_end.slots = slots;
        configuration_.upstreams[back_end.id] = back_end;
        engines_[upstream].slots = slots;
    }
}

void fleet::publish()
{
    for (std::uint32_t i = 0; i < routers_.size(); ++i)
    {
        if (!routers_[i].scheduler)
        {
            continue;
        }
        std::vector<member> members;
        for (std::uint32_t j = 0; j < routers_.size(); ++j)
        {
            const auto& seen = routers_[i].members;
            const bool listed = !seen || std::find(seen->begin(), seen->end(), j) != seen->end();
            if (routers_[j].scheduler && (i == j || listed))
            {
                members.push_back({.node = routers_[j].ref, .zone = routers_[j].zone});
            }
        }
        routers_[i].scheduler->apply_configuration(configuration_, now());
        routers_[i].scheduler->apply_members(members, now());
        execute_actions(i);
    }
}

base::request_number fleet::submit(std::uint32_t node, const std::string& workspace, double cost,
                                   const std::string& service, double hint, milliseconds timeout)
{
    auto& target = routers_[node];
    request incoming;
    incoming.number = base::request_number{++target.next_number};
    incoming.workspace = base::workspace_id(workspace);
    incoming.service = base::service_id(service);
    incoming.hint = base::cost(hint < 0 ? cost : hint);
    incoming.arrival = now();
    incoming.deadline = now() + timeout;
    jobs_[{target.ref, incoming.number}] = {
        .workspace = workspace, .cost = cost, .node = node, .service = service};
    const auto number = incoming.number;
    statuses_[{node, number}] = request_status::waiting;
    ++waiting_[{node, workspace, service}];
    if (const auto rejected = target.scheduler->submit(incoming, now()))
    {
        given_up_.push_back(*rejected);
        remove_from_queue(node, number, request_status::given_up);
    }
    execute_actions(node);
    return number;
}

void fleet::add_flood(flood added)
{
    floods_.push_back(std::move(added));
}

void fleet::stop_flood(const std::string& workspace)
{
    std::erase_if(floods_, [&](const flood& each) { return each.workspace == workspace; });
}

void fleet::run_for(milliseconds duration)
{
    const auto end = now() + duration;
    while (now() < end)
    {
        refill_floods();
        clock_.advance(step);
        advance_engines(step);
        while (!events_.empty() && events_.begin()->first <= now())
        {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        for (std::uint32_t i = 0; i < routers_.size(); ++i)
        {
            tick_if_due(i);
        }
        if (on_step)
        {
            on_step();
        }
    }
}

void fleet::tick_if_due(std::uint32_t index)
{
    auto& scheduler = routers_[index].scheduler;
    if (!scheduler)
    {
        return;
    }
    const auto next = scheduler->next_wakeup();
    if (next && *next <= now())
    {
        scheduler->tick(now());
        execute_actions(index);
    }
}

void fleet::kill(std::uint32_t node)
{
    routers_[node].scheduler.reset();
    const auto ref = routers_[node].ref;
    const auto belongs_to_node = [&](const job_id& id)
    {
        return id.first == ref;
    };
    for (auto& [name, each] : engines_)
    {
        std::erase_if(each.running, belongs_to_node);
        std::erase_if(each.waiting, belongs_to_node);
    }
    std::erase_if(jobs_, [&](const auto& each) { return belongs_to_node(each.first); });
    for (auto& [id, status] : statuses_)
    {
        const bool open = status == request_status::waiting || status == request_status::running;
        status = id.first == node && open ? request_status::lost : status;
    }
    std::erase_if(floods_, [&](const flood& each) { return each.node == node; });
    std::erase_if(waiting_, [&](const auto& each) { return std::get<0>(each.first) == node; });
}

void fleet::start(std::uint32_t node)
{
    auto& target = routers_[node];
    target.ref.life = base::incarnation{static_cast<std::uint64_t>(target.ref.life) + 1};
    target.scheduler =
        std::make_unique<node_scheduler>(options_.scheduling, target.ref, target.zone);
}

void fleet::set_partitioned(std::uint32_t a, std::uint32_t b, bool partitioned)
{
    for (const auto& direction : {std::pair(a, b), std::pair(b, a)})
    {
        if (partitioned)
        {
            blocked_.insert(direction);
        }
        else
        {
            blocked_.erase(direction);
        }
    }
}

void fleet::set_members(std::uint32_t node, const std::vector<std::uint32_t>& others)
{
    routers_[node].members = others;
}

base::time_point fleet::now() const
{
    return clock_.now();
}

node_scheduler& fleet::node(std::uint32_t index)
{
    return *routers_[index].scheduler;
}

bool fleet::alive(std::uint32_t index) const
{
    return routers_[index].scheduler != nullptr;
}

base::node_ref fleet::ref(std::uint32_t index) const
{
    return routers_[index].ref;
}

std::uint32_t fleet::owner_of(const std::string& upstream, std::uint32_t observer)
{
    for (const auto& upstream_entry : node(observer).snapshot(now()).upstreams)
    {
        if (upstream_entry.upstream.str() == upstream)
        {
            return static_cast<std::uint32_t>(std::stoul(upstream_entry.owner.str().substr(1)));
        }
    }
    return UINT32_MAX;
}

double fleet::served(const std::string& workspace) const
{
    const auto found = served_.find(workspace);
    return found == served_.end() ? 0 : found->second;
}

std::uint32_t fleet::running(const std::string& upstream) const
{
    return static_cast<std::uint32_t>(engines_.at(upstream).running.size());
}

std::uint32_t fleet::total_running() const
{
    std::size_t sum = 0;
    for (const auto& [name, each] : engines_)
    {
        sum += each.running.size();
    }
    return static_cast<std::uint32_t>(sum);
}

std::uint32_t fleet::peak(const std::string& upstream) const
{
    return engines_.at(upstream).peak;
}

std::uint64_t fleet::messages() const
{
    return messages_;
}

request_status fleet::status_of(std::uint32_t node, base::request_number number) const
{
    return statuses_.at({node, number});
}

const std::vector<std::pair<std::uint32_t, base::request_number>>& fleet::started() const
{
    return started_;
}

const std::vector<rejection>& fleet::given_up() const
{
    return given_up_;
}

void fleet::schedule(base::duration delay, event callback)
{
    events_.emplace(now() + delay, std::move(callback));
}

void fleet::execute_actions(std::uint32_t index)
{
    for (const auto& next : routers_[index].scheduler->take_actions())
    {
        if (const auto* outgoing = std::get_if<send_message>(&next))
        {
            deliver(index, *outgoing);
        }
        else if (const auto* started = std::get_if<start_attempt>(&next))
        {
            started_.emplace_back(index, started->request);
            remove_from_queue(index, started->request, request_status::running);
            const job_id id{routers_[index].ref, started->request};
            const auto upstream = started->upstream.str();
            schedule(upstream_latency, [this, id, upstream] { enter_upstream(upstream, id); });
        }
        else if (const auto* over = std::get_if<give_up>(&next))
        {
            remove_from_queue(index, over->request, request_status::given_up);
            given_up_.push_back(over->answer);
        }
    }
}

void fleet::deliver(std::uint32_t from, const send_message& sent)
{
    const auto to = static_cast<std::uint32_t>(std::stoul(sent.to.id.str().substr(1)));
    ++messages_;
    if (on_message)
    {
        on_message(from, sent);
    }
    const int copies = 1 + (random_unit() < options_.faults.repeat_probability ? 1 : 0);
    for (int copy = 0; copy < copies; ++copy)
    {
        if (blocked_.contains({from, to}) || random_unit() < options_.faults.loss_probability)
        {
            continue;
        }
        const auto delay = milliseconds(
            static_cast<int>(random_unit() * static_cast<double>(options_.faults.jitter.count())));
        schedule(options_.faults.latency + delay,
                 [this, from = routers_[from].ref, to, message = sent.message]
                 {
                     if (routers_[to].scheduler)
                     {
                         routers_[to].scheduler->receive(from, message, now());
                         execute_actions(to);
                     }
                 });
    }
}

void fleet::enter_upstream(const std::string& upstream, const job_id& id)
{
    if (!jobs_.contains(id))
    {
        return;
    }
    const auto node = jobs_.at(id).node;
    ++arrivals[upstream][node];
    const auto fault = forced_results.find(upstream);
    if (fault != forced_results.end())
    {
        if (const auto rest = requested_rests.find(upstream); rest != requested_rests.end())
        {
            routers_[node].scheduler->record_rest(id.second, rest->second, now());
        }
        complete(upstream, id, fault->second);
        return;
    }
    auto& target = engines_.at(upstream);
    auto& queue = target.running.size() < target.slots ? target.running : target.waiting;
    queue.push_back(id);
    target.peak = std::max(
        target.peak, static_cast<std::uint32_t>(target.running.size() + target.waiting.size()));
}

void fleet::leave_upstream(const std::string& upstream, const job_id& id)
{
    auto& target = engines_.at(upstream);
    std::erase(target.running, id);
    if (!target.waiting.empty() && target.running.size() < target.slots)
    {
        target.running.push_back(target.waiting.front());
        target.waiting.erase(target.waiting.begin());
    }
}

void fleet::advance_engines(base::duration elapsed)
{
    const double work = options_.speed * std::chrono::duration<double>(elapsed).count();
    const bool report_progress =
        now().time_since_epoch() % progress_period == base::duration::zero();
    for (auto& [upstream, loaded] : engines_)
    {
        const auto running = loaded.running;
        for (const auto& id : running)
        {
            auto& each = jobs_.at(id);
            const double rendered = std::min(work, each.cost - each.rendered);
            each.rendered += rendered;
            served_[each.workspace] += rendered;
            if (each.rendered >= each.cost - 1e-9)
            {
                leave_upstream(upstream, id);
                schedule(upstream_latency,
                         [this, id, name = upstream] { complete(name, id, attempt_result::done); });
            }
            else if (report_progress)
            {
                routers_[each.node].scheduler->progress(id.second, base::cost(each.rendered),
                                                        now());
                execute_actions(each.node);
            }
        }
    }
}

void fleet::complete(const std::string&, const job_id& id, attempt_result result)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
    {
        return;
    }
    const auto node = found->second.node;
    auto& scheduler = *routers_[node].scheduler;
    scheduler.finished(id.second, base::cost(found->second.rendered), result, now());
    if (result != attempt_result::done && scheduler.retry(id.second, now()))
    {
        statuses_[{node, id.second}] = request_status::waiting;
        ++waiting_[{node, found->second.workspace, found->second.service}];
    }
    else
    {
        statuses_[{node, id.second}] =
            result == attempt_result::done ? request_status::done : request_status::lost;
        jobs_.erase(found);
    }
    execute_actions(node);
}

void fleet::refill_floods()
{
    for (const auto& source : floods_)
    {
        const auto& waiting = waiting_[{source.node, source.workspace, source.service}];
        // A rejected request does not wait; the next step submits another.
        for (auto room = source.depth; room > waiting; --room)
        {
            const double cost = source.cost();
            submit(source.node, source.workspace, cost, source.service, source.hint(cost));
        }
    }
}

void fleet::remove_from_queue(std::uint32_t node, base::request_number number,
                              request_status status)
{
    const auto& each = jobs_.at({routers_[node].ref, number});
    --waiting_[{node, each.workspace, each.service}];
    statuses_[{node, number}] = status;
}

double fleet::random_unit()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

}  // namespace caraway::scheduling::test
