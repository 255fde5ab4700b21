#include "libcaraway/routing/parts/home_order.hpp"
#include "libcaraway/routing/parts/part_homes.hpp"
#include "libcaraway/scheduling/stable_hash.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <limits>
#include <map>
#include <set>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using namespace caraway::routing::parts;

namespace
{

const base::time_point start(1h);
constexpr std::uint32_t slots = 24;
const base::node_id peer("peer");

std::vector<prompt_part> session(const std::string& name)
{
    return {{.id = "system", .tokens = 500},
            {.id = name, .tokens = 4800},
            {.id = "own", .tokens = 6600}};
}

std::uint64_t last_prefix(const std::vector<prompt_part>& prompt)
{
    return shared_prefix_hashes(prompt).back();
}

struct fixture
{
    std::vector<upstream> engines;
    std::vector<const upstream*> candidates;
    std::map<base::upstream_id, double> throughputs;
    part_homes::throughput_lookup throughput = [this](const base::upstream_id& id)
    {
        const auto found = throughputs.find(id);
        return found == throughputs.end() ? 1 : found->second;
    };
    part_homes homes;

    fixture()
    {
        for (int number = 0; number < 90; ++number)
        {
            const auto id = "engine-" + std::to_string(number);
            engines.push_back({.id = base::upstream_id(id),
                               .service = base::service_id("engines"),
                               .zone = base::zone_id("z" + std::to_string(number % 4)),
                               .slots = slots,
                               .hash = scheduling::stable_hash(id)});
        }
        for (const auto& each : engines)
        {
            candidates.push_back(&each);
        }
    }

    prompt_homes find(part_homes& asked, const std::vector<prompt_part>& prompt,
                      base::time_point now, const std::string& zone = "z0")
    {
        return asked.find({.prompt = &prompt,
                           .candidates = candidates,
                           .relative_throughput = throughput,
                           .slots = slots,
                           .zone = base::zone_id(zone)},
                          now);
    }

    prompt_homes find(const std::vector<prompt_part>& prompt, base::time_point now = start)
    {
        return find(homes, prompt, now);
    }

    /// Homes of a part of which a peer reports this rate, at requests of a second each.
    std::set<std::size_t> homes_at(double rate, const std::vector<prompt_part>& prompt,
                                   const std::string& zone = "z0")
    {
        part_homes fresh;
        fresh.heat().set_peer(peer, {{.prefix = last_prefix(prompt), .requests_per_second = rate}},
                              start);
        const auto found = find(fresh, prompt, start, zone);
        std::set<std::size_t> all(found.copies.begin(), found.copies.end());
        all.insert(found.homes.back());
        return all;
    }

    /// Candidates by unweighted rendezvous hashing, the first home first.
    std::vector<std::size_t> plain_order(std::uint64_t part) const
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> weights;
        for (std::size_t index = 0; index < candidates.size(); ++index)
        {
            weights.emplace_back(scheduling::combine(part, candidates[index]->hash), index);
        }
        std::sort(weights.rbegin(), weights.rend());
        std::vector<std::size_t> order;
        std::transform(weights.begin(), weights.end(), std::back_inserter(order),
                       [](const auto& each) { return each.second; });
        return order;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(part_home_choice, fixture)

BOOST_AUTO_TEST_CASE(cold_parts_at_equal_engines_have_the_homes_of_plain_rendezvous_hashing)
{
    for (int number = 0; number < 2000; ++number)
    {
        const auto prompt = session("s" + std::to_string(number));
        homes.record_use(shared_prefix_hashes(prompt), base::workspace_id("w"), start);
        const auto found = find(prompt);
        const auto prefixes = shared_prefix_hashes(prompt);
        BOOST_REQUIRE(found.prefixes == prefixes);
        BOOST_REQUIRE(found.homes.size() == 2U);
        BOOST_REQUIRE(found.homes[0] == plain_order(prefixes[0])[0]);
        const auto order = plain_order(prefixes[1]);
        BOOST_REQUIRE(found.homes[1] == order[0]);
        BOOST_REQUIRE(found.copies.empty());
        BOOST_REQUIRE(found.further_homes == std::vector<std::size_t>{order[1]});
    }
}

BOOST_AUTO_TEST_CASE(a_request_without_shared_parts_has_no_home)
{
    const std::vector<prompt_part> own{{.id = "own", .tokens = 100}};
    BOOST_TEST(find(own).homes.empty());
    BOOST_TEST(find({}).homes.empty());
    candidates.clear();
    BOOST_TEST(find(session("s1")).homes.empty());
}

BOOST_AUTO_TEST_CASE(engines_are_homes_in_proportion_to_their_throughput)
{
    for (std::size_t index = 0; index < 45; ++index)
    {
        throughputs[engines[index].id] = 0.5;
    }
    int at_slow = 0;
    constexpr int sessions = 9000;
    for (int number = 0; number < sessions; ++number)
    {
        at_slow += find(session("s" + std::to_string(number))).homes.back() < 45 ? 1 : 0;
    }
    BOOST_TEST(at_slow / double{sessions} == 1 / 3.0, boost::test_tools::tolerance(0.06));
}

BOOST_AUTO_TEST_CASE(a_changed_throughput_moves_only_parts_of_that_engine)
{
    part_homes before;
    part_homes after;
    std::vector<std::size_t> first;
    first.reserve(1000);
    for (int number = 0; number < 1000; ++number)
    {
        first.push_back(find(before, session("s" + std::to_string(number)), start).homes.back());
    }
    throughputs[engines[5].id] = 0.5;
    for (std::size_t number = 0; number < first.size(); ++number)
    {
        const auto home = find(after, session("s" + std::to_string(number)), start).homes.back();
        BOOST_REQUIRE((home == first[number] || first[number] == 5U));
    }
}

BOOST_AUTO_TEST_CASE(throughputs_that_are_no_positive_numbers_count_as_average)
{
    for (const double bad : {0.0, -1.0, std::numeric_limits<double>::infinity(),
                             std::numeric_limits<double>::quiet_NaN()})
    {
        BOOST_TEST(rounded_weight(bad) == 1);
    }
    BOOST_TEST(rounded_weight(1.05) == 1);
    BOOST_TEST(rounded_weight(1e300) == 4);
    BOOST_TEST(rounded_weight(1e-300) == 0.25);
}

BOOST_AUTO_TEST_CASE(a_part_has_as_many_homes_as_its_load_needs)
{
    const auto prompt = session("hot");
    // A quarter of 24 slots serves six requests of a second each.
    BOOST_TEST(homes_at(5.9, prompt).size() == 1U);
    BOOST_TEST(homes_at(60, prompt).size() >= 10U);
    BOOST_TEST(homes_at(60, prompt).size() <= 11U);
    BOOST_TEST(homes_at(1000, prompt).size() == candidates.size());
}

BOOST_AUTO_TEST_CASE(a_hot_part_that_is_read_quickly_has_one_home)
{
    const auto prompt = session("hot");
    homes.heat().set_peer(peer, {{.prefix = last_prefix(prompt), .requests_per_second = 60}},
                          start);
    BOOST_TEST(homes
                   .find({.prompt = &prompt,
                          .candidates = candidates,
                          .relative_throughput = throughput,
                          .slots = slots,
                          .worth_copies = false},
                         start)
                   .copies.empty());
}

BOOST_AUTO_TEST_CASE(slow_engines_count_for_less_of_a_hot_parts_load)
{
    const auto prompt = session("hot");
    const auto fast = homes_at(100, prompt).size();
    for (const auto& each : engines)
    {
        throughputs[each.id] = 0.5;
    }
    BOOST_TEST(homes_at(100, prompt).size() >= 2 * fast - 2);
}

BOOST_AUTO_TEST_CASE(routers_with_different_counts_agree_on_the_first_homes)
{
    const auto prompt = session("hot");
    const auto fewer = homes_at(60, prompt);
    const auto more = homes_at(75, prompt);
    BOOST_TEST(std::includes(more.begin(), more.end(), fewer.begin(), fewer.end()));
    BOOST_TEST(more.size() - fewer.size() <= 3U);
}

BOOST_AUTO_TEST_CASE(a_hot_part_has_a_home_in_each_zone_that_asks)
{
    for (int number = 0; number < 40; ++number)
    {
        const auto prompt = session("hot" + std::to_string(number));
        for (const auto* zone : {"z0", "z1", "z2", "z3"})
        {
            const auto all = homes_at(10, prompt, zone);
            BOOST_TEST(all.size() <= 3U);
            BOOST_TEST(std::any_of(all.begin(), all.end(),
                                   [&](std::size_t home)
                                   { return engines[home].zone.str() == zone; }));
        }
    }
}

BOOST_AUTO_TEST_CASE(longer_requests_need_more_homes)
{
    const auto prompt = session("hot");
    for (int number = 0; number < 50; ++number)
    {
        homes.record_duration(prompt, 4s, start);
    }
    homes.heat().set_peer(peer, {{.prefix = last_prefix(prompt), .requests_per_second = 30}},
                          start);
    BOOST_TEST(find(prompt).copies.size() >= 15U);
}

BOOST_AUTO_TEST_CASE(unusable_durations_are_ignored)
{
    const auto prompt = session("hot");
    homes.record_duration(prompt, 0s, start);
    homes.record_duration(prompt, -5s, start);
    homes.record_duration({}, 5s, start);
    for (int kind = 0; kind < 5000; ++kind)
    {
        homes.record_duration(
            {{.id = "k" + std::to_string(kind), .tokens = 1}, {.id = "own", .tokens = 1}},
            base::duration::max(), start);
    }
    homes.heat().set_peer(peer, {{.prefix = last_prefix(prompt), .requests_per_second = 5.9}},
                          start);
    BOOST_TEST(find(prompt).copies.empty());
}

BOOST_AUTO_TEST_CASE(noise_in_the_counts_moves_no_homes_and_fading_heat_gives_them_up)
{
    const auto prompt = session("hot");
    const auto set_rate = [&](double rate, base::time_point now)
    {
        homes.expire(now);
        homes.heat().set_peer(peer, {{.prefix = last_prefix(prompt), .requests_per_second = rate}},
                              now);
    };
    set_rate(60, start);
    const auto at_first = find(prompt).copies;
    BOOST_TEST(at_first.size() >= 9U);
    set_rate(48, start + 1s);
    BOOST_TEST((find(prompt, start + 1s).copies == at_first));
    set_rate(25, start + 2s);
    BOOST_TEST(find(prompt, start + 2s).copies.size() <= 5U);
    homes.expire(start + 10s);
    BOOST_TEST(find(prompt, start + 10s).copies.empty());
}

BOOST_AUTO_TEST_CASE(a_lost_home_leaves_the_order_of_the_others)
{
    const auto prompt = session("hot");
    const auto before = homes_at(60, prompt);
    const auto lost = *before.begin();
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(lost));
    std::set<base::upstream_id> kept;
    for (const auto home : homes_at(60, prompt))
    {
        kept.insert(candidates[home]->id);
    }
    for (const auto home : before)
    {
        BOOST_TEST((home == lost || kept.contains(engines[home].id)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
