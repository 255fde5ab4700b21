#include "router_fixture.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace caraway;
using namespace std::chrono_literals;

namespace
{

/// Follows the machine's clock until it is held, then stands still but for `advance`.
class held_clock final : public base::clock
{
public:
    base::time_point now() const override
    {
        return (held_ ? *held_ : machine_.now()) + ahead_;
    }
    std::chrono::system_clock::time_point wall_time() const override
    {
        return machine_.wall_time();
    }
    void hold()
    {
        held_ = machine_.now();
    }
    void advance(base::duration time)
    {
        ahead_ += time;
    }

private:
    base::machine_clock machine_;
    std::optional<base::time_point> held_;
    base::duration ahead_{};
};

struct relay_fixture : router_fixture
{
    held_clock router_time;
    stand_in_runner engine{loop, timers, "i-1"};
    std::optional<stand_in_runner::run> stream;
    std::shared_ptr<http_tests::raw_peer> caller;

    relay_fixture()
    {
        router_clock = &router_time;
        accept_configuration(1, {{.prefix = "/s/", .kind = "streaming", .service = "engines"}});
        add_upstream(engine, "engines");
        start_router();
    }
    ~relay_fixture()
    {
        routers.clear();
    }

    /// Lets regular work be late until the router takes its processor for overloaded.
    void overload()
    {
        const auto is_overloaded = [&]
        {
            router_time.advance(5ms);
            return logged({"\"event\":\"overload\"", "\"busy\":true"});
        };
        BOOST_REQUIRE(becomes_true(is_overloaded));
    }

    /// Begins a stream with its first event, then holds the router's clock.
    void begin_stream()
    {
        engine.next_behaviours.assign(
            1,
            [this](stand_in_runner& runner, const stand_in_runner::run& begun)
            {
                stream = begun;
                runner.begin_stream(begun);
            });
        caller = send_request(*routers.front(), "/s/a", "id-1",
                              "Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: 100,40\r\n");
        BOOST_REQUIRE(becomes_true([&] { return stream.has_value(); }));
        router_time.hold();
        engine.send_event(*stream, 1);
        BOOST_REQUIRE(becomes_true([&] { return has_event(1); }));
    }

    bool has_event(int number) const
    {
        return caller->received.find("id: " + std::to_string(number) + "\n") != std::string::npos;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relayed_events, relay_fixture)

BOOST_AUTO_TEST_CASE(each_event_is_relayed_as_it_arrives)
{
    begin_stream();
    for (int number = 2; number <= 4; ++number)
    {
        engine.send_event(*stream, number);
        BOOST_REQUIRE(becomes_true([&] { return has_event(number); }));
    }
}

BOOST_AUTO_TEST_CASE(an_overloaded_router_relays_later_events_together)
{
    overload();
    begin_stream();
    for (int number = 2; number <= 4; ++number)
    {
        engine.send_event(*stream, number);
        settle();
    }
    stream->exchange->finish();
    settle();
    BOOST_TEST(!has_event(2));

    router_time.advance(50ms);

    BOOST_TEST(becomes_true([&] { return has_event(4); }));
    BOOST_TEST(has_event(2));
    BOOST_TEST(becomes_true([&] { return caller->received.ends_with("0\r\n\r\n"); }));
}

// An engine in trouble sends bytes that are no event, and never the end of one.
BOOST_AUTO_TEST_CASE(a_body_without_the_end_of_an_event_is_broken_off)
{
    engine.next_behaviours.push_back([](stand_in_runner& serving, const stand_in_runner::run& run)
                                     { serving.begin_stream(run); });
    caller = send_request(*routers.front(), "/s/", "endless");
    BOOST_REQUIRE(becomes_true([&] { return engine.runs.size() == 1; }));

    constexpr std::size_t part = 65536;
    constexpr std::size_t most = 16U << 20U;
    const auto& run = engine.runs.front();
    std::size_t sent = 0;
    while (!*run.cancelled && sent < most)
    {
        run.exchange->write(std::string(part, 'x'));
        sent += part;
        settle();
    }

    BOOST_TEST(sent < 4U << 20U);
    BOOST_TEST(receives_status(caller, "502"));
    const auto next = send_request(*routers.front(), "/s/", "next");
    BOOST_TEST(receives_status(next, "200"));
}

BOOST_AUTO_TEST_SUITE_END()
