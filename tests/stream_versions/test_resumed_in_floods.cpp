#include "version_fixture.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace stream_version_tests;
using namespace std::chrono_literals;
using run = stand_in_runner::run;

namespace
{

constexpr auto stream_time = 500ms;
/// The bound holds from 12 resumed streams on.
constexpr std::size_t resumed_streams = 24;
constexpr auto longest_play = 30s;
/// Several times as many as the engines can serve.
constexpr auto time_between_streams = 2500us;
/// One in this many callers loses its connection after the first event, if that is of the version
/// that only a third of the engines have.
constexpr std::size_t callers_per_loss = 5;
constexpr int more_than_streams = 100000;

/// Two engines of one version beside four of another, and callers that want more than all of them
/// can serve.
struct flood_fixture : version_fixture
{
    stand_in_runner new_3{loop, timers, "i-5"};
    stand_in_runner new_4{loop, timers, "i-6"};

    struct caller
    {
        std::string id;
        caller_connection connection;
        bool resumed = false;
    };

    flood_fixture()
    {
        for (auto* engine : {&old_1, &old_2, &new_1, &new_2, &new_3, &new_4})
        {
            engine->software = engine == &old_1 || engine == &old_2 ? "v1" : "v2";
            engine->next_behaviours.assign(more_than_streams,
                                           [this](stand_in_runner& serving, const run& current)
                                           { serve_shortly(serving, current); });
        }
    }

    void serve_shortly(stand_in_runner& engine, const run& current)
    {
        const std::string last(current.head["Last-Event-Id"]);
        engine.begin_stream(current);
        engine.send_event(current, last.empty() ? 1 : std::stoi(last) + 1);
        timers.after(stream_time,
                     [current]
                     {
                         if (!*current.cancelled)
                         {
                             current.exchange->finish();
                         }
                     });
    }

    void begin_next()
    {
        const auto id = "id-" + std::to_string(callers.size());
        callers.push_back({.id = id, .connection = send_stream(callers.size() % 2, id)});
    }

    /// The callers that lose their connection resume, once each, at the other router.
    void resume_some()
    {
        const auto count = callers.size();
        for (std::size_t index = 0; index < count; ++index)
        {
            auto& begun = callers[index];
            const bool has_event =
                begun.connection->received.find("data: i-1") != std::string::npos ||
                begun.connection->received.find("data: i-3") != std::string::npos;
            const bool loses_connection = index % callers_per_loss == 0;
            if (begun.resumed || !loses_connection || !has_event || begun.connection->ended)
            {
                continue;
            }
            begun.resumed = true;
            begun.connection->close();
            const auto other_router = (index + 1) % 2;
            resumed.push_back(resume(other_router, "again-" + begun.id, begun.id));
        }
    }

    std::vector<caller> callers;
    std::vector<caller_connection> resumed;
};

bool has_event(const caller_connection& connection)
{
    return connection->received.find("data: ") != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(resumed_in_floods, flood_fixture)

// A resumed stream finds a part of the engines only, where each new one may take any.
BOOST_AUTO_TEST_CASE(resumed_streams_go_on_at_least_half_as_often_as_new_ones_begin)
{
    start_routers(2, {&old_1, &old_2, &new_1, &new_2, &new_3, &new_4});
    const auto end = clock.now() + longest_play;
    while (resumed.size() < resumed_streams && clock.now() < end)
    {
        begin_next();
        const auto next = clock.now() + time_between_streams;
        becomes_true([&] { return clock.now() >= next; });
        resume_some();
    }
    const auto all_answered = [&]
    {
        return std::all_of(resumed.begin(), resumed.end(),
                           [](const auto& each) { return !each->received.empty(); });
    };
    BOOST_REQUIRE(becomes_true(all_answered));

    const auto begun = std::count_if(callers.begin(), callers.end(),
                                     [](const auto& each) { return has_event(each.connection); });
    const auto continued = std::count_if(resumed.begin(), resumed.end(), has_event);
    const auto share_of = [](auto part, std::size_t all)
    {
        return static_cast<double>(part) / static_cast<double>(all);
    };
    BOOST_TEST_MESSAGE("new " << begun << " of " << callers.size() << ", resumed " << continued
                              << " of " << resumed.size());
    BOOST_TEST(resumed.size() >= resumed_streams);
    BOOST_TEST(static_cast<std::size_t>(begun) < callers.size());
    BOOST_TEST(share_of(continued, resumed.size()) >= share_of(begun, callers.size()) / 2);
}

BOOST_AUTO_TEST_SUITE_END()
