#include "fleet_model.hpp"

#include <algorithm>
#include <numeric>

namespace caraway::hot_parts
{

namespace
{

constexpr milliseconds tick{10};
/// Time that an engine keeps a part that isn't used.
constexpr std::chrono::seconds kept_for{15};

base::duration to_duration(double ms)
{
    return std::chrono::duration_cast<base::duration>(
        std::chrono::duration<double, std::milli>(ms));
}

std::uint32_t prompt_tokens(const model_request& request)
{
    return std::accumulate(request.parts.begin(), request.parts.end(), std::uint32_t{0},
                           [](auto sum, const auto& part) { return sum + part.tokens; });
}

}  // namespace

double model_result::on_time() const
{
    return 1 - static_cast<double>(refused + late) /
                   static_cast<double>(std::max<std::size_t>(1, asked));
}

double model_result::busiest() const
{
    const auto sum = std::accumulate(arrivals.begin(), arrivals.end(), std::size_t{0});
    const auto most = *std::max_element(arrivals.begin(), arrivals.end());
    return static_cast<double>(most * arrivals.size()) /
           static_cast<double>(std::max<std::size_t>(1, sum));
}

fleet_model::fleet_model(const model_options& options)
    : options_(options),
      random_(options.seed), service_{.id = base::service_id("engines"),
                                      .engine = routing::engine_capacity{
                                          .slots = options.slots,
                                          .kv_tokens = 485000,
                                          .transfer_per_token =
                                              std::chrono::duration<double, std::milli>(
                                                  options.transfer_ms_per_token)}}
{
    for (std::size_t index = 0; index < options.engines; ++index)
    {
        const base::upstream_id id("engine-" + std::to_string(index));
        const auto zone = index * options.zones / options.engines;
        engines_.push_back(
            {.id = id, .zone = zone, .speed = options.speeds[index % options.speeds.size()]});
        index_of_[id] = index;
        directory_.put({.id = id,
                        .service = service_.id,
                        .zone = base::zone_id("z" + std::to_string(zone)),
                        .slots = options.slots},
                       {.revision = 1, .received = now_});
    }
    for (std::size_t index = 0; index < options.routers; ++index)
    {
        auto placement = options.placement;
        placement.zone = base::zone_id("z" + std::to_string(index % options.zones));
        auto added = std::make_unique<router>(placement);
        added->id = base::node_id("router-" + std::to_string(index));
        added->zone = index % options.zones;
        routers_.push_back(std::move(added));
    }
    result.arrivals.resize(options.engines);
}

double fleet_model::random_unit()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void fleet_model::schedule(base::time_point at, std::function<void()> act)
{
    events_.push({.at = at, .order = next_order_++, .act = std::move(act)});
}

void fleet_model::send(std::size_t zone, model_request request)
{
    const auto per_zone = options_.routers / options_.zones;
    const auto choice = std::min(
        per_zone - 1, static_cast<std::size_t>(random_unit() * static_cast<double>(per_zone)));
    auto& from = *routers_[choice * options_.zones + zone];
    ++result.asked;
    waiting asked{.request = std::move(request), .arrived = now_};
    if (!place(from, asked))
    {
        from.queue.push_back(std::move(asked));
    }
}

bool fleet_model::place(router& from, const waiting& asked)
{
    const auto& request = asked.request;
    const auto chosen = from.placer.choose({.requested_service = &service_,
                                            .prompt_tokens = prompt_tokens(request),
                                            .output_tokens = request.output_tokens,
                                            .parts = &request.parts,
                                            .max_wait = options_.max_wait,
                                            .random_unit = random_unit()},
                                           directory_, from.loads, health_, from.engines, now_);
    if (chosen)
    {
        carry_out(from, asked, *chosen);
    }
    return chosen.has_value();
}

void fleet_model::carry_out(router& from, const waiting& asked, const routing::placement& chosen)
{
    const auto index = index_of_.at(chosen.target.id);
    auto& target = engines_[index];
    const auto& request = asked.request;
    from.loads.record_start(target.id, chosen.load);
    from.placer.record_sent(target.id, request.parts, base::workspace_id("w"), now_,
                            chosen.is_new_copy && options_.tells_copies);
    ++result.arrivals[index];
    result.other_zone += target.zone != from.zone ? 1 : 0;
    sent_[routing::parts::shared_prefix_hashes(request.parts).back()][index] = now_;
    const engine* source = nullptr;
    if (chosen.cache_source)
    {
        source = &engines_[index_of_.at(chosen.cache_source->id)];
        ++result.most_fetches_of_source[source->id.str()];
    }
    const auto before = result.read_again;
    const auto unread = tokens_to_read(target, request, source);
    if (result.read_again > before)
    {
        const auto held =
            source == nullptr ? "-"
            : source->kept.contains(routing::parts::shared_prefix_hashes(request.parts).back())
                ? "held"
                : "lacked";
        result.causes[std::string(routing::name(chosen.copy)) + " source " + held] +=
            result.read_again - before;
    }
    auto begin = std::max(now_, target.read_until);
    if (target.ends.size() >= options_.slots)
    {
        begin = std::max(begin, target.ends.top());
        target.ends.pop();
    }
    const auto first =
        begin + to_duration(unread * options_.prefill_ms_per_token / target.speed + 10);
    const auto end =
        first + to_duration(request.output_tokens * options_.output_ms_per_token / target.speed);
    target.read_until = first;
    target.ends.push(end);
    for (const auto prefix : routing::parts::shared_prefix_hashes(request.parts))
    {
        target.kept[prefix] = first;
    }
    result.late += first - asked.arrived > options_.target ? 1 : 0;
    schedule(
        first,
        [this, &from, chosen, sent = now_]
        {
            from.loads.record_prefill_done(chosen.target.id, chosen.load.pending_prefill_tokens);
            from.engines.prefill.record_prefill(
                chosen.target.id, chosen.queued_tokens,
                static_cast<std::uint32_t>(chosen.load.pending_prefill_tokens), now_ - sent, now_);
        });
    schedule(end,
             [this, &from, chosen, parts = request.parts, sent = now_]
             {
                 auto load = chosen.load;
                 load.pending_prefill_tokens = 0;
                 from.loads.record_end(chosen.target.id, load);
                 from.placer.homes().record_duration(parts, now_ - sent, now_);
             });
}

/// Tokens of the prompt that the engine has to read, after it fetched what the source keeps.
std::uint32_t fleet_model::tokens_to_read(engine& target, const model_request& request,
                                          const engine* source)
{
    const auto prefixes = routing::parts::shared_prefix_hashes(request.parts);
    std::uint32_t unread = prompt_tokens(request);
    bool kept = true;
    bool fetched = source != nullptr && !source->lost;
    for (std::size_t part = 0; part < prefixes.size(); ++part)
    {
        const auto tokens = request.parts[part].tokens;
        const auto holds = [&](const engine& each)
        {
            const auto found = each.kept.find(prefixes[part]);
            return found != each.kept.end() && found->second + kept_for > now_;
        };
        kept = kept && holds(target);
        fetched = fetched && holds(*source);
        if (kept || fetched)
        {
            unread -= tokens;
            result.moved += kept ? 0 : tokens;
            continue;
        }
        result.read_again += read_once_.insert(prefixes[part]).second ? 0 : tokens;
    }
    return unread;
}

void fleet_model::run(milliseconds duration)
{
    const auto until = now_ + duration;
    while (now_ < until)
    {
        now_ += tick;
        while (!events_.empty() && events_.top().at <= now_)
        {
            const auto due = events_.top();
            events_.pop();
            due.act();
        }
        if (now_ >= next_exchange_)
        {
            exchange_views();
        }
        for (auto& from : routers_)
        {
            std::erase_if(from->queue,
                          [&](const auto& asked)
                          {
                              if (place(*from, asked))
                              {
                                  return true;
                              }
                              const bool expired = asked.arrived + options_.max_queue_time <= now_;
                              result.refused += expired ? 1 : 0;
                              return expired;
                          });
        }
    }
}

void fleet_model::exchange_views()
{
    next_exchange_ = now_ + options_.view_age;
    for (auto& sender : routers_)
    {
        sender->placer.homes().expire(now_);
        sender->engines.refresh(now_);
        const auto loads = sender->loads.own_loads();
        auto rates = sender->placer.homes().heat().hottest(now_);
        const auto copies = sender->placer.copies().announced(options_.view_age, now_);
        rates.insert(rates.end(), copies.begin(), copies.end());
        const auto prefill = sender->engines.prefill.own_records(now_);
        for (auto& receiver : routers_)
        {
            if (receiver != sender)
            {
                receiver->loads.set_peer(sender->id, loads, now_);
                receiver->placer.homes().heat().set_peer(sender->id, rates, now_);
                receiver->placer.copies().merge(rates, now_);
                receiver->engines.prefill.set_peer(sender->id, prefill, now_);
            }
        }
    }
}

void fleet_model::remove_engine(std::size_t index)
{
    engines_[index].lost = true;
    engines_[index].kept.clear();
    directory_.remove(engines_[index].id, {.revision = 2, .received = now_});
}

void fleet_model::remove_zone(std::size_t zone)
{
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        if (engines_[index].zone == zone && !engines_[index].lost)
        {
            remove_engine(index);
        }
    }
}

std::size_t fleet_model::holders(const std::vector<routing::prompt_part>& parts,
                                 base::time_point since) const
{
    const auto found = sent_.find(routing::parts::shared_prefix_hashes(parts).back());
    if (found == sent_.end())
    {
        return 0;
    }
    return static_cast<std::size_t>(std::count_if(found->second.begin(), found->second.end(),
                                                  [&](const auto& each)
                                                  { return each.second >= since; }));
}

}  // namespace caraway::hot_parts
