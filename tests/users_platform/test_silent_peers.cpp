#include "digest_sender.hpp"
#include "table_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace caraway;

namespace
{

/// Peers of one zone whose digests arrive, while their copies of the tables don't.
struct silent_peers_fixture : table_fixture
{
    static constexpr int peer_count = 5;
    static constexpr std::chrono::milliseconds digest_period{100};

    http_tests::raw_server silent{loop};
    digest_sender sender{loop};
    std::uint64_t sequence = 0;
    std::uint64_t announced_version = 1;
    base::time_point next_digests{};

    /// Hash of the upstreams that the store lists.
    std::uint64_t content_hash() const
    {
        routing::upstream_directory directory;
        const router::row entry{.key = first.instance, .value = first.entry("plain")};
        directory.put(platform::decode_upstream(entry).value(), {.revision = 1});
        return directory.content_hash();
    }

    void send_digests(const router::daemon& receiver)
    {
        ++sequence;
        for (int number = 0; number < peer_count; ++number)
        {
            const routing::digest digest{.sender = base::node_id("peer-" + std::to_string(number)),
                                         .incarnation = 1,
                                         .sequence = sequence,
                                         .zone = base::zone_id("z1"),
                                         .control = {.ip = "127.0.0.1", .port = silent.port()},
                                         .ready = true,
                                         .capacity = 100,
                                         .version = base::config_version{announced_version},
                                         .tables_fresh_for = std::chrono::seconds(10),
                                         .tables = {.polls_store = true,
                                                    .answer_count = sequence,
                                                    .revision = 1000000,
                                                    .content_hash = content_hash()}};
            sender.send(receiver, digest);
        }
    }

    bool becomes_true_with_digests(const router::daemon& receiver,
                                   const std::function<bool()>& condition)
    {
        return becomes_true(
            [&]
            {
                if (clock.now() >= next_digests)
                {
                    next_digests = clock.now() + digest_period;
                    send_digests(receiver);
                }
                return condition();
            });
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(silent_peers, silent_peers_fixture)

// Guards against routes that stay in force at a router whose full link delays copies beyond their
// time-out: it had stopped polling the store, as its peers poll it for the zone.
BOOST_AUTO_TEST_CASE(a_router_whose_peers_send_no_copies_reads_a_new_configuration_from_the_store)
{
    auto& router = start_router();
    const auto polls_store = [&]
    {
        return router.state()["asks_store"].get<bool>();
    };
    BOOST_REQUIRE(becomes_true_with_digests(router, [&] { return !polls_store(); }));

    accept_configuration(2, {{.prefix = "/b/"}});
    announced_version = 2;
    const auto accepted = clock.now();

    BOOST_TEST(becomes_true_with_digests(router, [&] { return version(router) == 2; }));
    BOOST_TEST((clock.now() - accepted < router.options().leaving_notice));
    BOOST_TEST(!polls_store());
}

BOOST_AUTO_TEST_SUITE_END()
