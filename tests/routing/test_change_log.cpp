#include "libcaraway/routing/change_log.hpp"

#include "libcaraway/routing/upstream_directory.hpp"

#include <boost/test/unit_test.hpp>

using namespace caraway;
using namespace std::chrono_literals;
using routing::change_log;

namespace
{

std::string to_text(const std::optional<std::vector<base::upstream_id>>& ids)
{
    std::string result = ids ? "" : "unknown";
    for (const auto& id : ids.value_or(std::vector<base::upstream_id>()))
    {
        result += id.str() + " ";
    }
    return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(change_logs)

BOOST_AUTO_TEST_CASE(each_changed_entry_is_listed_once)
{
    change_log log;
    log.record(base::upstream_id("a"));
    const auto position = log.position();
    log.record(base::upstream_id("b"));
    log.record(base::upstream_id("c"));
    log.record(base::upstream_id("b"));

    BOOST_TEST(to_text(log.since(position)) == "b c ");
    BOOST_TEST(to_text(log.since(log.position())) == "");
}

BOOST_AUTO_TEST_CASE(evicted_and_future_positions_are_unknown)
{
    change_log log(2);
    for (const auto* id : {"a", "b", "c"})
    {
        log.record(base::upstream_id(id));
    }
    BOOST_TEST(to_text(log.since(0)) == "unknown");
    BOOST_TEST(to_text(log.since(1)) == "b c ");
    BOOST_TEST(to_text(log.since(4)) == "unknown");
}

BOOST_AUTO_TEST_CASE(a_directory_records_added_changed_and_removed_entries)
{
    routing::upstream_directory directory;
    const base::upstream_id id("a");
    const auto put = [&](std::uint64_t revision, bool draining)
    {
        directory.put({.id = id, .draining = draining},
                      {.revision = revision, .received = base::time_point(1h)});
        return directory.changes().position();
    };
    const auto added = put(5, false);
    const auto hash = directory.content_hash();
    const auto outdated = put(4, true);
    BOOST_TEST(added == outdated);
    BOOST_TEST(directory.content_hash() == hash);

    const auto changed = put(6, true);
    BOOST_TEST(changed > added);
    BOOST_TEST(directory.content_hash() != hash);
    directory.remove(id, {.revision = 7, .received = base::time_point(1h)});
    BOOST_TEST(directory.changes().position() > changed);
    BOOST_TEST(directory.revision_of(id) == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
