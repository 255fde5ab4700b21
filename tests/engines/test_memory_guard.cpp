#include "libcaraway/routing/engines/memory_guard.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace caraway;
using namespace std::chrono_literals;
using namespace caraway::routing;
using namespace caraway::routing::engines;

namespace
{

const base::time_point start(1h);
constexpr auto digest_period = 500ms;
constexpr std::uint64_t kv_tokens = 480000;
constexpr std::uint64_t large_prompt = 12000;

base::upstream_id engine_id(std::size_t number)
{
    return base::upstream_id("e" + std::to_string(number));
}

struct router
{
    base::node_id id;
    load_tracker loads;
    memory_guard memory;
};

struct running_request
{
    std::size_t router = 0;
    std::size_t engine = 0;
    upstream_load load;
    base::time_point end{};
};

/// Routers that place requests at engines, and know of each other's by digests that are sent each
/// half second, each router's at another moment.
struct fleet
{
    explicit fleet(std::size_t routers, std::size_t engines, bool with_guard = true)
        : with_guard_(with_guard), held(engines)
    {
        for (std::size_t number = 0; number < routers; ++number)
        {
            auto added = std::make_unique<router>();
            added->id = base::node_id("r" + std::to_string(100 + number));
            routers_.push_back(std::move(added));
        }
    }

    bool place(std::size_t router_number, std::size_t engine, std::uint64_t tokens,
               base::duration service_time)
    {
        auto& from = *routers_[router_number];
        const auto id = engine_id(engine);
        const auto& known = from.loads.load_of(id);
        const auto total = known.total();
        const bool fits =
            with_guard_ ? from.memory.has_room(capacity, id, known, tokens)
                        : total.running == 0 || static_cast<double>(total.held_tokens + tokens) <=
                                                    static_cast<double>(kv_tokens) * 0.92;
        if (!fits)
        {
            return false;
        }
        const upstream_load load{.running = 1, .held_tokens = tokens};
        from.loads.record_start(id, load);
        running_.push_back(
            {.router = router_number, .engine = engine, .load = load, .end = now + service_time});
        held[engine] += tokens;
        largest_held = std::max(largest_held, held[engine]);
        return true;
    }

    /// Advances by 10 ms: ends requests, and sends the digests that are due.
    void step()
    {
        now += 10ms;
        ++steps_;
        std::erase_if(running_,
                      [&](const auto& each)
                      {
                          if (each.end > now)
                          {
                              return false;
                          }
                          routers_[each.router]->loads.record_end(engine_id(each.engine),
                                                                  each.load);
                          held[each.engine] -= each.load.held_tokens;
                          return true;
                      });
        for (std::size_t sender = 0; sender < routers_.size(); ++sender)
        {
            const bool is_due = (steps_ + sender) % (digest_period / 10ms) == 0;
            if (!is_due)
            {
                continue;
            }
            auto& from = *routers_[sender];
            from.loads.record_told(digest_period, now);
            for (std::size_t receiver = 0; receiver < routers_.size(); ++receiver)
            {
                auto& to = *routers_[receiver];
                if (receiver != sender)
                {
                    to.loads.set_peer(from.id, from.loads.own_loads(), now);
                    to.loads.expire_peers(now, 3 * digest_period);
                }
            }
            from.memory.update(from.loads, from.id, digest_period);
        }
    }

    void run(base::duration time)
    {
        for (const auto end = now + time; now < end;)
        {
            step();
        }
    }

private:
    bool with_guard_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<running_request> running_;
    std::size_t steps_ = 0;

public:
    engine_capacity capacity{.slots = 64, .kv_tokens = kv_tokens};
    base::time_point now = start;
    std::vector<std::uint64_t> held;
    std::uint64_t largest_held = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(memory_guards)

// Guards against an engine that crashes when all routers, of whose requests none knows yet, send it
// a large prompt at once.
BOOST_AUTO_TEST_CASE(a_clump_from_85_routers_fits_into_an_engine_that_is_nearly_full)
{
    for (const bool with_guard : {false, true})
    {
        fleet routers(85, 1, with_guard);
        for (std::size_t number = 0; number < 85; ++number)
        {
            routers.place(number, 0, 1000, 60s);
            routers.run(number % 10 == 0 ? 500ms : 0ms);
        }
        for (std::size_t number = 0; routers.held[0] < kv_tokens * 3 / 4; ++number)
        {
            routers.place(number % 85, 0, 5000, 60s);
            routers.run(50ms);
        }
        routers.run(2s);
        for (std::size_t number = 0; number < 85; ++number)
        {
            routers.place(number, 0, large_prompt, 20s);
        }
        BOOST_TEST((routers.largest_held <= kv_tokens) == with_guard);
    }
}

// Guards against memory that idles because each router keeps it for others: all routers press.
BOOST_AUTO_TEST_CASE(engines_bound_by_memory_are_filled_and_never_exceed_it)
{
    constexpr std::size_t engines = 10;
    for (const std::size_t count : {1, 8, 85})
    {
        fleet routers(count, engines);
        routers.run(2s);
        std::mt19937 random(3);
        double used = 0;
        int steps = 0;
        for (int step = 0; step < 3000; ++step)
        {
            routers.step();
            for (int number = 0; number < 20; ++number)
            {
                const auto service_time = std::chrono::milliseconds(2000 + random() % 2000);
                routers.place(random() % count, random() % engines,
                              random() % 3 == 0 ? large_prompt : 900, service_time);
            }
            if (step < 1000)
            {
                continue;
            }
            for (const auto tokens : routers.held)
            {
                used += static_cast<double>(tokens) / kv_tokens / engines;
            }
            ++steps;
        }
        BOOST_TEST_MESSAGE(count << " routers: " << used / steps << " of the memory used, at most "
                                 << routers.largest_held << " tokens");
        BOOST_TEST(routers.largest_held <= kv_tokens);
        BOOST_TEST(used / steps >= 2.0 / 3);
    }
}

BOOST_AUTO_TEST_CASE(engines_with_much_room_accept_from_any_router)
{
    fleet routers(85, 1);
    for (std::size_t number = 0; number < 18; ++number)
    {
        BOOST_TEST(routers.place(number, 0, large_prompt, 60s));
        routers.run(500ms);
    }
}

// Guards against an engine whose load grows faster than digests tell, as all routers choose it as
// the home of a busy part: its known load is low when the next clump comes.
BOOST_AUTO_TEST_CASE(an_engine_whose_load_grows_fast_is_divided_early)
{
    fleet routers(85, 1);
    for (int burst = 0; burst < 10; ++burst)
    {
        for (std::size_t number = 0; number < 38; ++number)
        {
            routers.place((number * 7 + burst) % 85, 0, large_prompt, 400ms);
            routers.run(number % 4 == 0 ? 10ms : 0ms);
        }
        routers.run(500ms);
    }
    BOOST_TEST(routers.largest_held <= kv_tokens);
    for (std::size_t number = 0; number < 85; ++number)
    {
        routers.place(number, 0, large_prompt, 20s);
    }
    BOOST_TEST(routers.largest_held <= kv_tokens);
}

BOOST_AUTO_TEST_CASE(an_idle_engine_accepts_a_request_of_any_size)
{
    fleet routers(2, 1);
    BOOST_TEST(routers.place(0, 0, kv_tokens * 2, 1s));
}

BOOST_AUTO_TEST_CASE(the_room_is_not_divided_where_engines_survive_without_memory)
{
    const memory_guard guard;
    const engine_capacity engine{.slots = 16, .kv_tokens = 10000};
    const known_load load{.own = {.running = 1, .held_tokens = 4000},
                          .peers = {.running = 1, .held_tokens = 4000}};
    BOOST_TEST(guard.has_room(engine, base::upstream_id("e1"), load, 1200));
    BOOST_TEST(!guard.has_room(engine, base::upstream_id("e1"), load, 1201));
}

BOOST_AUTO_TEST_SUITE_END()
