#include "libcaraway/attempts/crash_detector.hpp"
#include "libcaraway/attempts/crash_suspects.hpp"

#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>

namespace caraway::attempts
{

namespace
{

using fingerprints = std::vector<request_fingerprint>;

const upstream_incarnation u1{base::upstream_id("u1")};
const upstream_incarnation u2{base::upstream_id("u2")};
const upstream_incarnation u3{base::upstream_id("u3")};

request_fingerprint request_with(const char* body)
{
    return fingerprint_of(base::workspace_id("w"), base::service_id("m"), body);
}

const auto culprit = request_with("culprit");
const auto neighbour = request_with("neighbour");
const auto other = request_with("other");

struct suspects_fixture
{
    base::manual_clock clock;
    crash_suspects here;

    void crash(const upstream_incarnation& upstream, const fingerprints& in_flight,
               bool alone = false)
    {
        here.record_crash(upstream, in_flight, alone, clock.now());
    }
    bool is(request_fingerprint fingerprint, crash_verdict expected) const
    {
        return here.verdict(fingerprint, clock.now()) == expected;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(suspects, suspects_fixture)

// Guards against a request that crashes one upstream after another: it crashes the first one, is
// retried or sent again by its caller, and crashes the next, because no crash is attributed to it.
BOOST_AUTO_TEST_CASE(in_two_crashes_it_is_refused_and_its_neighbours_are_cleared)
{
    crash(u1, {culprit, neighbour});
    BOOST_TEST(is(culprit, crash_verdict::quarantine));
    BOOST_TEST(is(neighbour, crash_verdict::quarantine));
    crash(u2, {culprit, other});
    BOOST_TEST(is(culprit, crash_verdict::refuse));
    BOOST_TEST(is(neighbour, crash_verdict::run));
    BOOST_TEST(is(other, crash_verdict::run));
    const auto error = here.refusal(culprit, outcome::unknown, clock.now());
    BOOST_TEST(error.message == "Refused: crashed 2 upstreams.");
    BOOST_TEST(http_status(error.code) == 422);
    BOOST_TEST(name(error.result) == "unknown");
}

BOOST_AUTO_TEST_CASE(alone_on_a_crashed_upstream_it_is_refused_at_once_and_for_a_while)
{
    crash(u1, {culprit}, true);
    BOOST_TEST(is(culprit, crash_verdict::refuse));
    clock.advance(std::chrono::minutes(15));
    BOOST_TEST(is(culprit, crash_verdict::run));
}

BOOST_AUTO_TEST_CASE(the_same_upstream_crashing_again_counts_once)
{
    crash(u1, {culprit});
    crash(u1, {culprit});
    BOOST_TEST(here.crash_count(culprit, clock.now()) == 1);
    BOOST_TEST(is(culprit, crash_verdict::quarantine));
}

// Guards against refusing a harmless request that was in flight together with the culprit in both
// crashes. Two crashes are no proof if another request was in flight in both.
BOOST_AUTO_TEST_CASE(ambiguous_suspects_are_not_refused_until_a_crash_distinguishes_them)
{
    crash(u1, {culprit, neighbour});
    crash(u2, {culprit, neighbour});
    BOOST_TEST(is(culprit, crash_verdict::quarantine));
    BOOST_TEST(is(neighbour, crash_verdict::quarantine));
    crash(u3, {culprit});
    BOOST_TEST(is(culprit, crash_verdict::refuse));
    BOOST_TEST(is(neighbour, crash_verdict::run));
}

BOOST_AUTO_TEST_CASE(ambiguous_suspects_are_refused_after_the_third_crash)
{
    for (const auto& upstream : {u1, u2, u3})
    {
        crash(upstream, {culprit, neighbour});
    }
    BOOST_TEST(is(culprit, crash_verdict::refuse));
    BOOST_TEST(is(neighbour, crash_verdict::refuse));
}

// Guards against refusing a popular prompt: it is in flight at most upstreams at all times, so also
// at those that crash. Counting crashes is not enough; the prompt completes at other upstreams.
BOOST_AUTO_TEST_CASE(a_request_that_completes_is_cleared)
{
    crash(u1, {culprit, neighbour});
    here.record_completed(neighbour, clock.now());
    crash(u2, {culprit, neighbour});
    BOOST_TEST(is(neighbour, crash_verdict::run));
    BOOST_TEST(is(culprit, crash_verdict::refuse));
}

BOOST_AUTO_TEST_CASE(a_crash_with_a_refused_request_in_flight_is_attributed_to_no_other_request)
{
    crash(u1, {culprit}, true);
    crash(u2, {culprit, neighbour});
    BOOST_TEST(is(neighbour, crash_verdict::run));
    BOOST_TEST(here.crash_count(culprit, clock.now()) == 2);
}

BOOST_AUTO_TEST_CASE(suspects_run_one_at_a_time_where_all_routers_run_them)
{
    BOOST_TEST(here.begin_quarantine(culprit));
    BOOST_TEST(!here.begin_quarantine(neighbour));
    here.end_quarantine(culprit);
    BOOST_TEST(here.begin_quarantine(neighbour));
    const auto first = here.quarantine_upstream(culprit, {u1.id, u2.id, u3.id});
    BOOST_TEST((here.quarantine_upstream(neighbour, {u3.id, u2.id, u1.id}) == first));
    crash({.id = first.value()}, {culprit});
    BOOST_TEST((here.quarantine_upstream(culprit, {u1.id, u2.id, u3.id}) != first));
    BOOST_TEST(!here.quarantine_upstream(culprit, {}).has_value());
}

BOOST_AUTO_TEST_CASE(merged_entries_add_up_and_are_not_kept_alive_by_merging)
{
    crash_suspects there;
    crash(u1, {culprit, neighbour});
    there.record_crash(u2, {culprit}, false, clock.now());
    there.merge(here.entries(10, clock.now()), clock.now());
    there.merge(here.entries(10, clock.now()), clock.now());
    BOOST_TEST((there.verdict(culprit, clock.now()) == crash_verdict::refuse));
    BOOST_TEST(there.crash_count(culprit, clock.now()) == 2);
    BOOST_TEST((there.verdict(neighbour, clock.now()) == crash_verdict::run));
    for (int minute = 0; minute < 16; ++minute)
    {
        here.merge(there.entries(10, clock.now()), clock.now());
        there.merge(here.entries(10, clock.now()), clock.now());
        clock.advance(std::chrono::minutes(1));
    }
    BOOST_TEST(is(culprit, crash_verdict::run));
    BOOST_TEST(here.entries(10, clock.now()).empty());
}

BOOST_AUTO_TEST_CASE(entries_are_bounded_and_the_nearest_to_refusal_come_first)
{
    here = crash_suspects({.capacity = 2});
    crash(u1, {neighbour, other});
    clock.advance(std::chrono::seconds(1));
    crash(u2, {culprit}, true);
    BOOST_TEST(here.size() == 2);
    const auto listed = here.entries(1, clock.now());
    BOOST_TEST((listed.at(0).fingerprint == culprit));
}

// Guards against a request that crashes an unbounded number of upstreams: its caller sends it again
// to a different router each time. The routers exchange their suspects.
BOOST_AUTO_TEST_CASE(a_caller_that_repeats_at_every_router_crashes_two_upstreams)
{
    std::vector<crash_suspects> routers(5);
    std::set<std::string> live{"a", "b", "c", "d", "e"};
    for (int repeat = 0; repeat < 20; ++repeat)
    {
        auto& router = routers[static_cast<std::size_t>(repeat) % routers.size()];
        const auto verdict = router.verdict(culprit, clock.now());
        if (verdict == crash_verdict::refuse)
        {
            continue;
        }
        std::vector<base::upstream_id> ids(live.begin(), live.end());
        const auto upstream = verdict == crash_verdict::run
                                  ? ids.front()
                                  : router.quarantine_upstream(culprit, ids).value();
        live.erase(upstream.str());
        router.record_crash({.id = upstream},
                            {culprit, verdict == crash_verdict::run ? neighbour : other}, false,
                            clock.now());
        for (auto& peer : routers)
        {
            peer.merge(router.entries(16, clock.now()), clock.now());
        }
    }
    BOOST_TEST(live.size() == 3);
    for (const auto& router : routers)
    {
        BOOST_TEST((router.verdict(neighbour, clock.now()) == crash_verdict::run));
        BOOST_TEST((router.verdict(other, clock.now()) == crash_verdict::run));
    }
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{

struct detector_fixture
{
    base::manual_clock clock;
    crash_detector detector;

    detector_fixture()
    {
        for (const auto fingerprint : {culprit, neighbour, other})
        {
            detector.record_started(u1, fingerprint);
        }
    }
    std::optional<upstream_crash> lose(request_fingerprint fingerprint)
    {
        return detector.record_connection_lost(u1, fingerprint, clock.now());
    }
};

fingerprints sorted(fingerprints values)
{
    std::sort(values.begin(), values.end());
    return values;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(detection, detector_fixture)

BOOST_AUTO_TEST_CASE(several_simultaneous_losses_report_all_requests_in_flight_once)
{
    BOOST_TEST(!lose(culprit).has_value());
    const auto crash = lose(neighbour);
    BOOST_REQUIRE(crash.has_value());
    BOOST_TEST((crash->in_flight == sorted({culprit, neighbour, other})));
    BOOST_TEST(!lose(other).has_value());
    BOOST_TEST(!detector.record_unreachable(u1, clock.now()).has_value());
}

BOOST_AUTO_TEST_CASE(a_single_broken_connection_is_no_crash)
{
    BOOST_TEST(!lose(culprit).has_value());
    detector.record_healthy(u1);
    BOOST_TEST(!detector.record_unreachable(u1, clock.now()).has_value());
    detector.record_healthy(u1);
    clock.advance(std::chrono::seconds(1));
    BOOST_TEST(!lose(neighbour).has_value());
    clock.advance(std::chrono::seconds(1));
    BOOST_TEST(!lose(other).has_value());
}

BOOST_AUTO_TEST_CASE(a_loss_and_a_failed_health_check_are_a_crash_in_either_order)
{
    detector.record_ended(u1, other);
    lose(culprit);
    const auto after = detector.record_unreachable(u1, clock.now());
    BOOST_REQUIRE(after.has_value());
    BOOST_TEST((after->in_flight == sorted({culprit, neighbour})));

    detector.record_started(u2, culprit);
    BOOST_TEST(!detector.record_unreachable(u2, clock.now()).has_value());
    BOOST_TEST(detector.record_connection_lost(u2, culprit, clock.now()).has_value());
}

// Guards against memory that grows with each upstream that ever refused a connection.
BOOST_AUTO_TEST_CASE(what_is_too_old_to_be_matched_is_evicted)
{
    detector.record_unreachable(u2, clock.now());
    detector.record_started(u3, culprit);
    detector.record_connection_lost(u3, culprit, clock.now());
    for (const auto fingerprint : {culprit, neighbour, other})
    {
        detector.record_ended(u1, fingerprint);
    }

    clock.advance(crash_detector_options{}.loss_retention - std::chrono::milliseconds(1));
    detector.expire(clock.now());
    BOOST_TEST(detector.size() == 2U);

    clock.advance(std::chrono::milliseconds(1));
    detector.expire(clock.now());
    BOOST_TEST(detector.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace caraway::attempts
