#include "router_fixture.hpp"

#include "libcaraway/router/settings_change.hpp"
#include "platform/adapter.hpp"

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
        accept_configuration(1, {{.prefix = "/a/"}});
        add_upstream(first);
    }

    router::settings& reloaded_settings()
    {
        return changed_settings.value();
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(changed_settings_files, settings_fixture)

BOOST_AUTO_TEST_CASE(changeable_settings_are_applied_and_the_others_are_listed)
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

// Guards against a router that keeps the store's address from its start and loses the store when
// the old one is removed: the settings file changed without a signal, but was read only at the
// start.
BOOST_AUTO_TEST_CASE(a_file_that_changes_without_a_signal_is_reloaded)
{
    auto& router = start_router();
    stand_in_store new_store(loop, timers);
    new_store.put("servers", "i-1", first.entry("plain"));
    new_store.put("servers", "i-2", second.entry("plain"));

    reloaded_settings().store = new_store.address();
    reloaded_settings().entry_lifetime = std::chrono::seconds(2);

    BOOST_TEST(becomes_true([&] { return logged({R"("event":"reload")", R"("store")"}); }));
    BOOST_TEST((router.options().entry_lifetime == std::chrono::seconds(2)));
    BOOST_TEST(becomes_true([&] { return new_store.calls["/rows-feed"] > 0; }));
}

BOOST_AUTO_TEST_CASE(a_signal_reloads_the_file_at_once)
{
    auto& router = start_router();
    reloaded_settings().grace = std::chrono::milliseconds(2500);

    router.reload("signal");

    BOOST_TEST((router.options().grace == std::chrono::milliseconds(2500)));
    log.flush();
    BOOST_TEST(logged({R"("event":"reload")", R"("because":"signal")", R"("grace")"}));
}

// Guards against a router that exits because it reads its settings file while the file is being
// written.
BOOST_AUTO_TEST_CASE(an_unreadable_file_leaves_the_settings_unchanged)
{
    auto& router = start_router();
    const auto grace_before = router.options().grace;
    changed_settings = base::make_error(base::errc::invalid_argument, "half a file");

    router.reload("signal");
    router.reload("signal");

    BOOST_TEST((router.options().grace == grace_before));
    log.flush();
    BOOST_TEST(logged({R"("event":"settings_unreadable")", "half a file"}));
}

BOOST_AUTO_TEST_CASE(memory_of_engines_is_divided_only_where_the_rules_in_force_say_so)
{
    const auto decode = [](const std::string& rules)
    {
        return platform::decode_settings(
            R"({"node_name":"r1","zone":"z1","ip":"10.0.0.1","internal_port_range":[7400,7415],)"
            R"("platform":{"address":"10.0.0.9:80"},"listen":{"frontend":"10.0.0.1:81",)"
            R"("readiness":"10.0.0.1:82","control_plane":"10.0.0.1:83","directory":"10.0.0.1:84"})" +
            rules + "}");
    };
    BOOST_TEST(!decode("").value().engines_crash_out_of_memory);
    BOOST_TEST(!decode(R"(,"contracts":["base","engine"])").value().engines_crash_out_of_memory);
    BOOST_TEST(decode(R"(,"contracts":["base","pressure"])").value().engines_crash_out_of_memory);
    BOOST_TEST(!decode(R"(,"contracts":[7,null])").value().engines_crash_out_of_memory);
}

BOOST_AUTO_TEST_SUITE_END()
