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

zone_update restored(const base::zone_id& zone, std::uint64_t revision)
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
        for (const auto* upstream : directory.usable(engines))
        {
            ids += upstream->id.str() + " ";
        }
        return ids;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(drained_availability_zones, fixture)

BOOST_AUTO_TEST_CASE(upstreams_of_a_drained_zone_get_no_new_requests)
{
    BOOST_TEST(directory.record_zone(drained(east, 10)));
    BOOST_TEST(usable() == "w1 ");
    BOOST_TEST(!directory.all_drained(engines));

    BOOST_TEST(directory.record_zone(restored(east, 11)));
    BOOST_TEST(usable() == "e1 e2 w1 ");
}

BOOST_AUTO_TEST_CASE(a_new_upstream_in_a_drained_zone_gets_no_requests)
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

// Guards against a peer's stale update that restores a drained zone.
BOOST_AUTO_TEST_CASE(the_update_of_the_latest_revision_wins)
{
    directory.record_zone(drained(east, 10));
    BOOST_TEST(!directory.record_zone(restored(east, 9)));
    BOOST_TEST(!directory.record_zone(restored(east, 10)));
    BOOST_TEST(usable() == "w1 ");

    directory.record_zone(restored(east, 12));
    BOOST_TEST(!directory.record_zone(drained(east, 11)));
    BOOST_TEST(usable() == "e1 e2 w1 ");
}

BOOST_AUTO_TEST_CASE(an_update_without_change_still_raises_the_revision)
{
    directory.record_zone(drained(east, 10));
    BOOST_TEST(!directory.record_zone(drained(east, 14)));
    BOOST_TEST(!directory.record_zone(restored(east, 12)));
    BOOST_TEST(usable() == "w1 ");
}

// Guards against a zone that stays drained because its row was removed while no router could poll
// the store.
BOOST_AUTO_TEST_CASE(a_listing_restores_the_zones_that_it_lacks)
{
    drained_zones zones;
    zones.record(drained(east, 10));
    zones.record(drained(west, 11));

    const auto updates = zones.unlisted_updates({west}, 20);
    BOOST_TEST((updates == std::vector<zone_update>{restored(east, 20)}));
    BOOST_TEST(zones.record(updates.front()));
    BOOST_TEST(!zones.contains(east));
    BOOST_TEST(zones.contains(west));
}

BOOST_AUTO_TEST_CASE(a_stale_listing_restores_no_zone)
{
    drained_zones zones;
    zones.record(drained(east, 10));
    for (const auto& update : zones.unlisted_updates({}, 8))
    {
        BOOST_TEST(!zones.record(update));
    }
    BOOST_TEST(zones.contains(east));
}

BOOST_AUTO_TEST_CASE(the_undrained_fraction_excludes_draining_upstreams)
{
    directory.put(
        {.id = base::upstream_id("e2"), .service = engines, .zone = east, .draining = true},
        {.revision = 2, .received = base::time_point(1h)});
    directory.record_zone(drained(east, 10));
    BOOST_TEST(directory.undrained_fraction() == 0.5);
}

BOOST_AUTO_TEST_SUITE_END()
