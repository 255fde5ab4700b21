#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::drained_zones;
using routing::upstream_directory;
using routing::zone_update;

namespace
{

const base::service_id engines("engines");
const base::zone_id east("east");
const base::zone_id west("west");

zone_update drained(const base::zone_id& zone, std::uint64_t revision)
{
    return {.zone = zone, .drained = true, .revision = revision};
}

zone_update taken_back(const base::zone_id& zone, std::uint64_t revision)
{
    return {.zone = zone, .drained = false, .revision = revision};
}

struct fixture
{
    upstream_directory directory;

    fixture()
    {
        add("e1", east);
        add("e2", east);
        add("w1", west);
    }

    void add(const std::string& id, const base::zone_id& zone)
    {
        directory.put({.id = base::upstream_id(id), .service = engines, .zone = zone},
                      {.revision = 1, .received = base::time_point(1h)});
    }

    std::string usable() const
    {
        std::string ids;
        for (const auto* each : directory.usable(engines))
        {
            ids += each->id.str() + " ";
        }
        return ids;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(zones_that_are_drained, fixture)

BOOST_AUTO_TEST_CASE(upstreams_of_a_drained_zone_get_nothing_new)
{
    BOOST_TEST(directory.record_zone(drained(east, 10)));
    BOOST_TEST(usable() == "w1 ");
    BOOST_TEST(!directory.all_drained(engines));

    BOOST_TEST(directory.record_zone(taken_back(east, 11)));
    BOOST_TEST(usable() == "e1 e2 w1 ");
}

BOOST_AUTO_TEST_CASE(an_upstream_that_appears_in_a_drained_zone_gets_nothing)
{
    directory.record_zone(drained(east, 10));
    add("e3", east);
    BOOST_TEST(usable() == "w1 ");
}

BOOST_AUTO_TEST_CASE(all_zones_can_be_drained_at_once)
{
    directory.record_zone(drained(east, 10));
    directory.record_zone(drained(west, 11));
    BOOST_TEST(usable() == "");
    BOOST_TEST(directory.all_drained(engines));
    BOOST_TEST(!directory.all_drained(base::service_id("none")));
}

// Guards against a peer's older word that takes a zone back.
BOOST_AUTO_TEST_CASE(the_statement_of_the_latest_revision_counts)
{
    directory.record_zone(drained(east, 10));
    BOOST_TEST(!directory.record_zone(taken_back(east, 9)));
    BOOST_TEST(!directory.record_zone(taken_back(east, 10)));
    BOOST_TEST(usable() == "w1 ");

    directory.record_zone(taken_back(east, 12));
    BOOST_TEST(!directory.record_zone(drained(east, 11)));
    BOOST_TEST(usable() == "e1 e2 w1 ");
}

BOOST_AUTO_TEST_CASE(a_word_that_changes_nothing_is_no_news_but_counts)
{
    directory.record_zone(drained(east, 10));
    BOOST_TEST(!directory.record_zone(drained(east, 14)));
    BOOST_TEST(!directory.record_zone(taken_back(east, 12)));
    BOOST_TEST(usable() == "w1 ");
}

// Guards against a zone that stays drained, as its row went while nobody could follow the store.
BOOST_AUTO_TEST_CASE(a_listing_takes_back_what_it_lacks)
{
    drained_zones zones;
    zones.record(drained(east, 10));
    zones.record(drained(west, 11));

    const auto gone = zones.unlisted_updates({west}, 20);
    BOOST_TEST((gone == std::vector<zone_update>{taken_back(east, 20)}));
    BOOST_TEST(zones.record(gone.front()));
    BOOST_TEST(!zones.contains(east));
    BOOST_TEST(zones.contains(west));
}

BOOST_AUTO_TEST_CASE(an_old_listing_takes_nothing_back)
{
    drained_zones zones;
    zones.record(drained(east, 10));
    for (const auto& each : zones.unlisted_updates({}, 8))
    {
        BOOST_TEST(!zones.record(each));
    }
    BOOST_TEST(zones.contains(east));
}

BOOST_AUTO_TEST_CASE(the_part_in_use_is_of_upstreams_that_stay)
{
    directory.put(
        {.id = base::upstream_id("e2"), .service = engines, .zone = east, .draining = true},
        {.revision = 2, .received = base::time_point(1h)});
    directory.record_zone(drained(east, 10));
    BOOST_TEST(directory.undrained_fraction() == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
