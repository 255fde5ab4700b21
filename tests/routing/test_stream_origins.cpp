#include "libcaraway/routing/origin_keepers.hpp"
#include "libcaraway/routing/origin_lookups.hpp"
#include "libcaraway/routing/origin_message.hpp"
#include "libcaraway/routing/served_versions.hpp"
#include "libcaraway/routing/stream_origins.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point now(1h);
const stream_origin origin_1{.service = base::service_id("engines"),
                             .software = base::software_version("v1")};
const stream_origin origin_2{.service = base::service_id("engines"),
                             .software = base::software_version("v2")};

known_stream stream(std::uint64_t key, const stream_origin& origin = origin_1,
                    base::duration lasts = 10s)
{
    return {.key = stream_key{key}, .origin = origin, .expires = now + lasts};
}

endpoint address(std::uint16_t port)
{
    return {.ip = "10.0.0.1", .port = port};
}

/// This many routers in each of the zones z1, z2 and so on.
std::vector<origin_keeper> routers(const std::vector<int>& zone_sizes)
{
    std::vector<origin_keeper> all;
    std::uint16_t port = 0;
    for (std::size_t zone = 0; zone < zone_sizes.size(); ++zone)
    {
        for (int number = 0; number < zone_sizes[zone]; ++number)
        {
            ++port;
            all.push_back({.router = base::node_id("r" + std::to_string(port)),
                           .zone = base::zone_id("z" + std::to_string(zone + 1)),
                           .datagrams = address(port),
                           .ready = true});
        }
    }
    return all;
}

std::set<base::zone_id> zones_of(const std::vector<const origin_keeper*>& keepers)
{
    std::set<base::zone_id> zones;
    for (const auto* keeper : keepers)
    {
        zones.insert(keeper->zone);
    }
    return zones;
}

/// Of 1,000 streams, those for which at least one router is told and asked.
int found_count(const origin_keepers& told_by, const origin_keepers& asked_by,
                const std::set<base::node_id>& gone = {})
{
    int found = 0;
    for (std::uint64_t key = 0; key < 1000; ++key)
    {
        std::set<base::node_id> told;
        for (const auto* keeper : told_by.to_tell(stream_key{key}, base::zone_id("z1")))
        {
            told.insert(keeper->router);
        }
        const auto asked = asked_by.to_ask(stream_key{key});
        found +=
            std::any_of(asked.begin(), asked.end(),
                        [&](const auto* keeper)
                        { return told.contains(keeper->router) && !gone.contains(keeper->router); })
                ? 1
                : 0;
    }
    return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(known_streams)

BOOST_AUTO_TEST_CASE(an_origin_is_known_until_its_caller_cannot_resume_any_more)
{
    stream_origins known;
    known.record(stream(1), now);

    BOOST_TEST((known.find(stream_key{1}, now + 9s) == origin_1));
    BOOST_TEST(!known.find(stream_key{1}, now + 10s).has_value());
    BOOST_TEST(!known.find(stream_key{2}, now).has_value());
    known.expire(now + 10s);
    BOOST_TEST(known.size() == 0);
}

BOOST_AUTO_TEST_CASE(a_repeated_record_extends_the_time_and_never_shortens_it)
{
    stream_origins known;
    known.record(stream(1), now);
    known.record(stream(1, origin_1, 20s), now);
    known.record(stream(1, origin_1, 5s), now);

    BOOST_TEST((known.find(stream_key{1}, now + 19s) == origin_1));
}

// A caller that uses one id for two attempts can't name either of them.
BOOST_AUTO_TEST_CASE(a_stream_with_two_origins_is_unknown)
{
    stream_origins known;
    known.record(stream(1, origin_1), now);
    known.record(stream(1, origin_2), now);
    BOOST_TEST(!known.find(stream_key{1}, now).has_value());

    known.record(stream(1, origin_1), now);
    BOOST_TEST(!known.find(stream_key{1}, now).has_value());
    BOOST_TEST(known.all(now).empty());
}

BOOST_AUTO_TEST_CASE(the_number_of_streams_is_bounded)
{
    stream_origins known(2);
    for (std::uint64_t key = 1; key <= 3; ++key)
    {
        known.record(stream(key), now);
    }

    BOOST_TEST(known.size() == 2);
    BOOST_TEST((known.find(stream_key{1}, now) == origin_1));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(keepers)

BOOST_AUTO_TEST_CASE(three_routers_of_three_zones_are_told_one_of_them_in_the_own_zone)
{
    const origin_keepers others(routers({4, 4, 4, 4, 4}));
    for (std::uint64_t key = 0; key < 100; ++key)
    {
        const auto told = others.to_tell(stream_key{key}, base::zone_id("z2"));
        BOOST_TEST(told.size() == 3);
        BOOST_TEST(zones_of(told).size() == 3);
        BOOST_TEST(zones_of(told).contains(base::zone_id("z2")));
    }
}

BOOST_AUTO_TEST_CASE(with_few_zones_further_routers_are_told)
{
    BOOST_TEST(origin_keepers(routers({5})).to_tell(stream_key{1}, base::zone_id("z1")).size() ==
               3);
    BOOST_TEST(origin_keepers(routers({3, 3})).to_tell(stream_key{1}, base::zone_id("z1")).size() ==
               3);
    BOOST_TEST(origin_keepers(routers({1})).to_tell(stream_key{1}, base::zone_id("z1")).size() ==
               1);
    BOOST_TEST(origin_keepers({}).to_tell(stream_key{1}, base::zone_id("z1")).empty());
}

BOOST_AUTO_TEST_CASE(a_router_that_is_about_to_stop_is_asked_but_not_told)
{
    auto stopping = routers({1});
    stopping.front().ready = false;
    const origin_keepers others(stopping);

    BOOST_TEST(others.to_tell(stream_key{1}, base::zone_id("z1")).empty());
    BOOST_TEST(others.to_ask(stream_key{1}).size() == 1);
}

BOOST_AUTO_TEST_CASE(streams_are_spread_evenly_over_the_routers)
{
    const origin_keepers others(routers({4, 4, 4}));
    std::map<base::node_id, int> told;
    for (std::uint64_t key = 0; key < 4000; ++key)
    {
        for (const auto* keeper : others.to_tell(stream_key{key}, base::zone_id("z1")))
        {
            ++told[keeper->router];
        }
    }
    BOOST_TEST(told.size() == 12);
    for (const auto& [router, count] : told)
    {
        BOOST_TEST(count > 800);
        BOOST_TEST(count < 1200);
    }
}

BOOST_AUTO_TEST_CASE(a_keeper_is_found_after_any_two_routers_are_gone)
{
    const origin_keepers others(routers({2, 2, 1, 1}));
    BOOST_TEST(found_count(others, others) == 1000);
    for (int first = 1; first <= 6; ++first)
    {
        for (int second = 1; second < first; ++second)
        {
            const std::set<base::node_id> gone{base::node_id("r" + std::to_string(first)),
                                               base::node_id("r" + std::to_string(second))};
            BOOST_TEST(found_count(others, others, gone) == 1000);
        }
    }
}

BOOST_AUTO_TEST_CASE(most_keepers_are_found_after_the_fleet_has_grown_by_three_quarters)
{
    const origin_keepers before(routers({20, 20, 20}));
    const origin_keepers after(routers({35, 35, 35}));

    // One stream in a hundred may be lost.
    BOOST_TEST(found_count(before, after) >= 990);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(origin_messages)

BOOST_AUTO_TEST_CASE(a_message_is_decoded_as_it_was_encoded)
{
    const origin_message sent{.known = {stream(1), stream(2, origin_2, 90s), stream(3)},
                              .asked = {stream_key{4}},
                              .unknown = {stream_key{~std::uint64_t{0}}}};
    const auto bytes = encode(sent, now);
    BOOST_REQUIRE(is_origin_message(bytes));
    const auto received = decode_origin_message(bytes, now);

    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received.value().asked == sent.asked));
    BOOST_TEST((received.value().unknown == sent.unknown));
    BOOST_REQUIRE(received.value().known.size() == 3);
    for (const auto& each : received.value().known)
    {
        const auto original =
            std::find_if(sent.known.begin(), sent.known.end(),
                         [&](const auto& candidate) { return candidate.key == each.key; });
        BOOST_TEST((each.origin == original->origin));
        BOOST_TEST((each.expires == original->expires));
    }
}

BOOST_AUTO_TEST_CASE(a_stream_takes_few_bytes)
{
    origin_message message;
    for (std::uint64_t key = 0; key < 100; ++key)
    {
        message.known.push_back(stream(~key));
    }
    BOOST_TEST(encode(message, now).size() <= 100 * 15);
}

BOOST_AUTO_TEST_CASE(malformed_messages_are_errors)
{
    const auto bytes = encode({.known = {stream(1)}, .asked = {stream_key{2}}}, now);
    for (std::size_t size = 0; size < bytes.size(); ++size)
    {
        BOOST_TEST(!decode_origin_message(bytes.substr(0, size), now).has_value());
    }
    BOOST_TEST(!decode_origin_message(bytes + "x", now).has_value());
    BOOST_TEST(!is_origin_message(""));
    BOOST_TEST(!is_origin_message("\x84"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(lookups)

BOOST_AUTO_TEST_CASE(the_first_router_that_knows_ends_a_lookup)
{
    origin_lookups lookups;
    std::vector<std::optional<stream_origin>> answers;
    const auto record = [&](const auto& origin)
    {
        answers.push_back(origin);
    };
    lookups.start(stream_key{1}, {address(1), address(2)}, now + 1s, record);
    lookups.start(stream_key{1}, {address(1), address(2)}, now + 1s, record);

    lookups.record_unknown(stream_key{1}, address(1));
    BOOST_TEST(answers.empty());
    lookups.record_known(stream_key{1}, origin_2);
    lookups.record_known(stream_key{1}, origin_1);

    BOOST_REQUIRE(answers.size() == 2);
    BOOST_TEST((answers[0] == origin_2));
    BOOST_TEST((answers[1] == origin_2));
    BOOST_TEST(lookups.empty());
}

BOOST_AUTO_TEST_CASE(a_lookup_ends_when_all_routers_have_said_twice_that_they_do_not_know)
{
    origin_lookups lookups;
    int ended = 0;
    lookups.start(stream_key{1}, {address(1), address(2)}, now + 1s,
                  [&](const auto& origin) { ended += origin ? 0 : 1; });

    lookups.record_unknown(stream_key{1}, address(1));
    lookups.record_unknown(stream_key{1}, address(1));
    lookups.record_unknown(stream_key{2}, address(2));
    const auto due = lookups.take_due();
    BOOST_REQUIRE(due.size() == 1);
    BOOST_TEST((due[0].router == address(2)));
    lookups.record_unknown(stream_key{1}, address(2));
    BOOST_TEST(ended == 0);

    BOOST_TEST(lookups.take_due().size() == 2);
    lookups.record_unknown(stream_key{1}, address(1));
    BOOST_TEST(ended == 0);
    lookups.record_unknown(stream_key{1}, address(2));
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_CASE(a_lookup_ends_when_its_time_is_over)
{
    origin_lookups lookups;
    int ended = 0;
    lookups.start(stream_key{1}, {address(1)}, now + 1s, [&](const auto&) { ++ended; });
    lookups.expire(now + 999ms);
    BOOST_TEST(ended == 0);
    lookups.expire(now + 1s);
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(versions_of_a_service)

BOOST_AUTO_TEST_CASE(the_sole_version_is_known_only_after_a_period_without_gaps)
{
    served_versions versions;
    const auto& service = origin_1.service;
    versions.record(service, origin_1.software, now);
    BOOST_TEST(!versions.sole(service, 10s, now + 20s).has_value());

    versions.record_gap(now);
    for (auto time = now; time <= now + 10s; time += 1s)
    {
        versions.record(service, origin_1.software, time);
    }
    BOOST_TEST(!versions.sole(service, 10s, now + 9s).has_value());
    BOOST_TEST((versions.sole(service, 10s, now + 10s) == origin_1.software));
    versions.record_gap(now + 10s);
    BOOST_TEST(!versions.sole(service, 10s, now + 11s).has_value());
}

BOOST_AUTO_TEST_CASE(a_version_counts_until_a_period_after_it_was_last_listed)
{
    served_versions versions;
    const auto& service = origin_1.service;
    versions.record_gap(now);
    versions.record(service, origin_1.software, now + 20s);
    versions.record(service, origin_2.software, now + 25s);
    versions.record(base::service_id("plain"), base::software_version("v9"), now + 25s);

    BOOST_TEST(!versions.sole(service, 10s, now + 26s).has_value());
    BOOST_TEST(!versions.sole(service, 10s, now + 30s).has_value());
    BOOST_TEST((versions.sole(service, 10s, now + 31s) == origin_2.software));
}

BOOST_AUTO_TEST_SUITE_END()
