#include "crashing_fleet.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace crashing_part_tests
{

namespace
{

using caraway::base::time_point;
using run = stand_in_runner::run;

constexpr std::size_t engine_total = 12;
constexpr auto time_to_first_event = 40ms;
constexpr auto time_to_crash = 60ms;
constexpr auto stream_time = 400ms;
constexpr auto entry_lifetime = 1200ms;
constexpr auto time_to_replace = 3000ms;
constexpr auto sound_period = 20ms;
constexpr auto crashing_period = 250ms;
constexpr int document_total = 8;

}  // namespace

crashing_fleet::crashing_fleet()
{
    accept_configuration(1, {{.prefix = "/s/",
                              .kind = "streaming",
                              .service = "engines",
                              .max_attempts = 3,
                              .resumable = true}});
    for (std::size_t number = 0; number < engine_total; ++number)
    {
        add_engine();
    }
}

void crashing_fleet::add_engine()
{
    engines.push_back(std::make_unique<engine>());
    auto& added = *engines.back();
    added.runner =
        std::make_unique<stand_in_runner>(loop, timers, "i-" + std::to_string(++engine_count_));
    added.runner->next_behaviours.assign(1, [this, &added](stand_in_runner&, const run& current)
                                         { serve(added, current); });
    add_upstream(*added.runner, "engines");
}

std::optional<std::string> crashing_fleet::crashing_part_of(const run& current) const
{
    const std::string encoded(current.head["X-Prefix-Hash"]);
    for (const auto& part : crashing_parts)
    {
        if (encoded.find(part + ":") != std::string::npos)
        {
            return part;
        }
    }
    return std::nullopt;
}

void crashing_fleet::serve(engine& serving, const run& current)
{
    auto& runner = *serving.runner;
    runner.next_behaviours.assign(1, [this, &serving](stand_in_runner&, const run& next)
                                  { serve(serving, next); });
    if (!serving.alive)
    {
        current.exchange->abort();
        return;
    }
    if (const auto part = crashing_part_of(current))
    {
        crashing_arrivals.emplace_back(*part, clock.now());
        timers.after(time_to_crash,
                     [this, &serving, current, part = *part]
                     {
                         if (serving.alive && !*current.cancelled)
                         {
                             serving.runner->begin_stream(current);
                             crashes.emplace_back(part, clock.now());
                             crash(serving);
                         }
                     });
        return;
    }
    const auto if_running = [&serving, current](auto action)
    {
        return [&serving, current, action]
        {
            if (serving.alive && !*current.cancelled)
            {
                action(*serving.runner, current);
            }
        };
    };
    const std::string last(current.head["Last-Event-Id"]);
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    timers.after(time_to_first_event, if_running(
                                          [first](auto& engine, const run& begun)
                                          {
                                              engine.begin_stream(begun);
                                              engine.send_event(begun, first);
                                          }));
    timers.after(stream_time, if_running(
                                  [first](auto& engine, const run& ending)
                                  {
                                      engine.send_event(ending, first + 1);
                                      ending.exchange->finish();
                                  }));
}

void crashing_fleet::crash(engine& crashing)
{
    crashing.alive = false;
    crashing.runner->stop_listening();
    for (const auto& each : crashing.runner->runs)
    {
        if (!*each.cancelled)
        {
            each.exchange->abort();
        }
    }
    timers.after(entry_lifetime,
                 [this, id = crashing.runner->instance] { store.remove("servers", id); });
    timers.after(time_to_replace, [this] { add_engine(); });
}

void crashing_fleet::lose_power(std::size_t count)
{
    for (const auto& each : engines)
    {
        if (count > 0 && each->alive)
        {
            --count;
            crash(*each);
        }
    }
}

void crashing_fleet::start_routers(int count)
{
    for (int number = 1; number <= count; ++number)
    {
        start_router("r" + std::to_string(number));
        seeds = {routers.front()->options().control};
    }
    const auto knows_all = [&](const auto& router)
    {
        return router->state()["upstreams"].size() == engines.size() &&
               router->state()["peers"].size() + 1 == routers.size();
    };
    BOOST_REQUIRE(
        becomes_true([&] { return std::all_of(routers.begin(), routers.end(), knows_all); }));
    sources.push_back({.period = sound_period,
                       .make_parts = [this]
                       {
                           return parts{"aa00", document(), unique_part()};
                       }});
    started = clock.now();
    run_for(1500ms);
    share_before = begun_share(started, started + 1000ms);
    BOOST_REQUIRE(share_before > 0.9);
}

void crashing_fleet::send_crashing(const std::string& part, std::function<parts()> make_parts)
{
    crashing_parts.insert(part);
    sources.push_back({.period = crashing_period,
                       .make_parts = std::move(make_parts),
                       .sound = false,
                       .next = clock.now()});
}

void crashing_fleet::send(request_source& source)
{
    const auto number = static_cast<std::size_t>(++request_count_);
    const auto first_router = random_() % routers.size();
    std::string encoded;
    for (const auto& part : source.make_parts())
    {
        encoded += (encoded.empty() ? "" : ",") + part + ":100";
    }
    auto connection = send_to_any_router(first_router, "id-" + std::to_string(number), encoded);
    if (source.sound)
    {
        sound_callers.push_back({.connection = std::move(connection), .sent_at = clock.now()});
    }
    else
    {
        other_callers.push_back(std::move(connection));
    }
}

/// A router whose loop is late closes its listening socket for a moment; its callers go to the next
/// one. Null if all refuse.
caller_connection crashing_fleet::send_to_any_router(std::size_t first, const std::string& id,
                                                     const std::string& encoded_parts)
{
    for (std::size_t offset = 0; offset < routers.size(); ++offset)
    {
        try
        {
            return send_request(*routers[(first + offset) % routers.size()], "/s/" + id, id,
                                "Api-Key: key-1\r\nX-Deadline-Ms: 5000\r\nX-Model: m\r\n"
                                "X-Token-Count: 300,50\r\nX-Prefix-Hash: " +
                                    encoded_parts + "\r\n",
                                "body of " + id);
        }
        catch (const boost::system::system_error& refused)
        {
            BOOST_TEST_MESSAGE(id << ": " << refused.what());
        }
    }
    return nullptr;
}

void crashing_fleet::run_for(std::chrono::milliseconds duration)
{
    const auto end = clock.now() + duration;
    while (clock.now() < end)
    {
        for (auto& source : sources)
        {
            if (source.next <= clock.now())
            {
                source.next = std::max(source.next + source.period, clock.now());
                send(source);
            }
        }
        loop.restart();
        loop.run_one_for(2ms);
        loop.poll();
    }
}

void crashing_fleet::run_until_crashes(std::size_t count)
{
    const auto deadline = clock.now() + 10s;
    while (crashes.size() < count && clock.now() < deadline)
    {
        run_for(20ms);
    }
    BOOST_REQUIRE(crashes.size() >= count);
}

std::string crashing_fleet::document()
{
    return "d0" + std::to_string(random_() % document_total);
}

std::string crashing_fleet::unique_part()
{
    return "e" + std::to_string(request_count_);
}

std::size_t crashing_fleet::sent(time_point from, time_point to) const
{
    return static_cast<std::size_t>(
        std::count_if(sound_callers.begin(), sound_callers.end(),
                      [&](const auto& each) { return each.sent_at >= from && each.sent_at < to; }));
}

std::size_t crashing_fleet::begun(time_point from, time_point to) const
{
    return static_cast<std::size_t>(
        std::count_if(sound_callers.begin(), sound_callers.end(),
                      [&](const auto& each)
                      {
                          return each.sent_at >= from && each.sent_at < to && each.connection &&
                                 each.connection->received.find("data: ") != std::string::npos;
                      }));
}

double crashing_fleet::begun_share(time_point from, time_point to) const
{
    return static_cast<double>(begun(from, to)) / static_cast<double>(sent(from, to));
}

std::size_t crashing_fleet::crashing_arrivals_since(const std::string& part, time_point from) const
{
    return static_cast<std::size_t>(
        std::count_if(crashing_arrivals.begin(), crashing_arrivals.end(),
                      [&](const auto& each) { return each.first == part && each.second > from; }));
}

void crashing_fleet::check_rules_after(const std::string& part, time_point fifth_crash)
{
    const auto late = crashing_arrivals_since(part, fifth_crash + contact_time);
    const auto from = fifth_crash + 2 * contact_time;
    const auto share = begun_share(from, clock.now() - 500ms);
    BOOST_TEST_MESSAGE(part << ": " << crashes.size() << " crashes in all, " << late
                            << " arrivals too late, sound requests begun " << share);
    BOOST_TEST(late <= max_late_arrivals);
    BOOST_TEST(sent(from, clock.now() - 500ms) >= 20);
    BOOST_TEST(share >= share_before / 2);
}

std::size_t crashing_fleet::refused_as_crashing() const
{
    return static_cast<std::size_t>(std::count_if(
        sound_callers.begin(), sound_callers.end(),
        [](const auto& each)
        {
            return each.connection &&
                   each.connection->received.find("crashes_upstreams") != std::string::npos;
        }));
}

}  // namespace crashing_part_tests
