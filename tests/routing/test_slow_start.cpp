#include "libcaraway/routing/engines/slow_start.hpp"

#include "libcaraway/scheduling/stable_hash.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace caraway;
using namespace std::chrono_literals;
using routing::upstream;
using routing::engines::fleet_view;
using routing::engines::slow_start;

namespace
{

const base::service_id engines("engines");
const base::time_point start(1h);
constexpr double rate = 10;
/// Bound that users set for requests to a cold upstream in any second: rate x 1.5 + 5.
constexpr std::size_t max_per_second = 20;
constexpr auto warmup = 3000ms;

upstream make_upstream(const std::string& id)
{
    return {.id = base::upstream_id(id), .service = engines, .hash = scheduling::stable_hash(id)};
}

slow_start make_router(const std::string& name)
{
    slow_start out{base::node_id(name)};
    out.set_limits({{engines, {.duration = warmup, .requests_per_s = rate}}});
    return out;
}

/// Routers that each have more requests than the cold upstreams accept, and send all that they may.
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
        for (std::size_t index = 0; index < count; ++index)
        {
            names.emplace_back("r" + std::to_string(index));
            routers.push_back(make_router(names.back().str()));
        }
        for (std::size_t index = 0; index < cold; ++index)
        {
            upstreams.push_back(make_upstream("u" + std::to_string(index)));
        }
    }

    /// View of a router that misses each peer with the given probability.
    fleet_view view(std::size_t self, double miss_probability)
    {
        fleet_view out;
        std::bernoulli_distribution misses(miss_probability);
        for (std::size_t index = 0; index < names.size(); ++index)
        {
            if (index != self && !misses(random))
            {
                out.peers.push_back(names[index]);
            }
        }
        return out;
    }

    void update_views(double miss_probability)
    {
        for (std::size_t index = 0; index < routers.size(); ++index)
        {
            routers[index].set_fleet(view(index, miss_probability));
        }
    }

    void mark_cold()
    {
        for (auto& router : routers)
        {
            for (const auto& target : upstreams)
            {
                router.record_cold(target, warmup, start);
            }
        }
    }

    /// Every second router fails; each of the others notices with the given probability.
    void lose_half(double notice_probability)
    {
        std::bernoulli_distribution notices(notice_probability);
        for (std::size_t index = 0; index < routers.size(); index += 2)
        {
            alive[index + 1 < alive.size() ? index + 1 : index] = false;
            auto peers_seen = view(index, 0);
            if (notices(random))
            {
                std::erase_if(peers_seen.peers,
                              [](const auto& id) { return (id.str().back() - '0') % 2 == 1; });
            }
            routers[index].set_fleet(peers_seen);
        }
    }

    struct load_result
    {
        /// Requests to one upstream in any second.
        std::size_t highest_rate = 0;
        std::size_t total = 0;
    };

    load_result run(std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        last_second.resize(upstreams.size());
        load_result out;
        for (auto now = start + from; now < start + to; now += 10ms)
        {
            for (std::size_t index = 0; index < routers.size(); ++index)
            {
                if (alive[index])
                {
                    send(routers[index], now, out);
                }
            }
        }
        return out;
    }

    void send(slow_start& router, base::time_point now, load_result& out)
    {
        for (std::size_t index = 0; index < upstreams.size(); ++index)
        {
            if (!router.may_send(upstreams[index], now))
            {
                continue;
            }
            router.record_sent(upstreams[index], now);
            auto& sent = last_second[index];
            sent.push_back(now);
            std::erase_if(sent, [&](auto time) { return time + 1s <= now; });
            out.highest_rate = std::max(out.highest_rate, sent.size());
            ++out.total;
        }
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slow_starts)

BOOST_AUTO_TEST_CASE(a_warm_upstream_has_no_limit)
{
    auto router = make_router("r1");
    const auto warm = make_upstream("u1");
    for (int request = 0; request < 100; ++request)
    {
        BOOST_TEST(router.may_send(warm, start));
        router.record_sent(warm, start);
    }
}

BOOST_AUTO_TEST_CASE(a_cold_upstream_is_warm_after_its_warmup)
{
    auto router = make_router("r1");
    const auto target = make_upstream("u1");
    BOOST_TEST(router.record_cold(target, 800ms, start));
    BOOST_TEST(!router.record_cold(target, 500ms, start + 200ms));

    BOOST_TEST(router.is_cold(target.id, start + 799ms));
    BOOST_TEST(!router.may_send(target, start + 799ms));
    BOOST_TEST(router.may_send(target, start + 800ms));
    BOOST_TEST((router.expire(start + 800ms) == std::vector{target.id}));
    BOOST_TEST(!router.any_cold());
}

BOOST_AUTO_TEST_CASE(services_without_a_rate_have_no_limit)
{
    slow_start router{base::node_id("r1")};
    router.record_cold(make_upstream("u1"), 3000ms, start);
    BOOST_TEST(router.may_send(make_upstream("u1"), start));
}

// Guards against unlimited requests to upstreams that are listed before the configuration is known.
BOOST_AUTO_TEST_CASE(the_rate_may_be_set_after_the_upstream_is_listed)
{
    slow_start router{base::node_id("r1")};
    router.record_cold(make_upstream("u1"), 3000ms, start);
    router.set_limits({{engines, {.duration = warmup, .requests_per_s = rate}}});
    BOOST_TEST(!router.may_send(make_upstream("u1"), start));
}

BOOST_AUTO_TEST_CASE(an_isolated_router_sends_to_no_cold_upstream)
{
    auto router = make_router("r1");
    const auto target = make_upstream("u1");
    router.record_cold(target, 3000ms, start);
    BOOST_TEST(!router.may_send(target, start));
    router.set_fleet({.isolated = true});
    BOOST_TEST(!router.may_send(target, start));
    router.set_fleet({});
    BOOST_TEST(router.may_send(target, start));
}

BOOST_DATA_TEST_CASE(a_cold_zone_taken_back_into_service_stays_within_its_limit,
                     boost::unit_test::data::make({1, 8, 91, 300}), count)
{
    fleet simulation(static_cast<std::size_t>(count), 30);
    simulation.update_views(0);
    simulation.mark_cold();
    const auto result = simulation.run(0ms, warmup);

    BOOST_TEST(result.highest_rate <= max_per_second);
    // The upstreams are not left idle: at least half of the accepted rate is used.
    BOOST_TEST(static_cast<double>(result.total) >= 0.5 * rate * 3 * 30);
}

// Guards against too many senders: a router that receives the digests of some peers late or not at
// all may consider itself a sender.
BOOST_DATA_TEST_CASE(the_limit_holds_if_views_differ_by_a_twentieth,
                     boost::unit_test::data::make({8, 91, 300}), count)
{
    fleet simulation(static_cast<std::size_t>(count), 30);
    simulation.update_views(0.05);
    simulation.mark_cold();
    BOOST_TEST(simulation.run(0ms, warmup).highest_rate <= max_per_second);
}

// Guards against too many senders after half of the fleet fails: the remaining routers take over as
// senders, some earlier than others.
BOOST_AUTO_TEST_CASE(the_limit_holds_while_half_of_the_fleet_fails)
{
    fleet simulation(92, 30);
    simulation.update_views(0);
    simulation.mark_cold();
    BOOST_TEST(simulation.run(0ms, 500ms).highest_rate <= max_per_second);
    simulation.lose_half(0.5);
    BOOST_TEST(simulation.run(500ms, 1500ms).highest_rate <= max_per_second);
    simulation.lose_half(1);
    BOOST_TEST(simulation.run(1500ms, warmup).highest_rate <= max_per_second);
}

BOOST_AUTO_TEST_SUITE_END()
