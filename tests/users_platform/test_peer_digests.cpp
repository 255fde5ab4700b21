#include "router_fixture.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace caraway;
using udp = boost::asio::ip::udp;

namespace
{

struct digest_fixture : router_fixture
{
    stand_in_runner runner{loop, timers, "i-1"};
    udp::socket sender{loop};

    digest_fixture()
    {
        accept(1, {{.prefix = "/a/"}});
        add(runner);
        sender.open(udp::v4());
    }

    void tell(router::daemon& router, const routing::digest& what)
    {
        const auto& to = router.options().datagrams;
        const udp::endpoint at(boost::asio::ip::make_address(to.ip), to.port);
        sender.send_to(boost::asio::buffer(routing::encode(what)), at);
    }

    static std::size_t peers(router::daemon& router)
    {
        return router.state()["peers"].size();
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_digests, digest_fixture)

// Symptom: one router of 86, on a VM of 0.12 cores in a flood, went on using upstreams for up to
// 1.9 s after others knew that they leave, 3.1 s on a worse day (3 are allowed); all others knew it
// within 0.3 s.
// Sequence: some 160 digests a second came to it, each of which names what leaves; a turn of its
// event loop took tens of milliseconds.
// Cause: it took in one digest a turn, so the others waited in the socket, the newest longest. The
// look at what waits that precedes each placing was left out, as something had been heard just now.
BOOST_AUTO_TEST_CASE(all_digests_that_wait_are_taken_in_with_the_first)
{
    auto& router = start_router();
    constexpr int count = 40;
    for (int i = 0; i < count; ++i)
    {
        tell(router, {.sender = base::node_id("peer-" + std::to_string(i)),
                      .incarnation = 1,
                      .sequence = 1,
                      .zone = base::zone_id("z1")});
    }

    BOOST_REQUIRE(becomes_true([&] { return peers(router) > 0; }));

    BOOST_TEST(peers(router) == 40U);
}

BOOST_AUTO_TEST_SUITE_END()
