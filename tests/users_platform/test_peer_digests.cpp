#include "digest_sender.hpp"
#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace caraway;

namespace
{

struct digest_fixture : router_fixture
{
    stand_in_runner runner{loop, timers, "i-1"};
    digest_sender sender{loop};

    digest_fixture()
    {
        accept_configuration(1, {{.prefix = "/a/"}});
        add_upstream(runner);
    }

    static std::size_t peers(router::daemon& router)
    {
        return router.state()["peers"].size();
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_digests, digest_fixture)

// Guards against a router that learns late which upstreams leave. One of 86 routers, on an
// overloaded VM of 0.12 cores, kept using leaving upstreams for up to 1.9 s after other routers had
// learned of the leave, in another run for up to 3.1 s (3 s are allowed); all other routers learned
// of it within 0.3 s. The router received some 160 digests per second, each naming the upstreams
// that leave, and an iteration of its event loop took tens of milliseconds. Only one digest was
// read per iteration, so the others queued in the socket, the newest longest. The check for pending
// digests before each placement was skipped because a digest had been received just before.
BOOST_AUTO_TEST_CASE(all_pending_digests_are_received_with_the_first)
{
    auto& router = start_router();
    constexpr int count = 40;
    for (int i = 0; i < count; ++i)
    {
        sender.send(router, {.sender = base::node_id("peer-" + std::to_string(i)),
                             .incarnation = 1,
                             .sequence = 1,
                             .zone = base::zone_id("z1")});
    }

    BOOST_REQUIRE(becomes_true([&] { return peers(router) > 0; }));

    BOOST_TEST(peers(router) == 40U);
}

BOOST_AUTO_TEST_SUITE_END()
