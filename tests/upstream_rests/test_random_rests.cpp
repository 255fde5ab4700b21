#include "../users_platform/router_fixture.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <random>

using namespace users_platform_tests;
using namespace std::chrono_literals;
using caraway::base::time_point;
using run = stand_in_runner::run;
using std::chrono::milliseconds;

namespace
{

/// The users' bounds: requests that may reach an upstream between this time after its refusal and
/// the end of the rest that it asked for.
constexpr auto allowed_delay = 500ms;
constexpr int max_requests_in_rest = 2;
constexpr auto play_time = 5s;
constexpr int upstream_count = 6;

/// An upstream that alternates at random times between serving and refusing with a rest.
class moody_upstream
{
public:
    moody_upstream(router_fixture& fixture, std::string id, std::mt19937& random)
        : runner(fixture.loop, fixture.timers, std::move(id)), fixture_(fixture), random_(random)
    {
        constexpr int more_than_requests = 100000;
        runner.next_behaviours.assign(more_than_requests,
                                      [this](stand_in_runner&, const run& current)
                                      { on_request(current); });
    }

    stand_in_runner runner;
    int refusals = 0;
    int most_in_rest = 0;

private:
    milliseconds random_time(int shortest_ms, int longest_ms)
    {
        return milliseconds(std::uniform_int_distribution(shortest_ms, longest_ms)(random_));
    }

    void on_request(const run& current)
    {
        const auto now = fixture_.clock.now();
        count_in_rest(now);
        if (now >= mood_ends_)
        {
            refusing_ = !refusing_;
            mood_ends_ = now + random_time(300, 2000);
        }
        if (refusing_)
        {
            refuse(current, now);
            return;
        }
        fixture_.timers.after(random_time(1, 400),
                              [this, current] { runner.succeed(current, "answer"); });
    }

    void count_in_rest(time_point now)
    {
        if (now > refused_at_ + allowed_delay && now < rest_ends_)
        {
            ++in_rest_;
            most_in_rest = std::max(most_in_rest, in_rest_);
        }
    }

    void refuse(const run& current, time_point now)
    {
        const auto rest = random_time(700, 1500);
        ++refusals;
        if (now >= rest_ends_)
        {
            refused_at_ = now;
            rest_ends_ = now + rest;
            in_rest_ = 0;
        }
        runner.reject(current, 503, std::to_string(static_cast<double>(rest.count()) / 1000));
    }

    router_fixture& fixture_;
    std::mt19937& random_;
    bool refusing_ = false;
    time_point mood_ends_{};
    time_point refused_at_{};
    time_point rest_ends_{};
    int in_rest_ = 0;
};

/// CARAWAY_REST_SEEDS, for long runs by hand; two by default.
int seed_count()
{
    const auto* count = std::getenv("CARAWAY_REST_SEEDS");
    return count == nullptr ? 2 : std::atoi(count);
}

/// Half of the upstreams serve plain requests, half streams.
std::string service_of(int upstream)
{
    return upstream % 2 == 0 ? "plain" : "engines";
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(random_rests, router_fixture)

BOOST_DATA_TEST_CASE(rests_are_kept_while_upstreams_refuse_and_serve_at_random,
                     boost::unit_test::data::xrange(1, seed_count() + 1), seed)
{
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    accept_configuration(1, {{.prefix = "/p/", .kind = "safe", .max_attempts = 3},
                             {.prefix = "/e/", .kind = "streaming", .service = "engines"}});
    std::vector<std::unique_ptr<moody_upstream>> upstreams;
    for (int index = 0; index < upstream_count; ++index)
    {
        upstreams.push_back(
            std::make_unique<moody_upstream>(*this, "i-" + std::to_string(index), random));
        add_upstream(upstreams.back()->runner, service_of(index));
    }
    auto& router = start_router();
    std::vector<std::shared_ptr<http_tests::raw_peer>> callers;
    const auto end = clock.now() + play_time;
    while (clock.now() < end)
    {
        const auto number = std::to_string(callers.size());
        callers.push_back(send_request(router, random() % 2 == 0 ? "/p/" : "/e/", "id-" + number));
        const auto next = clock.now() + milliseconds(random() % 8);
        becomes_true([&] { return clock.now() >= next; });
    }
    BOOST_TEST(becomes_true(
        [&]
        {
            return std::all_of(callers.begin(), callers.end(),
                               [](const auto& caller)
                               { return caller->received.starts_with("HTTP/1.1 "); });
        }));

    int refusals = 0;
    for (const auto& upstream : upstreams)
    {
        refusals += upstream->refusals;
        BOOST_TEST(upstream->most_in_rest <= max_requests_in_rest);
    }
    BOOST_TEST(refusals > 0);
}

BOOST_AUTO_TEST_SUITE_END()
