#include "libcaraway/routing/digest.hpp"
#include "libcaraway/routing/parts/part_suspects.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace caraway;
using namespace caraway::routing;
using namespace caraway::routing::parts;
using namespace std::chrono_literals;

namespace
{

const base::time_point start(1h);
constexpr part_fingerprint common{1};
constexpr part_fingerprint crashing{2};
constexpr part_fingerprint other_crashing{3};
constexpr part_fingerprint document{4};
constexpr std::size_t crashes_until_refused = part_suspect_options{}.min_crashes;

attempts::upstream_incarnation make_upstream(int number,
                                             std::chrono::milliseconds process_start = 0ms)
{
    return {.id = base::upstream_id("u" + std::to_string(number)), .process_start = process_start};
}

part_fingerprint rare_part(int number)
{
    return part_fingerprint{static_cast<std::uint64_t>(1000 + number)};
}

/// Routers that send each other what they know.
struct suspects_fixture
{
    std::vector<part_suspects> routers{1};
    base::time_point now = start;
    int crash_count = 0;

    part_suspects& here()
    {
        return routers.front();
    }
    /// One more upstream crashes, and a router has lost requests there with these parts.
    void crash(const part_fingerprints& parts, std::size_t router = 0)
    {
        now += 500ms;
        routers[router].record_crash(make_upstream(++crash_count), parts, now, now);
    }
    void crash_times(std::size_t times, const part_fingerprints& parts)
    {
        for (std::size_t time = 0; time < times; ++time)
        {
            crash(parts);
        }
    }
    /// An answer to a request with these parts begins now, and goes on.
    void answer(const part_fingerprints& parts, std::size_t router = 0)
    {
        now += 10ms;
        routers[router].record_sound(parts, now);
    }
    void exchange()
    {
        for (auto& sender : routers)
        {
            const auto received =
                decode(encode(digest{.suspected_parts = sender.entries(now)})).value();
            now += 3ms;
            for (auto& receiver : routers)
            {
                if (&receiver != &sender)
                {
                    receiver.merge(received.suspected_parts, now);
                }
            }
        }
    }
    bool refuses(const part_fingerprints& parts, std::size_t router = 0)
    {
        return routers[router].refuses(parts, now);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(part_suspect_tests, suspects_fixture)

BOOST_AUTO_TEST_CASE(a_part_that_is_in_each_crash_is_refused_and_those_beside_it_are_not)
{
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        BOOST_TEST(!refuses({common, crashing}));
        answer({common, document});
        crash({common, crashing, document, rare_part(static_cast<int>(count))});
    }

    BOOST_TEST(refuses({common, crashing}));
    BOOST_TEST(refuses({crashing, document}));
    BOOST_TEST(!refuses({common, document}));
    BOOST_TEST(!refuses({common, rare_part(0)}));
}

BOOST_AUTO_TEST_CASE(a_part_that_was_sound_before_its_first_crash_is_refused_all_the_same)
{
    crash({crashing, common});
    answer({crashing, common});
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        crash({crashing, common});
        answer({common});
    }

    BOOST_TEST(refuses({crashing}));
    BOOST_TEST(!refuses({common}));
}

// An answer that began before a crash says nothing of it, however late it is known to go on.
BOOST_AUTO_TEST_CASE(an_answer_that_began_before_a_crash_does_not_cancel_it)
{
    const auto began = now;
    crash_times(crashes_until_refused, {crashing});
    here().record_sound({crashing}, began);

    BOOST_TEST(refuses({crashing}));
}

BOOST_AUTO_TEST_CASE(an_answer_that_begins_after_the_crashes_ends_a_wrong_refusal)
{
    crash_times(crashes_until_refused, {document});
    BOOST_REQUIRE(refuses({document}));
    answer({document});

    BOOST_TEST(!refuses({document}));
}

// No request had one of the parts without the other, so either may be the cause.
BOOST_AUTO_TEST_CASE(parts_that_crashed_together_each_time_are_refused_only_together)
{
    crash_times(crashes_until_refused, {common, crashing});
    BOOST_TEST(refuses({common, crashing}));
    BOOST_TEST(!refuses({common, document}));
    BOOST_TEST(!refuses({crashing, document}));

    answer({common, document});
    BOOST_TEST(refuses({crashing, document}));
    BOOST_TEST(!refuses({common, document}));
}

BOOST_AUTO_TEST_CASE(two_parts_that_crash_upstreams_at_the_same_time_are_both_refused)
{
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        crash({common, crashing, document});
        answer({common});
        crash({common, other_crashing, document});
        answer({common});
    }
    answer({document});

    BOOST_TEST(refuses({crashing}));
    BOOST_TEST(refuses({other_crashing}));
    BOOST_TEST(!refuses({common, document}));
}

// Its requests were lost beside those of two parts that crash upstreams, and none was answered.
BOOST_AUTO_TEST_CASE(a_part_whose_crashes_others_explain_is_not_refused)
{
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        const bool is_beside = count % 2 == 0;
        crash(is_beside ? part_fingerprints{crashing, document} : part_fingerprints{crashing});
        crash(is_beside ? part_fingerprints{other_crashing, document}
                        : part_fingerprints{other_crashing});
    }

    BOOST_TEST(refuses({crashing}));
    BOOST_TEST(refuses({other_crashing}));
    BOOST_TEST(!refuses({document}));
}

// A rack or a switch takes several upstreams along; the same first part was in all that ran there.
BOOST_AUTO_TEST_CASE(upstreams_lost_at_the_same_time_count_once)
{
    for (int outage = 0; outage < 3; ++outage)
    {
        now += 5s;
        for (int upstream = 0; upstream < 6; ++upstream)
        {
            here().record_crash(make_upstream(++crash_count), {common, document}, now + 20ms,
                                now + 20ms);
        }
    }

    BOOST_TEST(!refuses({common, document}));
}

// Upstreams that failed together are found one by one, while others go on to answer.
BOOST_AUTO_TEST_CASE(a_part_is_not_refused_before_an_answer_can_show_that_it_is_sound)
{
    for (std::size_t upstream = 0; upstream < 2 * crashes_until_refused; ++upstream)
    {
        now += 110ms;
        here().record_crash(make_upstream(++crash_count), {common}, now, now);
    }
    BOOST_TEST(!refuses({common}));
    const auto began = now + 10ms;
    now += 100ms;
    here().record_sound({common}, began);
    now += 1s;

    BOOST_TEST(!refuses({common}));
}

BOOST_AUTO_TEST_CASE(crashes_and_answers_seen_by_different_routers_add_up)
{
    routers.resize(4);
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        answer({common}, (count + 1) % routers.size());
        crash({common, crashing}, count % routers.size());
        exchange();
    }
    answer({common}, 1);
    exchange();

    for (std::size_t router = 0; router < routers.size(); ++router)
    {
        BOOST_TEST(refuses({crashing}, router));
        BOOST_TEST(!refuses({common}, router));
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_learns_of_refused_parts_and_only_of_those)
{
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        crash({common, crashing, document, rare_part(static_cast<int>(count))});
        answer({common, document});
    }
    routers.resize(2);
    exchange();

    BOOST_TEST(refuses({crashing}, 1));
    BOOST_TEST(!refuses({common}, 1));
    BOOST_TEST(!refuses({document}, 1));
    BOOST_TEST(!refuses({rare_part(1)}, 1));
}

// Routers send their news on and on; the time on the way must not make an answer seem younger.
BOOST_AUTO_TEST_CASE(an_answer_does_not_become_younger_by_being_told)
{
    routers.resize(3);
    crash({crashing}, 0);
    answer({crashing}, 1);
    exchange();
    answer({crashing}, 1);
    now += 5ms;
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        crash({crashing}, count % 2);
        for (int round = 0; round < 50; ++round)
        {
            exchange();
        }
    }

    BOOST_TEST(refuses({crashing}, 0));
    BOOST_TEST(refuses({crashing}, 2));
}

// Guards against a part that crashes the few upstreams of a service again and again: each starts
// again under its id, and only its first crash counts.
BOOST_AUTO_TEST_CASE(each_process_under_one_id_counts)
{
    for (std::size_t count = 1; count <= crashes_until_refused; ++count)
    {
        now += 500ms;
        BOOST_TEST(!refuses({crashing}));
        here().record_crash(make_upstream(1, std::chrono::seconds(count)), {crashing}, now, now);
    }

    BOOST_TEST(refuses({crashing}));
}

// The peer's crashes and its sound answer arrive in one digest, in which the answer is younger.
BOOST_AUTO_TEST_CASE(a_part_of_which_only_a_sound_answer_is_left_can_be_told_to_others)
{
    const std::vector<part_evidence> received{
        {.part = document,
         .crashes = {{.fingerprint = {attempts::upstream_fingerprint{1}}, .age = 500ms}},
         .sound_age = 100ms}};
    here().merge(received, now);

    BOOST_TEST(here().entries(now).empty());
    BOOST_TEST(!refuses({document}));
}

BOOST_AUTO_TEST_CASE(digests_of_routers_that_know_no_suspected_parts_are_read)
{
    auto fields = nlohmann::json::from_cbor(encode(digest{.sender = base::node_id("r1")}));
    fields.erase(fields.size() - 1);
    std::string bytes;
    nlohmann::json::to_cbor(fields, bytes);
    const auto received = decode(bytes);

    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received.value().suspected_parts.empty());
}

BOOST_AUTO_TEST_CASE(a_refusal_ends_and_one_more_crash_renews_it)
{
    crash_times(crashes_until_refused, {crashing});
    BOOST_TEST(refuses({crashing}));
    now += part_suspect_options{}.refusal_duration + 1s;
    here().expire(now);
    BOOST_TEST(!refuses({crashing}));

    crash({crashing});
    BOOST_TEST(refuses({crashing}));
}

BOOST_AUTO_TEST_CASE(parts_with_few_crashes_are_forgotten)
{
    crash({crashing, document});
    now += part_suspect_options{}.suspect_lifetime + 1s;
    here().expire(now);

    BOOST_TEST(here().empty());
}

BOOST_AUTO_TEST_CASE(memory_and_digests_are_bounded)
{
    const part_suspect_options options{};
    crash_times(2 * options.max_crashes, {crashing});
    for (int number = 0; number < 2 * static_cast<int>(options.capacity); ++number)
    {
        now += 1ms;
        here().record_crash(make_upstream(9999), {rare_part(number)}, now, now);
    }

    const auto entries = here().entries(now);
    BOOST_TEST(entries.size() == options.max_digest_entries);
    BOOST_TEST((entries.front().part == crashing));
    BOOST_TEST(entries.front().crashes.size() == options.max_crashes);
    BOOST_TEST(refuses({crashing}));
}

// Each crash leaves parts of sound requests behind that no answer clears, and different routers
// see the crashes under the one part.
BOOST_AUTO_TEST_CASE(crashes_add_up_beside_more_parts_than_a_digest_holds)
{
    routers.resize(4);
    int rare = 0;
    for (std::size_t count = 0; count < crashes_until_refused; ++count)
    {
        for (std::size_t router = 0; router < routers.size(); ++router)
        {
            part_fingerprints lost;
            for (std::size_t part = 0; part < part_suspect_options{}.max_digest_entries; ++part)
            {
                lost.push_back(part_fingerprint{static_cast<std::uint64_t>(rare++)});
            }
            crash(lost, router);
            exchange();
        }
        crash({part_fingerprint{~std::uint64_t{0}}}, count);
        exchange();
    }

    for (std::size_t router = 0; router < routers.size(); ++router)
    {
        BOOST_TEST(refuses({part_fingerprint{~std::uint64_t{0}}}, router));
    }
}

// Sound requests and their parts at random, beside parts that crash every upstream.
BOOST_AUTO_TEST_CASE(only_parts_that_crash_upstreams_are_refused_in_random_traffic)
{
    for (unsigned seed = 1; seed <= 50; ++seed)
    {
        std::mt19937 random(seed);
        const auto pick = [&](int from, int count)
        {
            return rare_part(from + static_cast<int>(random() % static_cast<unsigned>(count)));
        };
        routers.assign(4, part_suspects());
        crash_count = 0;
        for (int count = 0; count < 12; ++count)
        {
            const auto bad = count % 2 == 0 ? crashing : other_crashing;
            crash({common, bad, pick(0, 5), pick(0, 5), pick(10, 200)}, random() % 4);
            for (int sound = 0; sound < 6; ++sound)
            {
                answer({common, pick(0, 5)}, random() % 4);
            }
            exchange();
        }
        exchange();
        for (std::size_t router = 0; router < routers.size(); ++router)
        {
            BOOST_TEST(refuses({crashing}, router));
            BOOST_TEST(refuses({other_crashing}, router));
            BOOST_TEST(!refuses({common}, router));
            for (int number = 0; number < 210; ++number)
            {
                BOOST_TEST(!refuses({common, rare_part(number)}, router));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
