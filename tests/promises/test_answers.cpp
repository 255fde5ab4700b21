#include "fleet_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <QElapsedTimer>

#include <csignal>

using promises::fleet_fixture;

BOOST_AUTO_TEST_SUITE(answers)

/// Symptom: a caller takes half a plan for the whole. Sequence: its router is killed while it
/// streams. Cause: an answer whose framing ends by the connection's end.
BOOST_AUTO_TEST_CASE(a_stream_whose_router_is_killed_never_looks_complete)
{
    fleet_fixture fixture;
    fleet::raw_caller caller(fixture.running.router_callers(0));
    caller.send(fixture.completion_request(2000, true, "long"));
    BOOST_REQUIRE(caller.read_until("t3-").contains("t3-"));
    fixture.running.router(0).kill();
    const auto got = fleet::read_answer(caller.read_to_end());
    BOOST_TEST(!got.complete);
    BOOST_TEST(!got.body.contains("[DONE]"));
    BOOST_TEST(fixture.complete(1, 3, true).has_exactly_tokens(3));
}

/// Symptom: tokens are missing or doubled, or half an answer looks whole. Sequence: the engine
/// breaks its stream off after five tokens, or ends it properly without the end mark. Cause: the
/// router passes the end of the connection on as the end of the answer, or starts again from the
/// first token.
BOOST_AUTO_TEST_CASE(a_cut_stream_is_resumed_at_another_engine_token_for_token)
{
    for (const bool clean : {false, true})
    {
        fleet_fixture fixture;
        for (const std::size_t engine : {0, 1})
        {
            fixture.control_engine(
                engine, {{"cut_after_tokens", 5}, {"cut_clean", clean}, {"cut_count", 1}});
        }
        const auto got = fixture.complete(0, 12, true);
        BOOST_TEST(got.complete);
        BOOST_TEST(got.has_exactly_tokens(12), got.body.toStdString());
        BOOST_TEST(got.body.count("[DONE]") == 1);
        BOOST_TEST(fixture.engine_starts(0) + fixture.engine_starts(1) >= 2);
    }
}

/// Symptom: a caller gets part of an unstreamed answer as if it were whole. Sequence: the engine
/// breaks its answer off. Cause: bytes are passed on before the answer is known to be whole.
BOOST_AUTO_TEST_CASE(a_cut_unstreamed_answer_is_made_again_elsewhere)
{
    fleet_fixture fixture;
    fixture.control_engine(0, {{"close_after_read", 1}});
    fixture.control_engine(1, {{"close_after_read", 1}});
    const auto got = fixture.complete(0, 6, false);
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.complete);
    BOOST_TEST(got.has_exactly_tokens(6), got.body.toStdString());
}

/// Symptom: requests fail or wait for as long as a frozen router stays frozen. Sequence: SIGSTOP to
/// one of three routers, which owns some of the upstreams. Cause: nobody takes its upstreams over.
BOOST_AUTO_TEST_CASE(a_frozen_router_does_not_hold_up_the_others)
{
    fleet_fixture fixture;
    BOOST_REQUIRE(fixture.running.router(1).signal(SIGSTOP));
    for (int i = 0; i < 6; ++i)
    {
        const auto got = fixture.complete(i % 2 == 0 ? 0 : 2, 3, true);
        BOOST_TEST(got.has_exactly_tokens(3), got.body.toStdString());
    }
    fixture.running.router(1).signal(SIGCONT);
    const auto back = [&]
    {
        return fixture.status(1)["members"].toObject()["live"].toInt() == 3;
    };
    BOOST_TEST(promises::becomes_true(back));
    BOOST_TEST(fixture.complete(1, 3, true).has_exactly_tokens(3));
}

/// Symptom: work goes on being sent to an upstream that is taken away. Sequence: the VM list says
/// that its VM is leaving. Cause: only the configuration is looked at.
BOOST_AUTO_TEST_CASE(an_upstream_on_a_leaving_vm_gets_nothing_new)
{
    fleet_fixture fixture;
    const auto leaving = fixture.running.engine_address(0);
    fixture.control_platform(
        {{"vms", QJsonObject{{"list", QJsonArray{QJsonObject{
                                          {"id", "vm-1"},
                                          {"address", QString::fromStdString(leaving.host)},
                                          {"zone", "zone-a"},
                                          {"state", "leaving"}}}}}}});
    const auto told = [&]
    {
        const auto dump = fixture.running.rpc(0, "dump");
        const auto upstreams = dump.value()["scheduler"]["upstreams"].toArray();
        for (const auto& entry : upstreams)
        {
            const auto upstream = entry.toObject();
            if (upstream["upstream"].toString() == "runner-1" && upstream["draining"].toBool())
            {
                return true;
            }
        }
        return false;
    };
    BOOST_REQUIRE(promises::becomes_true(told));
    const int before = fixture.engine_starts(0);
    for (int i = 0; i < 5; ++i)
    {
        BOOST_TEST(fixture.complete(0, 2, false).status == 200);
    }
    BOOST_TEST(fixture.engine_starts(0) == before);
}

/// Symptom: callers see cut answers whenever a router is replaced. Sequence: SIGTERM while streams
/// run, and new requests still come to the address. Cause: the process ends with its connections.
BOOST_AUTO_TEST_CASE(a_planned_stop_cuts_nothing)
{
    fleet_fixture fixture;
    std::vector<std::unique_ptr<fleet::raw_caller>> callers;
    for (int i = 0; i < 8; ++i)
    {
        callers.push_back(std::make_unique<fleet::raw_caller>(fixture.running.router_callers(0)));
        callers.back()->send(fixture.completion_request(150, true, QByteArray::number(i)));
    }
    for (const auto& caller : callers)
    {
        BOOST_REQUIRE(caller->read_until("t1-").contains("t1-"));
    }
    BOOST_REQUIRE(fixture.running.router(0).signal(SIGTERM));
    BOOST_TEST(fixture.complete(0, 2, false).status == 200);
    for (const auto& caller : callers)
    {
        const auto got = fleet::read_answer(caller->read_to_end());
        BOOST_TEST(got.complete);
        BOOST_TEST(got.has_exactly_tokens(150));
    }
    BOOST_TEST(promises::becomes_true([&] { return !fixture.running.router(0).running(); }));
}

// Guards against requests to an upstream that refused one and asked for rest.
BOOST_AUTO_TEST_CASE(an_upstream_that_asks_for_rest_gets_nothing_until_its_end)
{
    constexpr int rest_s = 3;
    fleet_fixture fixture;
    fixture.control_service({{"status", 503}, {"status_count", 1}, {"retry_after_s", rest_s}});
    QElapsedTimer elapsed;
    elapsed.start();
    BOOST_TEST(fixture.confirm(0, "refused").status == 503);
    const auto got = fixture.confirm(0, "waits");
    BOOST_TEST(got.status == 200, got.body.toStdString());
    BOOST_TEST(elapsed.elapsed() >= rest_s * 1000);
    BOOST_TEST(fixture.service_runs() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
