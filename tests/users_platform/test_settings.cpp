#include "router_fixture.hpp"

#include "libcaraway/router/settings_change.hpp"

#include <boost/test/unit_test.hpp>

using namespace users_platform_tests;
using namespace caraway;

namespace
{

struct settings_fixture : router_fixture
{
    stand_in_runner first{loop, timers, "i-1"};
    stand_in_runner second{loop, timers, "i-2"};

    settings_fixture()
    {
        accept(1, {{.prefix = "/a/"}});
        add(first);
    }

    router::settings& next()
    {
        return changed_settings.value();
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(changed_settings_files, settings_fixture)

BOOST_AUTO_TEST_CASE(what_may_change_is_taken_over_and_the_rest_is_named)
{
    router::settings current{.name = base::node_id("r1"),
                             .callers = {.ip = "10.0.0.1", .port = 80}};
    auto changed = current;
    changed.seeds = {{.ip = "10.0.0.2", .port = 81}};
    changed.retries.slack = 9;
    changed.grace = std::chrono::milliseconds(5000);
    changed.callers.port = 90;

    const auto change = router::apply_settings(current, changed);

    BOOST_TEST((change.applied == std::vector<std::string>{"seeds", "retries", "grace"}));
    BOOST_TEST((change.need_restart == std::vector<std::string>{"callers"}));
    BOOST_TEST(current.retries.slack == 9);
    BOOST_TEST(current.callers.port == 80);
    BOOST_TEST(!router::apply_settings(current, current).any());
}

// Symptom: a router went on with the store that it was started with, and lost it.
// Sequence: the settings file changed, without a signal; the old store was taken away.
// Cause: the file was read at the start only.
BOOST_AUTO_TEST_CASE(a_file_that_changes_without_a_signal_is_read_anew)
{
    auto& router = start_router();
    stand_in_store moved(loop, timers);
    moved.put("servers", "i-1", first.entry("plain"));
    moved.put("servers", "i-2", second.entry("plain"));

    next().store = moved.address();
    next().entry_lifetime = std::chrono::seconds(2);

    BOOST_TEST(becomes_true([&] { return logged({R"("event":"reload")", R"("store")"}); }));
    BOOST_TEST((router.options().entry_lifetime == std::chrono::seconds(2)));
    BOOST_TEST(becomes_true([&] { return moved.calls["/rows-feed"] > 0; }));
}

BOOST_AUTO_TEST_CASE(a_signal_reads_it_at_once)
{
    auto& router = start_router();
    next().grace = std::chrono::milliseconds(2500);

    router.reload("signal");

    BOOST_TEST((router.options().grace == std::chrono::milliseconds(2500)));
    log.flush();
    BOOST_TEST(logged({R"("event":"reload")", R"("because":"signal")", R"("grace")"}));
}

// Symptom: a router ended because its settings file was being written.
BOOST_AUTO_TEST_CASE(an_unreadable_file_leaves_in_force_what_is)
{
    auto& router = start_router();
    const auto before = router.options().grace;
    changed_settings = base::make_error(base::errc::invalid_argument, "half a file");

    router.reload("signal");
    router.reload("signal");

    BOOST_TEST((router.options().grace == before));
    log.flush();
    BOOST_TEST(logged({R"("event":"settings_unreadable")", "half a file"}));
}

BOOST_AUTO_TEST_SUITE_END()
