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

/// A zone of ten routers of equal capacity, each with its own view of the others. Time advances by
/// one digest period per step, in which pollers get an answer from the store.
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
            state.answer_count += state.polls_store && !cut_off[number] ? 1 : 0;
            if (state.polls_store && cut_off[number])
            {
                relays[number].record_store_unreachable(now);
            }
            relays[number].set_own_state(1, state, true, now);
        }
        for (int from = 0; from < size; ++from)
        {
            for (int to = 0; to < size; ++to)
            {
                if (from != to && !is_silent[from] && !is_silent[to])
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

    void run(base::duration duration)
    {
        for (const auto end = now + duration; now < end;)
        {
            step();
        }
    }

    std::vector<int> pollers() const
    {
        std::vector<int> result;
        for (int number = 0; number < size; ++number)
        {
            if (states[number].polls_store && !cut_off[number] && !is_silent[number])
            {
                result.push_back(number);
            }
        }
        return result;
    }

    base::time_point now = start;
    std::vector<table_relay> relays;
    std::vector<table_state> states;
    /// Routers that can't reach the store.
    std::array<bool, size> cut_off{};
    /// Dead or frozen routers.
    std::array<bool, size> is_silent{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(table_relays, zone)

BOOST_AUTO_TEST_CASE(the_same_two_routers_of_a_zone_keep_polling_the_store)
{
    run(1s);
    const auto initial_pollers = pollers();
    run(20s);

    BOOST_TEST(initial_pollers.size() == 2);
    BOOST_TEST(pollers() == initial_pollers, boost::test_tools::per_element());
}

// Guards against requests to an upstream that has left: both pollers of a zone may die or be cut
// off from the store at once, just when an upstream announces that it leaves, and the routers that
// copy from them can't see that themselves.
BOOST_AUTO_TEST_CASE(others_poll_within_the_notice_when_both_pollers_fail)
{
    run(1s);
    for (const auto number : pollers())
    {
        is_silent[number] = true;
    }
    run(2400ms);

    BOOST_TEST(pollers().size() >= 2);
}

BOOST_AUTO_TEST_CASE(others_poll_within_the_notice_when_both_pollers_lose_the_store)
{
    run(1s);
    for (const auto number : pollers())
    {
        cut_off[number] = true;
    }
    run(2400ms);

    BOOST_TEST(pollers().size() >= 2);
}

// As above, but the next routers in the order are cut off too.
BOOST_AUTO_TEST_CASE(a_router_whose_copy_is_unconfirmed_polls)
{
    run(1s);
    for (int number = 0; number < size - 1; ++number)
    {
        cut_off[number] = true;
    }
    run(3s);

    BOOST_TEST(states[size - 1].polls_store);
}

BOOST_AUTO_TEST_CASE(a_router_that_receives_no_digests_polls)
{
    run(1s);
    is_silent.fill(true);
    run(2s);

    BOOST_TEST(states[0].polls_store);
    BOOST_TEST(states[size - 1].polls_store);
}

// Guards against all routers of a fleet reading all tables from the store when they start at once.
BOOST_AUTO_TEST_CASE(a_starting_router_waits_for_a_copy_before_it_polls)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.wait_for_peers(start);
    BOOST_TEST(!relay.should_poll_store(start + 900ms));
    BOOST_TEST(relay.should_poll_store(start + 1000ms));

    relay.wait_for_peers(start);
    relay.stop_waiting_for_peers();
    BOOST_TEST(relay.should_poll_store(start));
}

// As above, a second later: each router has a copy, but knows no peers of its zone yet.
BOOST_AUTO_TEST_CASE(a_starting_router_relies_on_a_confirmed_copy_until_it_knows_its_zone)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.wait_for_peers(start);
    const table_state copied{
        .polls_store = true, .answer_count = 1, .revision = 5, .content_hash = content_hash};
    relay.record_copy(id(1), copied, start + 500ms);
    relay.set_own_state(1, {.revision = 5, .content_hash = content_hash}, true, start + 500ms);
    BOOST_TEST(!relay.should_poll_store(start + 2s));
    // An unconfirmed copy makes the router poll, in time for an upstream that leaves.
    BOOST_TEST(relay.should_poll_store(start + 3s));

    auto confirming = copied;
    for (auto now = start + 1s; now <= start + 4s; now += 500ms)
    {
        ++confirming.answer_count;
        relay.record_peer(id(1), 1, confirming, now);
    }
    BOOST_TEST(!relay.should_poll_store(start + 3900ms));
    // In a zone of few routers each polls in the end.
    BOOST_TEST(relay.should_poll_store(start + 4s));
}

BOOST_AUTO_TEST_CASE(a_starting_router_that_knows_its_zone_polls_if_it_ranks_first)
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

BOOST_AUTO_TEST_CASE(all_routers_of_a_small_zone_poll)
{
    table_relay relay(id(0), {.leaving_notice = 3000ms});
    relay.set_own_state(1, {.polls_store = true, .answer_count = 1}, true, start);
    for (int number = 1; number < 4; ++number)
    {
        relay.record_peer(id(number), 1, {.polls_store = true, .answer_count = 1}, start);
    }

    BOOST_TEST(relay.should_poll_store(start));
}

BOOST_AUTO_TEST_CASE(a_newer_copy_with_other_content_is_applied_once)
{
    run(1s);
    const auto from = pollers()[0];
    const auto copying = std::find_if(states.begin(), states.end(),
                                      [](const auto& state) { return !state.polls_store; });
    auto& relay = relays[static_cast<std::size_t>(copying - states.begin())];
    BOOST_TEST(!relay.source(now).has_value());

    const table_state changed{
        .polls_store = true, .answer_count = 90, .revision = 9, .content_hash = content_hash + 1};
    relay.record_peer(id(from), 1, changed, now);
    BOOST_REQUIRE(relay.source(now).has_value());
    BOOST_TEST(*relay.source(now) == id(from));
    relay.record_copy(id(from), changed, now);

    BOOST_TEST(!relay.source(now).has_value());
    // A router whose copy is older is no source.
    relay.record_peer(
        id(8), 1,
        {.polls_store = true, .answer_count = 91, .revision = 8, .content_hash = content_hash},
        now);
    BOOST_TEST(!relay.source(now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
