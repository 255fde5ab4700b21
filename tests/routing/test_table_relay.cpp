#include "libcaraway/routing/table_relay.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point start(1h);
constexpr std::uint64_t content_hash = 77;

/// A zone of ten routers of one size, each with its own view of the others. Time goes on in steps
/// of a digest; followers get an answer of the store in each.
struct zone
{
    static constexpr int size = 10;

    zone()
    {
        for (int number = 0; number < size; ++number)
        {
            relays.emplace_back(id(number), relay_options{.leaving_notice = 3000ms});
            states.push_back({.polls_store = true, .revision = 5, .content_hash = content_hash});
        }
        step();
    }

    static base::node_id id(int number)
    {
        return base::node_id("r" + std::to_string(number));
    }

    void step()
    {
        now += 300ms;
        for (int number = 0; number < size; ++number)
        {
            auto& state = states[number];
            state.store_unreachable = relays[number].is_store_unreachable(now);
            state.answer_count += state.polls_store && !cut[number] ? 1 : 0;
            if (state.polls_store && cut[number])
            {
                relays[number].record_store_unreachable(now);
            }
            relays[number].set_own_state(1, state, true, now);
        }
        for (int from = 0; from < size; ++from)
        {
            for (int to = 0; to < size; ++to)
            {
                if (from != to && !silent[from] && !silent[to])
                {
                    relays[to].record_peer(id(from), 1, states[from], now);
                }
            }
        }
        for (int number = 0; number < size; ++number)
        {
            states[number].polls_store = relays[number].should_poll_store(now);
        }
    }

    void run(base::duration span)
    {
        for (const auto until = now + span; now < until;)
        {
            step();
        }
    }

    std::vector<int> pollers() const
    {
        std::vector<int> out;
        for (int number = 0; number < size; ++number)
        {
            if (states[number].polls_store && !cut[number] && !silent[number])
            {
                out.push_back(number);
            }
        }
        return out;
    }

    base::time_point now = start;
    std::vector<table_relay> relays;
    std::vector<table_state> states;
    /// Can't reach the store.
    std::array<bool, size> cut{};
    /// Dead or frozen.
    std::array<bool, size> silent{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(table_relays, zone)

BOOST_AUTO_TEST_CASE(two_routers_of_a_zone_ask_the_store_and_stay_the_same)
{
    run(1s);
    const auto chosen = pollers();
    run(20s);

    BOOST_TEST(chosen.size() == 2);
    BOOST_TEST(pollers() == chosen, boost::test_tools::per_element());
}

// Symptom: routers sent requests to an upstream that had left.
// Sequence: both routers that asked the store for their zone died at one moment, or were cut off
// from it, while an upstream said that it leaves.
// Cause: those that rely on others don't notice by themselves.
BOOST_AUTO_TEST_CASE(others_ask_within_the_notice_when_both_that_asked_are_gone)
{
    run(1s);
    for (const auto number : pollers())
    {
        silent[number] = true;
    }
    run(2400ms);

    BOOST_TEST(pollers().size() >= 2);
}

BOOST_AUTO_TEST_CASE(others_ask_within_the_notice_when_both_that_asked_are_cut_off_from_the_store)
{
    run(1s);
    for (const auto number : pollers())
    {
        cut[number] = true;
    }
    run(2400ms);

    BOOST_TEST(pollers().size() >= 2);
}

// Symptom: as above, with the next in line cut off too.
BOOST_AUTO_TEST_CASE(a_router_that_nobody_confirms_asks_by_itself)
{
    run(1s);
    for (int number = 0; number < size - 1; ++number)
    {
        cut[number] = true;
    }
    run(3s);

    BOOST_TEST(states[size - 1].polls_store);
}

BOOST_AUTO_TEST_CASE(a_router_that_hears_nobody_asks_by_itself)
{
    run(1s);
    silent.fill(true);
    run(2s);

    BOOST_TEST(states[0].polls_store);
    BOOST_TEST(states[size - 1].polls_store);
}

// Symptom: all routers of a fleet that started at one moment read all tables from the store.
BOOST_AUTO_TEST_CASE(a_router_that_starts_waits_for_a_copy_and_then_asks)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.wait_for_peers(start);
    BOOST_TEST(!relay.should_poll_store(start + 900ms));
    BOOST_TEST(relay.should_poll_store(start + 1000ms));

    relay.wait_for_peers(start);
    relay.stop_waiting_for_peers();
    BOOST_TEST(relay.should_poll_store(start));
}

// Symptom: the same, a second later: each had a copy, and knew nobody of its zone yet.
BOOST_AUTO_TEST_CASE(a_router_that_starts_goes_by_a_confirmed_copy_until_it_hears_its_zone)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.wait_for_peers(start);
    const table_state copied{
        .polls_store = true, .answer_count = 1, .revision = 5, .content_hash = content_hash};
    relay.record_copy(id(1), copied, start + 500ms);
    relay.set_own_state(1, {.revision = 5, .content_hash = content_hash}, true, start + 500ms);
    BOOST_TEST(!relay.should_poll_store(start + 2s));
    // As for any copy that nobody confirms any more, in time for an upstream that leaves.
    BOOST_TEST(relay.should_poll_store(start + 3s));

    auto confirming = copied;
    for (auto now = start + 1s; now <= start + 4s; now += 500ms)
    {
        ++confirming.answer_count;
        relay.record_peer(id(1), 1, confirming, now);
    }
    BOOST_TEST(!relay.should_poll_store(start + 3900ms));
    // In a zone of few routers each asks in the end.
    BOOST_TEST(relay.should_poll_store(start + 4s));
}

BOOST_AUTO_TEST_CASE(a_router_that_hears_its_zone_asks_if_it_is_its_turn)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.wait_for_peers(start);
    const table_state copied{
        .polls_store = true, .answer_count = 1, .revision = 5, .content_hash = content_hash};
    relay.record_copy(id(1), copied, start);
    relay.set_own_state(4, {.revision = 5, .content_hash = content_hash}, true, start);
    for (int number = 1; number < 6; ++number)
    {
        relay.record_peer(id(number), 1, copied, start + 100ms);
    }

    BOOST_TEST(relay.should_poll_store(start + 100ms));
}

BOOST_AUTO_TEST_CASE(in_a_small_zone_all_ask)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.set_own_state(1, {.polls_store = true, .answer_count = 1}, true, start);
    for (int number = 1; number < 4; ++number)
    {
        relay.record_peer(id(number), 1, {.polls_store = true, .answer_count = 1}, start);
    }

    BOOST_TEST(relay.should_poll_store(start));
}

BOOST_AUTO_TEST_CASE(a_newer_copy_that_says_something_else_is_taken_over_once)
{
    run(1s);
    const auto from = pollers()[0];
    const auto resting = std::find_if(states.begin(), states.end(),
                                      [](const auto& each) { return !each.polls_store; });
    auto& relay = relays[static_cast<std::size_t>(resting - states.begin())];
    BOOST_TEST(!relay.source(now).has_value());

    const table_state changed{
        .polls_store = true, .answer_count = 90, .revision = 9, .content_hash = content_hash + 1};
    relay.record_peer(id(from), 1, changed, now);
    BOOST_REQUIRE(relay.source(now).has_value());
    BOOST_TEST(*relay.source(now) == id(from));
    relay.record_copy(id(from), changed, now);

    BOOST_TEST(!relay.source(now).has_value());
    // One that lags behind is no source.
    relay.record_peer(
        id(8), 1,
        {.polls_store = true, .answer_count = 91, .revision = 8, .content_hash = content_hash},
        now);
    BOOST_TEST(!relay.source(now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
