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

// A caller that names no attempt, or one that no router knows.
BOOST_AUTO_TEST_CASE(an_unknown_stream_goes_on_where_only_one_version_can_have_begun_it)
{
    auto route = resumable_stream;
    route.timeout_ms = 200;
    start_routers(2, {&old_1, &old_2});
    accept_configuration(2, {route});
    const auto resume_unknown = [&](const std::string& id, const std::string& fields)
    {
        const auto caller = send_stream(1, id, "Last-Event-Id: 1\r\n" + fields);
        return receives_status(caller, "200");
    };
    BOOST_TEST(becomes_true([&] { return resume_unknown("id-1", ""); }));
    BOOST_TEST(resume_unknown("id-2", "Resumes: nobody-knows\r\n"));

    add_upstream(new_1, "engines");
    await_engines(3);
    BOOST_TEST(!resume_unknown("id-3", ""));
    BOOST_TEST(!resume_unknown("id-4", "Resumes: nobody-knows-either\r\n"));
}

BOOST_AUTO_TEST_CASE(a_stream_keeps_its_service_where_a_route_is_split_between_services)
{
    start_routers(2, {&old_1, &new_1});
    auto route = resumable_stream;
    route.other_services = {"plain"};
    add_upstream(old_2, "plain");
    accept_configuration(2, {route});
    await_engines(3);
    BOOST_REQUIRE(becomes_true([&] { return routers[0]->state()["version"] == 2; }));
    BOOST_REQUIRE(becomes_true([&] { return routers[1]->state()["version"] == 2; }));
    const auto caller = begin_stream(0, "id-0");
    const auto* first = last_run("id-0").first;
    caller->close();
    for (int number = 1; number <= 8; ++number)
    {
        const auto id = "id-" + std::to_string(number);
        const auto resumed = resume(1, id, "id-0");
        BOOST_REQUIRE(!versions_after_resume(resumed).empty());
        BOOST_TEST((last_run(id).first == &old_2) == (first == &old_2));
        resumed->close();
    }
}

BOOST_AUTO_TEST_CASE(a_stream_is_refused_where_its_route_leads_to_another_service_now)
{
    start_routers(2, {&old_1, &old_2});
    begin_stream(0, "id-1")->close();
    auto route = resumable_stream;
    route.service = "plain";
    add_upstream(new_1, "plain");
    accept_configuration(2, {route});
    await_engines(3);
    BOOST_REQUIRE(becomes_true([&] { return routers[1]->state()["version"] == 2; }));

    BOOST_TEST(receives_status(resume(1, "id-2", "id-1"), "503"));
    BOOST_TEST(run_count("id-2") == 0);
}

// The entry of the new process comes before the first event, and names another version.
BOOST_AUTO_TEST_CASE(a_stream_has_no_version_if_its_engine_was_replaced_under_its_id)
{
    start_routers(2, {&old_1});
    old_1.next_behaviours.push_front([](stand_in_runner&, const stand_in_runner::run&) {});
    const auto caller = send_stream(0, "id-1");
    BOOST_REQUIRE(becomes_true([&] { return !old_1.runs.empty(); }));
    old_1.software = "v2";
    add_upstream(old_1, "engines");
    add_upstream(new_1, "engines");
    await_engines(2);
    old_1.begin_stream(old_1.runs.front());
    old_1.send_event(old_1.runs.front(), 1);
    BOOST_REQUIRE(becomes_true([&] { return !versions_in(caller->received).empty(); }));
    old_1.runs.front().exchange->abort();

    BOOST_TEST(becomes_true([&] { return caller->ended; }));
    BOOST_TEST(receives_status(resume(1, "id-2", "id-1"), "503"));
    BOOST_TEST(run_count("id-1") + run_count("id-2") == 1);
}

BOOST_AUTO_TEST_CASE(routers_that_stop_hand_over_the_streams_that_they_keep)
{
    start_routers(4, engines());
    begin_at_second_engine(0, "id-1")->close();
    for (int stopped = 0; stopped < 3; ++stopped)
    {
        settle();
        routers.front()->stop();
        BOOST_REQUIRE(
            becomes_true([&] { return is_known_to_stop(routers.front()->options().name); }));
        routers.erase(routers.begin());
        start_router("later-" + std::to_string(stopped));
        await_engines(4);
        BOOST_REQUIRE(becomes_true([&] { return knows_peers(routers.size() - 1); }));
    }

    BOOST_TEST((versions_after_resume(resume(0, "id-2", "id-1")) == versions{"v2"}));
}

BOOST_AUTO_TEST_SUITE_END()
