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

router_report report(std::uint64_t sequence, std::vector<demand> demands, bool kept)
{
    return {.sequence = sequence, .demands = std::move(demands), .demands_unchanged = kept};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(synced_demand)

// Guards against control traffic of 87 KB/s per node under backlog. Sequence: each start and end of
// a request is reported to its owner. Cause: each report repeats every backlogged workspace's
// demand.
BOOST_AUTO_TEST_CASE(demands_of_a_backlog_are_sent_once_per_refresh)
{
    synced_demands synced(250ms);
    BOOST_TEST(!synced.may_omit(owner, waiting(16), start));
    BOOST_TEST(synced.may_omit(owner, waiting(16), start + 10ms));
    BOOST_TEST(synced.may_omit(owner, waiting(9), start + 20ms));
    BOOST_TEST(!synced.may_omit(owner, waiting(16), start + 250ms));
    BOOST_TEST(synced.may_omit(owner, waiting(16), start + 260ms));
}

// Guards against grants without a request, which leave slots idle for a round trip. Sequence:
// a queue runs empty between two refreshes. Cause: the demand was left out though each request
// mattered.
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

// Guards against a workspace with waiting requests being granted nothing. Sequence: a report that
// omits its demands replaces one that contains them. Cause: omitted demands are taken for none.
BOOST_AUTO_TEST_CASE(demand_that_was_left_out_stays_known)
{
    demand_tracker board;
    const account key{.service = base::service_id("planner"),
                      .workspace = base::workspace_id("north")};
    BOOST_TEST(board.record_report(router, report(1, waiting(16), false), start));
    BOOST_TEST(board.record_report(router, report(2, {}, true), start + 10ms));
    BOOST_TEST(board.waiting(key) == 16U);
    BOOST_TEST((board.find(router)->demands_received == start));
    BOOST_TEST(board.record_report(router, report(3, {}, false), start + 20ms));
    BOOST_TEST(board.waiting(key) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
