#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;

// Upstreams that leave while routers get the store's word late, or not at all.
//
// Symptom: requests reached upstreams more than 3.4 s after these had said that they leave, and one
// router went on trying one of them for 21 s after it had gone.
// Sequence: the store turned three of eight routers away for nine seconds. An upstream started
// meanwhile, served, and left. When the store answered again, its first answer held all that had
// changed, in order: the upstream's entry, then its removal.
// Cause: what was said of an upstream was applied in another order than it had been said in. There
// all removals of an answer came before all entries, so the entry was back for good. The same
// follows where a peer's copy, or an answer that was under way for long, is older than what the
// router knows already.
// Evidence: the router's own lines, of the same upstream: removed at 12.11 s, used from then to
// 33.16 s; eight requests arrived at it after the bound, the first 3,425 ms after it had left. On a
// day like that 2 of 6 seeds showed it; each upstream that did had started after the routers were
// turned away.

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
        accept(1, {{.prefix = "/a/"}});
        add(first);
        add(second);
    }

    /// It goes by a peer's copy at first; what follows is about one that asks the store itself. Its
    /// own row is the last that it writes, in whichever view of the store it has.
    void wait_until_it_asks(caraway::router::daemon& router, const stand_in_store& at)
    {
        BOOST_REQUIRE(becomes_true([&] { return router.state()["asks_store"].get<bool>(); }));
        BOOST_REQUIRE(becomes_true([&] { return at.has("caraway_routers", "r1"); }));
    }

    void ask_often(caraway::router::daemon& router)
    {
        constexpr int times = 6;
        for (int i = 0; i < times; ++i)
        {
            BOOST_TEST(answered(ask(router, "/a/", "id-" + std::to_string(i)), "200"));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_upstreams, leaving_fixture)

BOOST_AUTO_TEST_CASE(one_that_started_and_left_while_the_store_was_away_does_not_stay)
{
    auto& router = start_router();
    store.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    add(third);
    store.remove("servers", "i-3");
    add(fourth);
    store.away = false;

    BOOST_REQUIRE(becomes_true([&] { return usable(router).find("i-4") != std::string::npos; }));
    BOOST_TEST(becomes_true([&] { return usable(router) == "i-1 i-2 i-4 "; }));
    ask_often(router);
    BOOST_TEST(third.runs.empty());
}

BOOST_AUTO_TEST_CASE(an_older_copy_of_a_peer_brings_none_back)
{
    stand_in_store late(loop, timers);
    late.become_copy_of(store);
    auto& peer = start_router_at(late, "r2", true);
    seeds = {peer.options().control};
    auto& router = start_router();
    wait_until_it_asks(router, store);
    add(first, "plain", "draining");
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-2 "; }));
    BOOST_REQUIRE(becomes_true([&] { return logged({"i-1", "\"draining\":true"}); }));

    // It took a copy at its start already.
    lines.clear();
    store.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"peer_copy", "\"from\":\"r2\""}); }));

    BOOST_TEST(usable(router) == "i-2 ");
    ask_often(router);
    BOOST_TEST(first.runs.empty());
}

BOOST_AUTO_TEST_CASE(an_answer_that_is_older_than_a_peers_copy_brings_none_back)
{
    stand_in_store late(loop, timers);
    late.become_copy_of(store);
    auto& peer = start_router("r2");
    seeds = {peer.options().control};
    auto& router = start_router_at(late, "r1", true);
    wait_until_it_asks(router, late);
    late.away = true;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_lost", "upstreams"}); }));
    add(first);
    add(third);
    late.become_copy_of(store);
    add(fourth);
    add(first, "plain", "draining");
    BOOST_REQUIRE(becomes_true([&] { return usable(router) == "i-2 i-3 i-4 "; }));

    late.away = false;
    BOOST_REQUIRE(becomes_true([&] { return logged({"store_back", "upstreams"}); }));

    BOOST_TEST(usable(router) == "i-2 i-3 i-4 ");
    ask_often(router);
    BOOST_TEST(first.runs.empty());
}

BOOST_AUTO_TEST_SUITE_END()
