#include "libcaraway/routing/parts/part_heat.hpp"

#include "libcaraway/routing/digest.hpp"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <numeric>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing::parts;

namespace
{

const base::time_point start(1h);
const base::workspace_id small_workspace("small");
const base::workspace_id flooding_workspace("flooding");
const base::node_id peer("peer");
constexpr std::uint64_t hot = 7;

/// Records requests with the part at a constant rate for `duration`; returns the end.
base::time_point use(part_heat& heat, std::uint64_t part, double per_second,
                     std::chrono::milliseconds duration, base::time_point from)
{
    const auto gap =
        std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(1 / per_second));
    auto now = from;
    for (; now < from + duration; now += gap)
    {
        heat.record_use({part}, small_workspace, now);
    }
    return from + duration;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(part_heats)

BOOST_AUTO_TEST_CASE(the_rate_of_a_steadily_used_part_is_its_requests_a_second)
{
    part_heat heat;
    const auto now = use(heat, hot, 20, 20s, start);
    BOOST_TEST(heat.rate(hot, now) == 20, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_CASE(rates_of_peers_are_added)
{
    part_heat heat;
    heat.set_peer(peer, {{.prefix = hot, .requests_per_second = 3}}, start);
    heat.set_peer(base::node_id("other"), {{.prefix = hot, .requests_per_second = 4}}, start);
    BOOST_TEST(heat.rate(hot, start) == 7);
    heat.set_peer(peer, {{.prefix = hot, .requests_per_second = 1}}, start + 1s);
    BOOST_TEST(heat.rate(hot, start + 1s) == 5);
}

BOOST_AUTO_TEST_CASE(heat_fades_when_a_part_is_no_longer_used)
{
    part_heat heat;
    const auto now = use(heat, hot, 20, 10s, start);
    heat.set_peer(peer, {{.prefix = hot, .requests_per_second = 30}}, now);
    BOOST_TEST(heat.rate(hot, now + 2s) < 41);
    heat.expire(now + 4s);
    BOOST_TEST(heat.rate(hot, now + 4s) < 6);
    heat.expire(now + 60s);
    BOOST_TEST(heat.rate(hot, now + 60s) == 0);
    BOOST_TEST(heat.size() == 0U);
}

BOOST_AUTO_TEST_CASE(only_parts_used_often_are_sent_and_a_bounded_number_of_them)
{
    part_heat heat;
    for (std::uint64_t part = 0; part < 1000; ++part)
    {
        heat.record_use({part}, small_workspace, start);
    }
    BOOST_TEST(heat.hottest(start).empty());

    part_heat busy;
    for (std::uint64_t part = 0; part < 40; ++part)
    {
        for (std::uint64_t use = 0; use < 3 + part; ++use)
        {
            busy.record_use({part}, small_workspace, start);
        }
    }
    const auto sent = busy.hottest(start);
    BOOST_TEST(sent.size() == part_heat_options{}.max_sent);
    BOOST_TEST(sent.front().prefix == 39U);
    BOOST_TEST(sent.front().requests_per_second >= sent.back().requests_per_second);
}

// Guards against a workspace that hides the hot parts of others behind thousands of its own.
BOOST_AUTO_TEST_CASE(a_flood_of_parts_does_not_displace_those_of_another_workspace)
{
    part_heat heat;
    auto now = use(heat, hot, 5, 10s, start);
    const auto before = heat.own_rate(hot, now);
    for (std::uint64_t part = 0; part < 20000; ++part)
    {
        heat.record_use({1000 + part}, flooding_workspace, now);
        // Used as often as the other workspace's part.
        for (int repeat = 0; repeat < 20; ++repeat)
        {
            heat.record_use({1000 + part}, flooding_workspace, now);
        }
        BOOST_REQUIRE(heat.size() <= part_heat_options{}.capacity);
    }
    BOOST_TEST(heat.own_rate(hot, now) == before);
}

BOOST_AUTO_TEST_CASE(rates_that_are_no_positive_numbers_are_ignored_and_large_ones_bounded)
{
    part_heat heat;
    heat.set_peer(peer,
                  {{.prefix = 1, .requests_per_second = 0},
                   {.prefix = 2, .requests_per_second = -5},
                   {.prefix = 3, .requests_per_second = std::numeric_limits<double>::infinity()},
                   {.prefix = 4, .requests_per_second = std::numeric_limits<double>::quiet_NaN()},
                   {.prefix = 5, .requests_per_second = std::numeric_limits<double>::max()},
                   {.prefix = 6, .requests_per_second = 2}},
                  start);
    for (std::uint64_t part = 1; part <= 4; ++part)
    {
        BOOST_TEST(heat.rate(part, start) == 0);
    }
    BOOST_TEST(heat.rate(5, start) == part_heat_options{}.max_rate);
    BOOST_TEST(heat.rate(6, start) == 2);
}

BOOST_AUTO_TEST_CASE(of_thousands_of_rates_in_a_digest_the_highest_are_kept)
{
    part_heat heat;
    std::vector<part_rate> rates;
    for (std::uint64_t part = 1; part <= 5000; ++part)
    {
        rates.push_back({.prefix = part, .requests_per_second = static_cast<double>(part) / 10});
    }
    heat.set_peer(peer, rates, start);
    BOOST_TEST(heat.rate(5000, start) == 500);
    BOOST_TEST(heat.rate(5000 - part_heat_options{}.max_received, start) == 0);
}

BOOST_AUTO_TEST_CASE(rates_survive_the_digest)
{
    routing::digest message{.sender = peer,
                            .zone = base::zone_id("z1"),
                            .part_rates = {{.prefix = std::numeric_limits<std::uint64_t>::max(),
                                            .requests_per_second = 1.5F}}};
    const auto bytes = routing::encode(message);
    const auto decoded = routing::decode(bytes);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_REQUIRE(decoded.value().part_rates.size() == 1U);
    BOOST_TEST(decoded.value().part_rates[0].prefix == message.part_rates[0].prefix);
    BOOST_TEST(decoded.value().part_rates[0].requests_per_second == 1.5);

    message.part_rates.clear();
    BOOST_TEST(bytes.size() - routing::encode(message).size() <= 16U);
}

BOOST_AUTO_TEST_SUITE_END()
