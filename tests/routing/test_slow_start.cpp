#include "libcaraway/routing/slow_start.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace caraway;
using namespace std::chrono_literals;
using routing::fleet_view;
using routing::slow_start;
using routing::upstream;

namespace
{

const base::service_id engines("engines");
const base::time_point start(1h);
constexpr double rate = 10;
/// The users' bound on what a cold upstream may get in any second: rate x 1.5 + 5.
constexpr std::size_t allowed = 20;
constexpr auto lasts = 3000ms;

upstream make(const std::string& id)
{
    return {.id = base::upstream_id(id), .service = engines, .hash = scheduling::stable_hash(id)};
}

slow_start make_router(const std::string& name)
{
    slow_start out{base::node_id(name)};
    out.set_limits({{engines, {.duration = lasts, .requests_per_s = rate}}});
    return out;
}

/// Routers that each have more requests than cold upstreams bear, and send wherever they may.
struct fleet
{
    std::vector<slow_start> routers;
    std::vector<base::node_id> names;
    std::vector<bool> alive;
    std::vector<upstream> upstreams;
    std::mt19937_64 random{7};
    std::vector<std::deque<base::time_point>> last_second;

    fleet(std::size_t count, std::size_t cold) : alive(count, true)
    {
        for (std::size_t each = 0; each < count; ++each)
        {
            names.emplace_back("r" + std::to_string(each));
            routers.push_back(make_router(names.back().str()));
        }
        for (std::size_t each = 0; each < cold; ++each)
        {
            upstreams.push_back(make("u" + std::to_string(each)));
        }
    }

    /// What a router sees that doesn't hear each other one with that probability.
    fleet_view view(std::size_t of, double unheard)
    {
        fleet_view out;
        std::bernoulli_distribution misses(unheard);
        for (std::size_t each = 0; each < names.size(); ++each)
        {
            if (each != of && !misses(random))
            {
                out.peers.push_back(names[each]);
            }
        }
        return out;
    }

    void see(double unheard)
    {
        for (std::size_t each = 0; each < routers.size(); ++each)
        {
            routers[each].set_fleet(view(each, unheard));
        }
    }

    void become_cold()
    {
        for (auto& router : routers)
        {
            for (const auto& each : upstreams)
            {
                router.record_cold(each, lasts, start);
            }
        }
    }

    /// Every second router dies, and each of the rest knows it with that probability.
    void lose_half(double known)
    {
        std::bernoulli_distribution knows(known);
        for (std::size_t each = 0; each < routers.size(); each += 2)
        {
            alive[each + 1 < alive.size() ? each + 1 : each] = false;
            auto seen = view(each, 0);
            if (knows(random))
            {
                std::erase_if(seen.peers,
                              [](const auto& id) { return (id.str().back() - '0') % 2 == 1; });
            }
            routers[each].set_fleet(seen);
        }
    }

    struct outcome
    {
        /// At one upstream in any second.
        std::size_t most = 0;
        std::size_t total = 0;
    };

    outcome play(std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        last_second.resize(upstreams.size());
        outcome out;
        for (auto now = start + from; now < start + to; now += 10ms)
        {
            for (std::size_t each = 0; each < routers.size(); ++each)
            {
                if (alive[each])
                {
                    send(routers[each], now, out);
                }
            }
        }
        return out;
    }

    void send(slow_start& router, base::time_point now, outcome& out)
    {
        for (std::size_t each = 0; each < upstreams.size(); ++each)
        {
            if (!router.may_send(upstreams[each], now))
            {
                continue;
            }
            router.record_sent(upstreams[each], now);
            auto& sent = last_second[each];
            sent.push_back(now);
            std::erase_if(sent, [&](auto at) { return at + 1s <= now; });
            out.most = std::max(out.most, sent.size());
            ++out.total;
        }
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slow_starts)

BOOST_AUTO_TEST_CASE(a_warm_upstream_takes_what_comes)
{
    auto router = make_router("r1");
    const auto warm = make("u1");
    for (int each = 0; each < 100; ++each)
    {
        BOOST_TEST(router.may_send(warm, start));
        router.record_sent(warm, start);
    }
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_is_warm_when_its_time_is_over)
{
    auto router = make_router("r1");
    const auto which = make("u1");
    BOOST_TEST(router.record_cold(which, 800ms, start));
    BOOST_TEST(!router.record_cold(which, 500ms, start + 200ms));

    BOOST_TEST(router.is_cold(which.id, start + 799ms));
    BOOST_TEST(!router.may_send(which, start + 799ms));
    BOOST_TEST(router.may_send(which, start + 800ms));
    BOOST_TEST((router.expire(start + 800ms) == std::vector{which.id}));
    BOOST_TEST(!router.any_cold());
}

BOOST_AUTO_TEST_CASE(services_that_tell_no_rate_bear_what_comes)
{
    slow_start router{base::node_id("r1")};
    router.record_cold(make("u1"), 3000ms, start);
    BOOST_TEST(router.may_send(make("u1"), start));
}

// Guards against upstreams that are listed before the configuration is known.
BOOST_AUTO_TEST_CASE(the_rate_may_be_told_after_the_upstream)
{
    slow_start router{base::node_id("r1")};
    router.record_cold(make("u1"), 3000ms, start);
    router.set_limits({{engines, {.duration = lasts, .requests_per_s = rate}}});
    BOOST_TEST(!router.may_send(make("u1"), start));
}

BOOST_AUTO_TEST_CASE(a_router_that_hears_too_few_sends_to_no_cold_upstream)
{
    auto router = make_router("r1");
    const auto which = make("u1");
    router.record_cold(which, 3000ms, start);
    BOOST_TEST(!router.may_send(which, start));
    router.set_fleet({.isolated = true});
    BOOST_TEST(!router.may_send(which, start));
    router.set_fleet({});
    BOOST_TEST(router.may_send(which, start));
}

BOOST_DATA_TEST_CASE(a_zone_that_is_taken_back_cold_gets_no_more_than_it_bears,
                     boost::unit_test::data::make({1, 8, 91, 300}), count)
{
    fleet all(static_cast<std::size_t>(count), 30);
    all.see(0);
    all.become_cold();
    const auto got = all.play(0ms, lasts);

    BOOST_TEST(got.most <= allowed);
    // It doesn't idle either: half of what it bears is used at least.
    BOOST_TEST(static_cast<double>(got.total) >= 0.5 * rate * 3 * 30);
}

// Guards against routers that take themselves for one of the few that send: each hears others late
// or not at all.
BOOST_DATA_TEST_CASE(views_that_differ_by_a_twentieth_break_no_bound,
                     boost::unit_test::data::make({8, 91, 300}), count)
{
    fleet all(static_cast<std::size_t>(count), 30);
    all.see(0.05);
    all.become_cold();
    BOOST_TEST(all.play(0ms, lasts).most <= allowed);
}

// Guards against half of a fleet that dies: the rest move up, some earlier than others.
BOOST_AUTO_TEST_CASE(half_of_the_fleet_may_die_meanwhile)
{
    fleet all(92, 30);
    all.see(0);
    all.become_cold();
    BOOST_TEST(all.play(0ms, 500ms).most <= allowed);
    all.lose_half(0.5);
    BOOST_TEST(all.play(500ms, 1500ms).most <= allowed);
    all.lose_half(1);
    BOOST_TEST(all.play(1500ms, lasts).most <= allowed);
}

BOOST_AUTO_TEST_SUITE_END()
