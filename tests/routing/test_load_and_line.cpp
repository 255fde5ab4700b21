#include "libcaraway/routing/admission.hpp"
#include "libcaraway/routing/load_board.hpp"
#include "libcaraway/routing/waiting_line.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

namespace
{

const base::time_point now(1h);
const base::upstream_id engine("e1");
const base::node_id peer("b");

}  // namespace

BOOST_AUTO_TEST_SUITE(load_boards)

BOOST_AUTO_TEST_CASE(own_and_peers_requests_add_up)
{
    load_board board;
    board.begin(engine, {.running = 1, .unread_tokens = 100, .held_tokens = 120});
    board.set_peer(peer, {{engine, {.running = 2, .unread_tokens = 50, .held_tokens = 70}}}, now);
    board.set_peer(peer, {{engine, {.running = 3, .unread_tokens = 60, .held_tokens = 80}}}, now);

    BOOST_TEST((board.total(engine) ==
                upstream_load{.running = 4, .unread_tokens = 160, .held_tokens = 200}));
}

BOOST_AUTO_TEST_CASE(a_prompt_that_was_read_stops_counting_as_unread)
{
    load_board board;
    board.begin(engine, {.running = 1, .unread_tokens = 100, .held_tokens = 120});
    board.prompt_read(engine, 100);
    BOOST_TEST((board.total(engine) == upstream_load{.running = 1, .held_tokens = 120}));

    board.end(engine, {.running = 1, .held_tokens = 120});
    BOOST_TEST((board.total(engine) == upstream_load{}));
}

// Symptom: engines stood half empty for as long as a dead router was remembered.
// Cause: what the dead router had last told went on counting.
BOOST_AUTO_TEST_CASE(a_silent_routers_requests_stop_counting)
{
    load_board board;
    board.set_peer(peer, {{engine, {.running = 30}}}, now);

    board.drop_old_peers(now + 1500ms);

    BOOST_TEST(board.total(engine).running == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(waiting_lines)

BOOST_AUTO_TEST_CASE(the_workspace_that_had_least_comes_first_then_urgency_then_arrival)
{
    waiting_line line;
    const base::workspace_id full("full");
    const base::workspace_id hungry("hungry");
    const auto first = line.add({.workspace = full, .priority = 0, .arrived = now});
    const auto second = line.add({.workspace = hungry, .priority = 1, .arrived = now + 2ms});
    const auto third = line.add({.workspace = hungry, .priority = 0, .arrived = now + 3ms});
    const auto fourth = line.add({.workspace = hungry, .priority = 0, .arrived = now + 1ms});

    const auto order = line.order([&](const auto& id) { return id == full ? 1.5 : 0.2; });

    BOOST_TEST((order == std::vector{fourth, third, second, first}));
}

BOOST_AUTO_TEST_CASE(what_has_waited_its_time_is_taken_out)
{
    waiting_line line;
    const auto early = line.add({.until = now + 10ms});
    line.add({.until = now + 20ms});

    BOOST_TEST((line.take_expired(now + 10ms) == std::vector{early}));
    BOOST_TEST(line.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(admissions)

BOOST_AUTO_TEST_CASE(the_further_beyond_its_share_the_fewer_places_a_workspace_finds)
{
    const route by{.latency_target = 600ms};
    const auto within = admit(by, 0.9);
    const auto just_beyond = admit(by, 1.0);
    const auto far_beyond = admit(by, 3.0);

    BOOST_TEST(within.slot_share == 1.0);
    BOOST_TEST(just_beyond.slot_share < within.slot_share);
    BOOST_TEST(far_beyond.slot_share < just_beyond.slot_share / 2);
    BOOST_TEST((far_beyond.longest_wait < just_beyond.longest_wait));
}

BOOST_AUTO_TEST_CASE(those_refused_at_one_moment_come_back_at_different_ones)
{
    const route by{.latency_target = 600ms};

    BOOST_TEST((retry_after(by, 2, 0.0) < retry_after(by, 2, 0.9)));
    BOOST_TEST((retry_after(by, 0.5, 0.5) < by.latency_target));
}

BOOST_AUTO_TEST_SUITE_END()
