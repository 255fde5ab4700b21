#include "libcaraway/routing/table_relay.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;

// How late the routers of a zone learn that an upstream leaves.

namespace
{

using std::chrono::milliseconds;

const base::time_point start(1h);
constexpr milliseconds notice{3000};
/// Time from a caller to the upstream through a router on a small VM in a flood.
constexpr milliseconds slow_path{653};
constexpr milliseconds step_time{10};
constexpr milliseconds tick_period{100};
/// Time between two digests to the same peer in a fleet of 64.
constexpr milliseconds digest_period{400};
/// Time between two answers of the store to a router that polls it.
constexpr milliseconds answer_period{250};

/// A router, the digests in its socket, and what it knows.
struct router
{
    base::node_id id;
    table_relay relay;
    table_state state{.content_hash = 1};
    milliseconds phase{};
    /// The period at which it reads its socket and does its regular work.
    milliseconds turn = tick_period;
    bool cut_off_from_store = false;
    base::time_point last_answer = start;
    base::time_point next_answer = start;
    base::time_point last_read = start;
    std::vector<std::pair<base::node_id, table_state>> socket;
    std::optional<base::time_point> learned;
};

/// A zone of 21 routers of a fleet. In the order in which they poll the store, those before
/// `cut_off_count` lose it at the moment at which an upstream leaves.
struct zone
{
    std::vector<router> routers;
    base::time_point now = start;
    std::optional<base::time_point> left;

    zone()
    {
        constexpr int size = 21;
        for (int number = 0; number < size; ++number)
        {
            const base::node_id id("r" + std::to_string(number));
            routers.push_back({.id = id,
                               .relay = table_relay(id, {.leaving_notice = notice}),
                               .phase = 170ms * number % digest_period});
        }
        routers.back().turn = 300ms;
        for (auto& each : routers)
        {
            for (const auto& other : routers)
            {
                if (other.id != each.id)
                {
                    each.relay.record_peer(other.id, capacity(other), other.state, now);
                }
            }
        }
    }

    /// The routers' order of polling is that of their capacity.
    double capacity(const router& each) const
    {
        return 100 - static_cast<double>(&each - routers.data());
    }

    bool is_due(const router& each, milliseconds period) const
    {
        return (now - start + each.phase) % period < step_time;
    }

    void poll_store(router& each)
    {
        ++each.state.answer_count;
        each.last_answer = now;
        each.next_answer = now + answer_period;
        if (left)
        {
            learn(each);
        }
    }

    void learn(router& each)
    {
        if (!each.learned)
        {
            each.learned = now;
            each.state.content_hash = 2;
            // Its next digests go out at once.
            send_digests(each);
        }
    }

    table_state state_of(const router& each) const
    {
        auto state = each.state;
        state.answer_age = std::chrono::duration_cast<milliseconds>(now - each.last_answer);
        return state;
    }

    void send_digests(const router& from)
    {
        for (auto& each : routers)
        {
            if (each.id != from.id)
            {
                each.socket.emplace_back(from.id, state_of(from));
            }
        }
    }

    void read_socket(router& each)
    {
        for (const auto& [id, state] : each.socket)
        {
            const auto& sender = *std::find_if(routers.begin(), routers.end(),
                                               [&sender_id = id](const auto& other)
                                               { return other.id == sender_id; });
            each.relay.record_peer(id, capacity(sender), state, each.last_read);
            if (state.content_hash == 2)
            {
                learn(each);
            }
        }
        each.socket.clear();
        each.last_read = now;
    }

    void work(router& each)
    {
        read_socket(each);
        each.relay.set_own_state(capacity(each), state_of(each), true, now);
        const bool polled = each.state.polls_store;
        each.state.polls_store = each.relay.should_poll_store(now);
        if (each.state.polls_store && !polled)
        {
            // The connection is opened in one turn, the answer read in the next.
            each.next_answer = now + 2 * each.turn;
        }
    }

    void step()
    {
        now += step_time;
        for (auto& each : routers)
        {
            if (is_due(each, each.turn))
            {
                work(each);
            }
            const bool answered =
                each.state.polls_store && !each.cut_off_from_store && now >= each.next_answer;
            if (answered)
            {
                poll_store(each);
            }
            if (is_due(each, digest_period))
            {
                send_digests(each);
            }
        }
    }

    void run(milliseconds duration)
    {
        for (const auto end = now + duration; now < end;)
        {
            step();
        }
    }

    /// The longest time that a router with access to the store takes to learn that an upstream
    /// left just when the first `cut_off_count` routers lost the store.
    milliseconds latest(std::size_t cut_off_count)
    {
        run(3s);
        left = now;
        for (std::size_t number = 0; number < cut_off_count; ++number)
        {
            routers[number].cut_off_from_store = true;
        }
        run(6s);
        base::duration latest{};
        for (const auto& each : routers)
        {
            if (!each.cut_off_from_store)
            {
                BOOST_REQUIRE(each.learned.has_value());
                latest = std::max(latest, *each.learned - *left);
            }
        }
        return std::chrono::duration_cast<milliseconds>(latest);
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_word)

// Guards against a request that a slow router sends later than an upstream's notice allows, as it
// learned late that the upstream leaves: the routers that poll the store for it had just lost it.
BOOST_AUTO_TEST_CASE(a_slow_routers_requests_keep_the_notice_when_the_pollers_lose_the_store)
{
    for (std::size_t cut_off_count = 2; cut_off_count <= 20; ++cut_off_count)
    {
        BOOST_TEST_CONTEXT(cut_off_count << " routers lose the store")
        {
            BOOST_TEST((zone().latest(cut_off_count) + slow_path).count() <= notice.count());
        }
    }
}

BOOST_AUTO_TEST_CASE(two_routers_of_a_zone_poll_while_they_reach_the_store)
{
    zone calm;
    calm.run(3s);
    for (int checks = 0; checks < 100; ++checks)
    {
        calm.run(70ms);
        BOOST_TEST(std::count_if(calm.routers.begin(), calm.routers.end(),
                                 [](const auto& each) { return each.state.polls_store; }) == 2);
    }
}

BOOST_AUTO_TEST_SUITE_END()
