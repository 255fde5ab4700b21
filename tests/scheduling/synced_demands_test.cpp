#include "libcaraway/scheduling/demand_tracker.hpp"
#include "libcaraway/scheduling/synced_demands.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace caraway::scheduling;
using namespace std::chrono_literals;

namespace
{

const base::node_ref owner{.id = base::node_id("owner"), .life = base::incarnation{1}};
const base::node_ref router{.id = base::node_id("router"), .life = base::incarnation{1}};
const base::time_point start{1h};

std::vector<demand> waiting(std::uint32_t count)
{
    return {{.service = base::service_id("planner"),
             .workspace = base::workspace_id("north"),
             .waiting = count}};
}

router_report report(std::uint64_t sequence, std::vector<demand> demands, bool demands_kept)
{
    return {.sequence = sequence, .demands = std::move(demands), .demands_kept = demands_kept};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(synced_demand)

// Guards against excessive control traffic under backlog (87 KB/s per node). Each start and end of
// a request is reported to its owner, and each report repeated the demands of all backlogged
// workspaces.
BOOST_AUTO_TEST_CASE(demands_of_a_backlog_are_sent_once_per_refresh)
{
    synced_demands synced(250ms);
    BOOST_TEST(!synced.may_omit(owner, waiting(16), start));
    BOOST_TEST(synced.may_omit(owner, waiting(16), start + 10ms));
    BOOST_TEST(synced.may_omit(owner, waiting(9), start + 20ms));
    BOOST_TEST(!synced.may_omit(owner, waiting(16), start + 250ms));
    BOOST_TEST(synced.may_omit(owner, waiting(16), start + 260ms));
}

// Guards against an owner granting more slots than there are requests, which leaves slots idle for
// a round trip. It happens if a queue becomes empty between two refreshes and reports omit the
// demands although the queue is short.
BOOST_AUTO_TEST_CASE(changes_that_matter_are_sent_at_once)
{
    synced_demands synced(250ms);
    BOOST_TEST(!synced.may_omit(owner, waiting(16), start));
    BOOST_TEST(!synced.may_omit(owner, waiting(7), start));
    BOOST_TEST(!synced.may_omit(owner, waiting(3), start));
    BOOST_TEST(!synced.may_omit(owner, waiting(2), start));
    BOOST_TEST(!synced.may_omit(owner, {}, start));
    BOOST_TEST(!synced.may_omit(owner, waiting(1), start));
    BOOST_TEST(!synced.may_omit(router, waiting(1), start));
}

// Guards against a workspace with waiting requests being granted nothing. It happens if a report
// that omits its demands replaces an earlier one and the omitted demands are taken for no demand.
BOOST_AUTO_TEST_CASE(omitted_demands_remain_recorded)
{
    demand_tracker tracker;
    const account key{.service = base::service_id("planner"),
                      .workspace = base::workspace_id("north")};
    BOOST_TEST(tracker.record_report(router, report(1, waiting(16), false), start));
    BOOST_TEST(tracker.record_report(router, report(2, {}, true), start + 10ms));
    BOOST_TEST(tracker.waiting(key) == 16U);
    BOOST_TEST((tracker.find(router)->demands_received == start));
    BOOST_TEST(tracker.record_report(router, report(3, {}, false), start + 20ms));
    BOOST_TEST(tracker.waiting(key) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
