#include "../stream_versions/version_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace stream_version_tests;
using namespace std::chrono_literals;
using versions = std::set<std::string>;

namespace
{

/// Streams that are older than this when all routers are killed must not be lost.
constexpr auto age_at_kill = 1200ms;

struct killed_fixture : version_fixture
{
    void pass(std::chrono::milliseconds time)
    {
        const auto end = clock.now() + time;
        becomes_true([&] { return clock.now() >= end; });
    }

    /// The first start of three routers at one version, until the store has what served.
    void start_with_record()
    {
        bootstrap = true;
        start_routers(3, {&old_1, &old_2});
        BOOST_REQUIRE(becomes_true([&] { return store.has_row("caraway_versions", "served"); }));
        bootstrap = false;
    }

    /// All routers end at the same moment, without a word to anybody, and start again; `meanwhile`
    /// is what happens between.
    void kill_all_and_restart(const std::function<void()>& meanwhile = [] {})
    {
        const auto count = static_cast<int>(routers.size());
        routers.clear();
        seeds.clear();
        meanwhile();
        for (int number = 1; number <= count; ++number)
        {
            start_router("r" + std::to_string(number));
            seeds = {routers.front()->options().control};
        }
        BOOST_REQUIRE(
            becomes_true([&] { return knows_peers(static_cast<std::size_t>(count) - 1); }));
    }
};

}  // namespace

// What the routers knew is gone with them, and upstreams don't check who began a stream.

BOOST_FIXTURE_TEST_SUITE(routers_all_killed, killed_fixture)

BOOST_AUTO_TEST_CASE(streams_of_two_versions_go_on_at_theirs)
{
    start_routers(3, engines());
    begin_stream(0, "id-1")->close();
    begin_at_second_engine(1, "id-2")->close();
    pass(age_at_kill);
    kill_all_and_restart();

    BOOST_TEST((versions_after_resume(resume(2, "id-3", "id-1")) == versions{"v1"}));
    BOOST_TEST((versions_after_resume(resume(2, "id-4", "id-2")) == versions{"v2"}));
}

BOOST_AUTO_TEST_CASE(streams_go_on_after_a_second_kill)
{
    start_routers(3, engines());
    begin_at_second_engine(1, "id-1")->close();
    pass(age_at_kill);
    kill_all_and_restart();
    begin_at_second_engine(0, "id-2")->close();
    pass(age_at_kill);
    kill_all_and_restart();

    BOOST_TEST((versions_after_resume(resume(2, "id-3", "id-1")) == versions{"v2"}));
    BOOST_TEST((versions_after_resume(resume(2, "id-4", "id-2")) == versions{"v2"}));
}

BOOST_AUTO_TEST_CASE(streams_of_a_service_that_had_one_version_go_on)
{
    bootstrap = true;
    start_routers(3, {&old_1, &old_2});
    begin_stream(0, "id-1")->close();
    pass(age_at_kill);
    bootstrap = false;
    kill_all_and_restart();

    BOOST_TEST((versions_after_resume(resume(2, "id-2", "id-1")) == versions{"v1"}));
}

BOOST_AUTO_TEST_CASE(a_stream_that_nobody_wrote_down_goes_on_at_the_only_version_on_record)
{
    start_with_record();
    kill_all_and_restart();

    BOOST_TEST((versions_after_resume(resume(2, "id-2", "nobody-knows")) == versions{"v1"}));
}

// The version that began the stream joined and left unseen by the routers that are asked.
BOOST_AUTO_TEST_CASE(a_stream_of_a_version_that_left_while_all_were_down_is_refused)
{
    start_with_record();
    add_upstream(new_1, "engines");
    kill_all_and_restart([&] { store.remove("servers", new_1.instance); });

    BOOST_TEST(receives_status(resume(2, "id-2", "nobody-knows"), "503"));
    BOOST_TEST(run_count("id-2") == 0);
}

BOOST_AUTO_TEST_CASE(a_stream_is_refused_while_the_store_is_away_and_goes_on_after)
{
    start_routers(3, engines());
    begin_at_second_engine(1, "id-1")->close();
    pass(age_at_kill);
    kill_all_and_restart();
    store.unavailable = true;

    BOOST_TEST(receives_status(resume(2, "id-2", "id-1"), "503"));
    BOOST_TEST(run_count("id-2") == 0);
    store.unavailable = false;
    BOOST_TEST((versions_after_resume(resume(2, "id-3", "id-1")) == versions{"v2"}));
}

BOOST_AUTO_TEST_SUITE_END()
