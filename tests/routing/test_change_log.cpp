#include "libcaraway/routing/change_log.hpp"

#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::change_log;

namespace
{

std::string text(const std::optional<std::vector<base::upstream_id>>& of)
{
    std::string out = of ? "" : "unknown";
    for (const auto& each : of.value_or(std::vector<base::upstream_id>()))
    {
        out += each.str() + " ";
    }
    return out;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(change_logs)

BOOST_AUTO_TEST_CASE(each_entry_that_changed_since_is_told_once)
{
    change_log log;
    log.record(base::upstream_id("a"));
    const auto position = log.position();
    log.record(base::upstream_id("b"));
    log.record(base::upstream_id("c"));
    log.record(base::upstream_id("b"));

    BOOST_TEST(text(log.since(position)) == "b c ");
    BOOST_TEST(text(log.since(log.position())) == "");
}

BOOST_AUTO_TEST_CASE(what_is_forgotten_or_yet_to_come_is_unknown)
{
    change_log log(2);
    for (const auto* each : {"a", "b", "c"})
    {
        log.record(base::upstream_id(each));
    }
    BOOST_TEST(text(log.since(0)) == "unknown");
    BOOST_TEST(text(log.since(1)) == "b c ");
    BOOST_TEST(text(log.since(4)) == "unknown");
}

BOOST_AUTO_TEST_CASE(a_directory_notes_what_comes_changes_and_goes)
{
    routing::upstream_directory directory;
    const base::upstream_id id("a");
    const auto put = [&](std::uint64_t revision, bool draining)
    {
        directory.put({.id = id, .draining = draining},
                      {.revision = revision, .received = base::time_point(1h)});
        return directory.changes().position();
    };
    const auto came = put(5, false);
    const auto mark = directory.content_hash();
    const auto outdated = put(4, true);
    BOOST_TEST(came == outdated);
    BOOST_TEST(directory.content_hash() == mark);

    const auto changed = put(6, true);
    BOOST_TEST(changed > came);
    BOOST_TEST(directory.content_hash() != mark);
    directory.remove(id, {.revision = 7, .received = base::time_point(1h)});
    BOOST_TEST(directory.changes().position() > changed);
    BOOST_TEST(directory.revision_of(id) == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
