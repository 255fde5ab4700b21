#include "version_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace stream_version_tests;
using namespace std::chrono_literals;
using versions = std::set<std::string>;

// What two software versions write doesn't fit together: a stream may go on only at the version
// that sent its first event.

BOOST_FIXTURE_TEST_SUITE(stream_versions, version_fixture)

BOOST_AUTO_TEST_CASE(a_router_resumes_a_stream_only_at_the_version_that_began_it)
{
    start_routers(1, engines());
    const auto caller = begin_stream(0, "id-1");
    last_run("id-1").second.exchange->abort();

    BOOST_TEST((versions_after_resume(caller) == versions{"v1"}));
}

BOOST_AUTO_TEST_CASE(a_router_resumes_the_stream_of_a_silent_engine_only_at_its_version)
{
    start_routers(1, engines());
    const auto caller = begin_stream(0, "id-1");

    BOOST_TEST((versions_after_resume(caller) == versions{"v1"}));
}

BOOST_AUTO_TEST_CASE(a_stream_that_a_caller_resumes_at_another_router_keeps_its_version)
{
    start_routers(3, engines());
    begin_at_second_engine(0, "id-1")->close();

    BOOST_TEST((versions_after_resume(resume(1, "id-2", "id-1")) == versions{"v2"}));
    BOOST_TEST((versions_after_resume(resume(2, "id-3", "id-1")) == versions{"v2"}));
}

BOOST_AUTO_TEST_CASE(a_stream_keeps_its_version_when_the_router_that_began_it_is_gone)
{
    start_routers(3, engines());
    const auto caller = begin_at_second_engine(0, "id-1");
    settle();
    routers.erase(routers.begin());

    BOOST_TEST((versions_after_resume(resume(1, "id-2", "id-1")) == versions{"v2"}));
}

// The word of it may come after the question.
BOOST_AUTO_TEST_CASE(a_stream_is_known_to_others_at_once)
{
    start_routers(12, engines());
    for (std::size_t router = 1; router < routers.size(); ++router)
    {
        const auto id = "id-" + std::to_string(router);
        begin_stream(0, id)->close();
        const auto resumed = resume(router, "again-" + id, id);
        BOOST_TEST(versions_after_resume(resumed).size() == 1);
        resumed->close();
    }
}

BOOST_AUTO_TEST_CASE(a_stream_keeps_its_version_when_another_one_joins_after_it_began)
{
    start_routers(2, {&new_1, &new_2});
    begin_stream(0, "id-1")->close();
    add_upstream(old_1, "engines");
    await_engines(3);

    BOOST_TEST((versions_after_resume(resume(1, "id-2", "id-1")) == versions{"v2"}));
}

BOOST_AUTO_TEST_CASE(a_stream_whose_version_is_gone_is_refused_at_once)
{
    start_routers(2, {&old_1, &new_1});
    begin_at_second_engine(0, "id-1")->close();
    add_upstream(new_1, "engines", "draining");
    await_engines(1);

    const auto sent_at = clock.now();
    BOOST_TEST(receives_status(resume(1, "id-2", "id-1"), "503"));
    BOOST_TEST(
        (clock.now() - sent_at < std::chrono::milliseconds(resumable_stream.timeout_ms) / 3));
    BOOST_TEST(run_count("id-2") == 0);
}

BOOST_AUTO_TEST_CASE(a_stream_is_refused_where_no_router_knows_its_version)
{
    start_routers(2, engines());
    begin_at_second_engine(0, "id-1")->close();
    routers.clear();
    seeds.clear();
    start_routers(2, engines());

    BOOST_TEST(receives_status(resume(1, "id-2", "id-1"), "503"));
    BOOST_TEST(run_count("id-2") == 0);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_caller_does_not_name_its_first_attempt_is_refused)
{
    start_routers(2, engines());
    begin_at_second_engine(0, "id-1")->close();

    BOOST_TEST(receives_status(send_stream(1, "id-2", "Last-Event-Id: 1\r\n"), "503"));
    BOOST_TEST(run_count("id-2") == 0);
}

BOOST_AUTO_TEST_CASE(a_request_that_resumes_two_streams_is_bad)
{
    start_routers(1, engines());

    BOOST_TEST(receives_status(
        send_stream(0, "id-3", "Last-Event-Id: 1\r\nResumes: id-1\r\nResumes: id-2\r\n"), "400"));
    BOOST_TEST(run_count("id-3") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
