#include "engines_model.hpp"

#include <algorithm>
#include <numeric>
#include <string>

namespace caraway::tests
{

namespace
{

using namespace std::chrono_literals;
using namespace routing;

constexpr auto step_time = 10ms;
constexpr double step_ms = 10;
constexpr std::uint32_t tokens_per_event = 8;
constexpr double prefill_tokens_per_ms = 60;
/// Time per generated token, alone and for each other running request.
constexpr double token_ms = 3;
constexpr double token_ms_per_request = 0.15;

base::node_id router_id(std::size_t number)
{
    return base::node_id("r" + std::to_string(number));
}

}  // namespace

engines_model::engines_model(engines_model_options options)
    : speeds(options.upstreams, 1.0), arrivals(options.upstreams),
      options_(options), service_{.id = base::service_id("service")}, jobs_(options.upstreams),
      random_(options.seed)
{
    if (options_.are_engines)
    {
        service_.engine = engine_capacity{
            .slots = options_.slots, .kv_tokens = 480000, .tokens_per_event = tokens_per_event};
    }
    for (int upstream = 0; upstream < options_.upstreams; ++upstream)
    {
        directory_.put({.id = id(upstream),
                        .service = service_.id,
                        .zone = base::zone_id("z"),
                        .slots = options_.slots},
                       {.revision = 1, .received = now_});
    }
    for (int router = 0; router < options_.routers; ++router)
    {
        auto added = std::make_unique<router_state>();
        added->selector = std::make_unique<placer>(placement_options{.zone = base::zone_id("z")});
        routers_.push_back(std::move(added));
    }
}

base::upstream_id engines_model::id(int upstream)
{
    return base::upstream_id("u" + std::to_string(upstream));
}

void engines_model::run(std::chrono::milliseconds time)
{
    for (const auto end = now_ + time; now_ < end;)
    {
        step();
    }
}

void engines_model::restart(int upstream)
{
    for (auto& router : routers_)
    {
        router->engines.forget(id(upstream));
    }
}

double engines_model::largest_excess() const
{
    const double total = std::accumulate(arrivals.begin(), arrivals.end(), 0.0);
    const double all_speeds = std::accumulate(speeds.begin(), speeds.end(), 0.0);
    double largest = 0;
    for (std::size_t upstream = 0; upstream < speeds.size(); ++upstream)
    {
        largest = std::max(largest, arrivals[upstream] / (total * speeds[upstream] / all_speeds));
    }
    return largest;
}

void engines_model::step()
{
    now_ += step_time;
    std::poisson_distribution<int> arriving(options_.requests_per_second * step_ms / 1000);
    for (int count = arriving(random_); count > 0; --count)
    {
        arrive();
    }
    for (int upstream = 0; upstream < options_.upstreams; ++upstream)
    {
        serve(upstream);
        end_jobs(upstream);
    }
    if (now_ >= next_digests_)
    {
        next_digests_ = now_ + options_.digest_period;
        send_digests();
    }
}

void engines_model::arrive()
{
    const auto number = static_cast<int>(random_() % routers_.size());
    auto& router = *routers_[number];
    const auto length =
        static_cast<std::uint32_t>(options_.prompt_tokens * (50 + random_() % 101) / 100);
    const placement_request request{.requested_service = &service_,
                                    .prompt_tokens = length,
                                    .output_tokens = options_.events * tokens_per_event,
                                    .max_wait = 1000ms};
    const auto placed =
        router.selector->choose(request, directory_, router.loads, health_, router.engines, now_);
    if (!placed)
    {
        ++unplaced;
        return;
    }
    const auto upstream = std::stoi(placed->target.id.str().substr(1));
    ++arrivals[upstream];
    router.loads.record_start(placed->target.id, placed->load);
    jobs_[upstream].push_back(
        {.router = number, .placed = *placed, .sent = now_, .unread_tokens = 1.0 * length});
}

void engines_model::serve(int upstream)
{
    auto& jobs = jobs_[upstream];
    const double ms = step_ms * speeds[upstream];
    if (options_.are_engines)
    {
        serve_streams(jobs, ms);
    }
    else
    {
        serve_calls(jobs, ms);
    }
}

void engines_model::serve_calls(std::vector<job>& jobs, double ms) const
{
    for (std::size_t number = 0; number < std::min<std::size_t>(jobs.size(), options_.slots);
         ++number)
    {
        jobs[number].progress += ms;
    }
}

void engines_model::serve_streams(std::vector<job>& jobs, double ms)
{
    const auto active = std::min<std::size_t>(jobs.size(), options_.slots);
    const auto unread =
        std::find_if(jobs.begin(), jobs.begin() + static_cast<std::ptrdiff_t>(active),
                     [](const auto& each) { return each.unread_tokens > 0; });
    const bool is_reading = unread != jobs.begin() + static_cast<std::ptrdiff_t>(active);
    const bool is_decoding = std::any_of(jobs.begin(), jobs.end(),
                                         [](const auto& each) { return each.unread_tokens <= 0; });
    const bool is_shared = is_reading && is_decoding;
    const double decoding_part = is_shared ? 0.5 : 1;
    const double reading_part = is_shared ? 0.75 : 1;
    const double tokens =
        ms * decoding_part / (token_ms + token_ms_per_request * static_cast<double>(active));
    for (std::size_t number = 0; number < active; ++number)
    {
        auto& each = jobs[number];
        each.progress += each.unread_tokens > 0 ? 0 : tokens;
        if (!each.first_event && each.progress >= tokens_per_event)
        {
            record_first_event(each);
        }
    }
    if (is_reading)
    {
        unread->unread_tokens -= ms * reading_part * prefill_tokens_per_ms;
    }
}

void engines_model::record_first_event(job& begun)
{
    begun.first_event = now_;
    auto& router = *routers_[begun.router];
    const auto tokens = begun.placed.load.pending_prefill_tokens;
    router.loads.record_prefill_done(begun.placed.target.id, tokens);
    router.engines.prefill.record_prefill(begun.placed.target.id, begun.placed.queued_tokens,
                                          static_cast<std::uint32_t>(tokens), now_ - begun.sent,
                                          now_);
    begun.placed.load.pending_prefill_tokens = 0;
}

void engines_model::end_jobs(int upstream)
{
    const double whole = options_.are_engines ? 1.0 * options_.events * tokens_per_event
                                              : static_cast<double>(options_.call_time.count());
    std::erase_if(
        jobs_[upstream],
        [&](const auto& each)
        {
            if (each.progress < whole)
            {
                return false;
            }
            auto& router = *routers_[each.router];
            router.loads.record_end(each.placed.target.id, each.placed.load);
            if (!options_.learn_pace)
            {
                return true;
            }
            router.engines.record_attempt(
                {.upstream = each.placed.target.id,
                 .service = service_.id,
                 .is_engine = options_.are_engines,
                 .complete = true,
                 .running = each.placed.running,
                 .queued_tokens = each.placed.queued_tokens,
                 .uncached_tokens = options_.prompt_tokens,
                 .until_answer = each.first_event.value_or(now_) - each.sent,
                 .streaming = each.first_event ? now_ - *each.first_event : base::duration{},
                 .events = options_.are_engines ? options_.events : 0},
                now_);
            return true;
        });
}

void engines_model::send_digests()
{
    const bool has_records = now_ >= next_refresh_;
    next_refresh_ = has_records ? now_ + 1s : next_refresh_;
    for (std::size_t sender = 0; sender < routers_.size(); ++sender)
    {
        auto& from = *routers_[sender];
        from.loads.record_told(options_.digest_period, now_);
        engines::prefill_records prefill;
        engines::pace_records paces;
        if (has_records)
        {
            from.engines.refresh(now_);
            from.engines.memory.update(from.loads, router_id(sender), options_.digest_period);
            prefill = from.engines.prefill.own_records(now_);
            paces = from.engines.own_records(now_);
        }
        for (std::size_t receiver = 0; receiver < routers_.size(); ++receiver)
        {
            if (receiver == sender)
            {
                continue;
            }
            auto& to = *routers_[receiver];
            to.loads.set_peer(router_id(sender), from.loads.own_loads(), now_);
            if (has_records)
            {
                to.engines.prefill.set_peer(router_id(sender), prefill, now_);
                to.engines.merge_peer(paces, now_);
            }
        }
    }
}

}  // namespace caraway::tests
