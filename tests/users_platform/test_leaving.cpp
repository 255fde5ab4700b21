#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;

// Upstreams that leave while routers get updates from the store late, or not at all.
//
// Guards against updates of one upstream being applied out of order, which restored upstreams that
// had left. The store rejected the calls of three of eight routers for nine seconds. An upstream
// started meanwhile, served, and left. The store's next answer held both changes in order, the
// upstream's entry and its removal, but the router applied all removals of an answer before all
// entries, so the upstream was restored permanently. A peer's copy or a delayed answer of the store
// that is older than the router's own state has the same effect.
// Seen in 2 of 6 seeds, only with upstreams that started while the routers were rejected. A router
// logged the removal at 12.11 s and used the upstream until 33.16 s, 21 s after it had left; eight
// requests reached the upstream later than allowed, the first 3,425 ms after it had left.

namespace
{

struct leaving_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};
    stand_in_runner third{loop, timers, "i-3"};
    stand_in_runner fourth{loop, timers, "i-4"};

    leaving_fixture()
    {
        accept_configuration(1, {{.prefix = "/a/"}});
        add_upstream(first);
        add_upstream(second);
    }

    /// Waits until the router polls the store itself; at first it relies on a peer's copy. The
    /// router's own row, written to its view of the store, completes its start.
    void wait_until_store_polled(caraway::router::daemon& router,
                                 const stand_in_store& polled_store)
    {
        BOOST_REQUIRE(becomes_true([&] { return router.state()["asks_store"].get<bool>(); }));
        BOOST_REQUIRE(becomes_true([&] { return polled_store.has_row("caraway_routers", "r1"); }));
    }

    void send_requests(caraway::router::daemon& router)
    {
        constexpr int count = 6;
        for (int i = 0; i < count; ++i)
        {
            BOOST_TEST(
                receives_status(send_request(router, "/a/", "id-" + std::to_string(i)), "200"));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_upstreams, leaving_fixture)

BOOST_AUTO_TEST_CASE(an_upstream_that_started_and_left_while_the_store_was_unavailable_is_removed)
{
    auto& router = start_router();
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    add_upstream(third);
    store.remove("servers", "i-3");
    add_upstream(fourth);
    store.unavailable = false;

    BOOST_REQUIRE(
        becomes_true([&] { return usable_upstreams(router).find("i-4") != std::string::npos; }));
    BOOST_TEST(becomes_true([&] { return usable_upstreams(router) == "i-1 i-2 i-4 "; }));
    send_requests(router);
    BOOST_TEST(third.runs.empty());
}

BOOST_AUTO_TEST_CASE(an_older_copy_of_a_peer_does_not_restore_a_removed_upstream)
{
    stand_in_store delayed_store(loop, timers);
    delayed_store.copy_from(store);
    delayed_store.refuses_writes = true;
    auto& peer = start_router_at(delayed_store, "r2", true);
    seeds = {peer.options().control};
    auto& router = start_router();
    wait_until_store_polled(router, store);
    add_upstream(first, "plain", "draining");
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-2 "; }));
    BOOST_REQUIRE(becomes_true([&] { return logged({"i-1", "\"draining\":true"}); }));

    // The router already took a copy when it started.
    log_lines.clear();
    store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"peer_copy", "\"from\":\"r2\""}); }));

    BOOST_TEST(usable_upstreams(router) == "i-2 ");
    send_requests(router);
    BOOST_TEST(first.runs.empty());
}

BOOST_AUTO_TEST_CASE(a_store_answer_older_than_a_peers_copy_does_not_restore_a_removed_upstream)
{
    stand_in_store delayed_store(loop, timers);
    delayed_store.copy_from(store);
    auto& peer = start_router("r2");
    seeds = {peer.options().control};
    auto& router = start_router_at(delayed_store, "r1", true);
    wait_until_store_polled(router, delayed_store);
    delayed_store.unavailable = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    add_upstream(first);
    add_upstream(third);
    delayed_store.copy_from(store);
    add_upstream(fourth);
    add_upstream(first, "plain", "draining");
    BOOST_REQUIRE(becomes_true([&] { return usable_upstreams(router) == "i-2 i-3 i-4 "; }));

    delayed_store.unavailable = false;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_back", "upstreams"}); }));

    BOOST_TEST(usable_upstreams(router) == "i-2 i-3 i-4 ");
    send_requests(router);
    BOOST_TEST(first.runs.empty());
}

// Guards against requests to an upstream that announced in its answers that it leaves, while its
// entry still says that it is ready.
BOOST_AUTO_TEST_CASE(an_upstream_that_says_in_an_answer_that_it_leaves_gets_no_more_requests)
{
    auto& router = start_router();
    first.leaving = true;
    send_requests(router);
    BOOST_TEST(first.runs.size() == 1);
    BOOST_TEST(becomes_true([&] { return logged({"upstream_leaving", "i-1"}); }));

    add_upstream(first);
    add_upstream(third);
    BOOST_REQUIRE(
        becomes_true([&] { return usable_upstreams(router).find("i-3") != std::string::npos; }));
    send_requests(router);
    BOOST_TEST(first.runs.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_refusal_also_says_that_its_upstream_leaves)
{
    auto& router = start_router();
    first.leaving = true;
    first.next_behaviours = {[](stand_in_runner& upstream, const stand_in_runner::run& current)
                             {
                                 upstream.reject(current);
                             }};
    BOOST_TEST(receives_status(send_request(router, "/a/", "id-0"), "503"));
    BOOST_TEST(becomes_true([&] { return logged({"upstream_leaving", "i-1"}); }));
    send_requests(router);
    BOOST_TEST(first.runs.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
